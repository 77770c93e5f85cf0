#include "greengage/coordination/searcher_chooser.h"

#include <algorithm>
#include <chrono>
#include <random>

namespace greengage {
namespace {

// A searcher counts as overloaded only if its expected latency exceeds the
// typical latency by this factor. If all searchers are slow, or there are few
// samples, none counts as overloaded.
constexpr int kOverloadFactor = 2;

}  // namespace

RouteTiming SearcherChooser::TimingAt(TimePoint now) const {
  return {TypicalLatency(now),
          context_->hedges.Delay(now, route_->name, RankOf(*route_))};
}

Duration SearcherChooser::TypicalLatency(TimePoint now) const {
  return context_->hedges.TypicalLatency(now, route_->name, RankOf(*route_));
}

Duration SearcherChooser::DistanceOf(const RoutedSearcher& searcher) const {
  return context_->distances.Of(searcher.entry().data_centre);
}

bool SearcherChooser::IsPermitted(const RoutedSearcher& searcher) const {
  return context_->placement.AllowsSearcher(*terms_,
                                            searcher.entry().data_centre);
}

Duration SearcherChooser::LimitWait(TimePoint now,
                                    const RoutedSearcher& searcher,
                                    const TokenDemand& tokens) const {
  return std::max(searcher.ClosedFor(now),
                  searcher.rate_limit().WaitFor(
                      now, context_->LimitShareOf(searcher), tokens));
}

std::vector<SearcherChoice> SearcherChooser::Candidates(
    TimePoint now,
    Duration typical,
    const std::string& service,
    const std::vector<RoutedSearcherPtr>& tried,
    const AttemptRequirements& requirements) {
  std::uniform_real_distribution<double> jitter(1.0, 1.1);
  std::vector<SearcherChoice> candidates;
  Usability best_usability = Usability::kUnusable;
  for (const RoutedSearcherPtr& searcher :
       context_->searchers.ForService(service)) {
    const Usability usability = searcher->UsabilityAt(now, typical);
    const bool was_tried =
        std::find(tried.begin(), tried.end(), searcher) != tried.end();
    if (usability == Usability::kUnusable || was_tried ||
        !IsPermitted(*searcher) ||
        (requirements.only_healthy && usability != Usability::kHealthy) ||
        LimitWait(now, *searcher, requirements.tokens) > Duration::zero()) {
      continue;
    }
    const Duration distance = DistanceOf(*searcher);
    const auto expected = std::chrono::duration_cast<Duration>(
        searcher->ExpectedLatency(now, typical, distance) *
        jitter(context_->random));
    if (usability < best_usability) {
      best_usability = usability;
      candidates.clear();
    }
    if (usability == best_usability) {
      candidates.push_back({searcher, expected, distance});
    }
  }
  return candidates;
}

void SearcherChooser::KeepChosenLocality(
    TimePoint now,
    const std::string& service,
    std::vector<SearcherChoice>& candidates) {
  const bool applies =
      context_->spill_mode == SpillMode::kAlways ||
      (context_->spill_mode == SpillMode::kReported &&
       std::any_of(candidates.begin(), candidates.end(),
                   [](const SearcherChoice& candidate) {
                     return candidate.searcher->reports_work_time();
                   }));
  if (!applies || candidates.size() < 2) {
    return;
  }
  const auto locality_of = [this](const SearcherChoice& candidate) {
    return context_->placement.LocalityOf(
        candidate.searcher->entry().data_centre);
  };
  LocalityLatencies latencies;
  for (const SearcherChoice& candidate : candidates) {
    std::optional<Duration>& best =
        latencies[static_cast<size_t>(locality_of(candidate))];
    best = std::min(best.value_or(candidate.expected), candidate.expected);
  }
  const Locality chosen =
      context_->spill.Choose(now, service, latencies, route_->target_latency);
  std::erase_if(candidates, [&](const SearcherChoice& candidate) {
    return locality_of(candidate) != chosen;
  });
}

SearcherChoice SearcherChooser::Choose(
    TimePoint now,
    Duration typical,
    const std::string& service,
    const std::vector<RoutedSearcherPtr>& tried,
    const AttemptRequirements& requirements) {
  std::vector<SearcherChoice> candidates =
      Candidates(now, typical, service, tried, requirements);
  if (requirements.prefers_nearby) {
    KeepChosenLocality(now, service, candidates);
  }
  const auto best =
      std::min_element(candidates.begin(), candidates.end(),
                       [](const SearcherChoice& a, const SearcherChoice& b) {
                         return a.expected < b.expected;
                       });
  return best == candidates.end() ? SearcherChoice{} : *best;
}

std::optional<Duration> SearcherChooser::EstimateWait(
    TimePoint now,
    Duration typical,
    const std::string& service,
    TimePoint answer_by,
    const TokenDemand& tokens) const {
  std::optional<Duration> min_wait;
  for (const RoutedSearcherPtr& searcher :
       context_->searchers.ForService(service)) {
    if (IsPermitted(*searcher)) {
      min_wait = std::min(
          min_wait.value_or(kMaxRetryAfter),
          std::max(EstimateSearcherWait(now, typical, *searcher, answer_by),
                   LimitWait(now, *searcher, tokens)));
    }
  }
  return min_wait;
}

Duration SearcherChooser::EstimateLimitWait(TimePoint now,
                                            Duration typical,
                                            const std::string& service,
                                            const TokenDemand& tokens) const {
  Duration min_wait = kMaxRetryAfter;
  bool has_usable = false;
  for (const RoutedSearcherPtr& searcher :
       context_->searchers.ForService(service)) {
    if (IsPermitted(*searcher) &&
        searcher->UsabilityAt(now, typical) != Usability::kUnusable) {
      has_usable = true;
      min_wait = std::min(min_wait, LimitWait(now, *searcher, tokens));
    }
  }
  return has_usable ? min_wait : Duration::zero();
}

Duration SearcherChooser::ClosedWait(TimePoint now,
                                     Duration typical,
                                     const std::string& service) const {
  std::optional<Duration> min_wait;
  for (const RoutedSearcherPtr& searcher :
       context_->searchers.ForService(service)) {
    if (IsPermitted(*searcher) &&
        searcher->UsabilityAt(now, typical) != Usability::kUnusable) {
      const Duration wait = searcher->ClosedFor(now);
      min_wait = std::min(min_wait.value_or(wait), wait);
    }
  }
  return min_wait.value_or(Duration::zero());
}

Duration SearcherChooser::EstimateSearcherWait(TimePoint now,
                                               Duration typical,
                                               const RoutedSearcher& searcher,
                                               TimePoint answer_by) const {
  switch (searcher.UsabilityAt(now, typical)) {
    case Usability::kUnusable:
      return kMaxRetryAfter;
    case Usability::kUnhealthy:
      return searcher.AllowsProbe(now) ? Duration::zero()
                                       : searcher.UnansweredFor(now);
    case Usability::kHealthy:
    case Usability::kUnregistered:
      break;
  }
  const Duration distance = DistanceOf(searcher);
  const Duration expected = searcher.ExpectedLatency(now, typical, distance);
  if (expected - distance < kOverloadFactor * typical) {
    return Duration::zero();
  }
  return std::max<Duration>(Duration::zero(), now + expected - answer_by);
}

}  // namespace greengage
