#include "tools/bench/routed_driver.h"

#include <algorithm>
#include <unordered_map>
#include <utility>
#include <vector>

namespace greengage::bench {
namespace {

class PlanDriver : public RoutedDriver {
 public:
  PlanDriver(TimePoint now,
             RouteTablePtr table,
             const Route* route,
             TimePoint deadline,
             RequestPlanContext* context,
             NextAttempt next_attempt)
      : plan_(now,
              std::move(table),
              route,
              TermsOf(*route, nullptr),
              deadline,
              context,
              std::move(next_attempt)) {}

  RequestActions Start(TimePoint now) override { return plan_.Start(now); }
  RequestActions OnAttemptEnded(TimePoint now,
                                uint64_t attempt,
                                AttemptOutcome outcome) override {
    return plan_.OnAttemptEnded(now, attempt, std::move(outcome));
  }
  RequestActions OnTimer(TimePoint now) override { return plan_.OnTimer(now); }
  std::optional<TimePoint> next_timer() const override {
    return plan_.next_timer();
  }
  size_t open_attempts() const override { return plan_.open_attempts(); }

 private:
  RequestPlan plan_;
};

class NaiveDriver : public RoutedDriver {
 public:
  NaiveDriver(const Route* route,
              TimePoint deadline,
              RequestPlanContext* context,
              NextAttempt next_attempt)
      : route_(route),
        deadline_(deadline),
        context_(context),
        next_attempt_(std::move(next_attempt)),
        parts_(route->gather->shards.size()) {}

  RequestActions Start(TimePoint now) override {
    RequestActions actions;
    for (size_t i = 0; i < parts_.size(); ++i) {
      Send(i, AttemptReason::kFirst, actions);
    }
    FinishIfDone(now, actions);
    return actions;
  }

  RequestActions OnAttemptEnded(TimePoint now,
                                uint64_t attempt,
                                AttemptOutcome outcome) override {
    RequestActions actions;
    const auto found = open_.find(attempt);
    if (found == open_.end()) {
      return actions;
    }
    const size_t part = found->second;
    open_.erase(found);
    if (outcome.end == AttemptEnd::kAnswered) {
      parts_[part].answered = true;
      ++answered_;
    } else if (!done_ && parts_[part].sent < route_->max_attempts) {
      Send(part, AttemptReason::kRetry, actions);
    }
    FinishIfDone(now, actions);
    return actions;
  }

  RequestActions OnTimer(TimePoint now) override {
    RequestActions actions;
    FinishIfDone(now, actions);
    return actions;
  }

  std::optional<TimePoint> next_timer() const override {
    return done_ ? std::nullopt : std::optional(deadline_);
  }
  size_t open_attempts() const override { return open_.size(); }

 private:
  struct Part {
    uint32_t sent = 0;
    bool answered = false;
  };

  void Send(size_t part, AttemptReason reason, RequestActions& actions) {
    const std::vector<RoutedSearcherPtr>& searchers =
        context_->searchers.ForService(route_->gather->shards[part]);
    if (searchers.empty()) {
      return;
    }
    const RoutedSearcherPtr& searcher =
        searchers[context_->random() % searchers.size()];
    const uint64_t id = next_attempt_();
    open_[id] = part;
    ++parts_[part].sent;
    actions.sends.push_back({id, searcher, reason, deadline_, {}});
  }

  void FinishIfDone(TimePoint now, RequestActions& actions) {
    if (done_ || (!open_.empty() && now < deadline_)) {
      return;
    }
    done_ = true;
    const double coverage =
        static_cast<double>(answered_) / static_cast<double>(parts_.size());
    RequestResult result;
    result.outcome = coverage >= route_->gather->min_coverage
                         ? RequestOutcome::kMerged
                         : RequestOutcome::kUnknown;
    result.parts.resize(answered_);
    result.missing_parts = parts_.size() - answered_;
    actions.result = std::move(result);
    for (const auto& [id, part] : open_) {
      actions.cancels.push_back(id);
    }
  }

  const Route* const route_;
  const TimePoint deadline_;
  RequestPlanContext* const context_;
  const NextAttempt next_attempt_;
  std::vector<Part> parts_;
  std::unordered_map<uint64_t, size_t> open_;  // Attempts and their parts.
  size_t answered_ = 0;
  bool done_ = false;
};

}  // namespace

std::unique_ptr<RoutedDriver> MakePlanDriver(TimePoint now,
                                             RouteTablePtr table,
                                             const Route* route,
                                             TimePoint deadline,
                                             RequestPlanContext* context,
                                             NextAttempt next_attempt) {
  return std::make_unique<PlanDriver>(now, std::move(table), route, deadline,
                                      context, std::move(next_attempt));
}

std::unique_ptr<RoutedDriver> MakeNaiveDriver(const Route* route,
                                              TimePoint deadline,
                                              RequestPlanContext* context,
                                              NextAttempt next_attempt) {
  return std::make_unique<NaiveDriver>(route, deadline, context,
                                       std::move(next_attempt));
}

}  // namespace greengage::bench
