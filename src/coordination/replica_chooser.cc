#include "greengage/coordination/replica_chooser.h"

#include <algorithm>

namespace greengage {

namespace {

// The state that a searcher reports may be wrong. Its queue length counts less
// than the sub-requests known to be outstanding, and only up to its slots. Its
// health endpoint only decides between searchers of equal load.
constexpr double kReportedQueueWeight = 0.25;
constexpr double kUnhealthyPenalty = 0.1;

bool IsTried(const Endpoint& endpoint, const std::vector<Endpoint>* tried) {
  return tried != nullptr &&
         std::find(tried->begin(), tried->end(), endpoint) != tried->end();
}

using Candidates = std::vector<const SearcherView*>;

Candidates KeepPreferred(const Candidates& all,
                         bool (*is_preferred)(const SearcherView&)) {
  Candidates preferred;
  std::copy_if(all.begin(), all.end(), std::back_inserter(preferred),
               [&](const SearcherView* view) { return is_preferred(*view); });
  return preferred.empty() ? all : preferred;
}

}  // namespace

ReplicaChooser::ReplicaChooser(uint64_t seed)
    : random_(static_cast<std::minstd_rand::result_type>(seed)) {}

std::optional<Endpoint> ReplicaChooser::Choose(
    const std::vector<SearcherView>& replicas,
    const ReplicaRequirements& requirements) {
  Candidates usable;
  for (const SearcherView& view : replicas) {
    if (!view.draining && view.MayHold(requirements.index_version) &&
        !IsTried(view.endpoint, requirements.tried)) {
      usable.push_back(&view);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  usable =
      KeepPreferred(usable, [](const SearcherView& v) { return !v.avoided; });
  usable = KeepPreferred(usable,
                         [](const SearcherView& v) { return !v.lacks_shard; });
  usable = FilterBySlowStart(usable);
  return ChooseLessLoaded(usable, requirements.rank).endpoint;
}

std::optional<Endpoint> ReplicaChooser::ChooseAlternative(
    const std::vector<SearcherView>& replicas,
    const ReplicaRequirements& requirements) {
  std::optional<Endpoint> untried = Choose(replicas, requirements);
  if (untried || requirements.tried == nullptr || requirements.tried->empty()) {
    return untried;
  }
  const std::vector<Endpoint> last{requirements.tried->back()};
  const bool others_usable = std::any_of(
      replicas.begin(), replicas.end(), [&](const SearcherView& view) {
        return view.endpoint != last.front() && !view.draining && !view.avoided;
      });
  ReplicaRequirements relaxed = requirements;
  relaxed.tried = &last;
  const std::optional<Endpoint> other =
      others_usable ? Choose(replicas, relaxed) : std::nullopt;
  relaxed.tried = nullptr;
  return other ? other : Choose(replicas, relaxed);
}

// Keeps a cold searcher with a probability equal to its weight.
std::vector<const SearcherView*> ReplicaChooser::FilterBySlowStart(
    const std::vector<const SearcherView*>& candidates) {
  Candidates warm;
  std::uniform_real_distribution<double> uniform(0, 1);
  for (const SearcherView* view : candidates) {
    if (view->weight >= 1 || uniform(random_) < view->weight) {
      warm.push_back(view);
    }
  }
  return warm.empty() ? candidates : warm;
}

const SearcherView& ReplicaChooser::ChooseLessLoaded(
    const std::vector<const SearcherView*>& candidates,
    Rank rank) {
  const size_t count = candidates.size();
  if (count == 1) {
    return *candidates.front();
  }
  std::uniform_int_distribution<size_t> first_of(0, count - 1);
  std::uniform_int_distribution<size_t> step_of(1, count - 1);
  const size_t first = first_of(random_);
  const size_t second = (first + step_of(random_)) % count;
  const double first_load = LoadPerSlot(*candidates[first], rank);
  const double second_load = LoadPerSlot(*candidates[second], rank);
  return *candidates[second_load < first_load ? second : first];
}

double LoadPerSlot(const SearcherView& searcher, Rank rank) {
  double load = 0;
  for (size_t i = 0; i <= IndexOf(rank); ++i) {
    load += searcher.outstanding[i];
  }
  load +=
      kReportedQueueWeight * std::min(searcher.reported_queue, searcher.slots);
  load += searcher.reported_unhealthy ? kUnhealthyPenalty : 0;
  return load / std::max(1U, searcher.slots);
}

}  // namespace greengage
