// Dependencies of a RequestPlan, with searchers for tests.
#ifndef GREENGAGE_TESTS_HARNESS_PLAN_FIXTURE_H_
#define GREENGAGE_TESTS_HARNESS_PLAN_FIXTURE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "greengage/coordination/request_plan.h"

namespace greengage {

inline constexpr TimePoint kPlanStart{std::chrono::seconds(100)};

// Services "s0", "s1" and so on, each with searchers "s0/0", "s0/1" and so on.
struct PlanFixture {
  explicit PlanFixture(size_t services, size_t searchers, double extra = 100)
      : context({[](const RoutedSearcher&) {},
                 [](const RoutedSearcher&, std::string_view) {}},
                {.initial_delay = std::chrono::milliseconds(40)},
                "here") {
    context.extra_arrivals = ExtraArrivalBudget({0.15, extra});
    std::vector<SearcherEntry> entries;
    for (size_t service = 0; service < services; ++service) {
      for (size_t searcher = 0; searcher < searchers; ++searcher) {
        SearcherEntry entry;
        entry.service = "s" + std::to_string(service);
        entry.id = entry.service + "/" + std::to_string(searcher);
        entry.data_centre = "here";
        entry.slots = 2;
        entries.push_back(std::move(entry));
      }
    }
    context.searchers.Replace(kPlanStart, entries);
  }

  // Returns a plan that starts at `now`, for `route` in a table of its own.
  RequestPlan Plan(Route route,
                   std::chrono::milliseconds deadline,
                   TimePoint now = kPlanStart,
                   AttemptPolicy policy = AttemptPolicy::kParallel) {
    route.path_prefix = "/";
    RouteTable::Builder builder;
    builder.Add(std::move(route));
    const RouteTablePtr table = *builder.Build();
    const Route* const planned = &table->routes().front();
    return RequestPlan(
        now, table, planned, TermsOf(*planned, nullptr), now + deadline,
        &context, [this] { return ++last_attempt; }, policy);
  }

  // Makes each searcher of `service` reject `count` attempts.
  void RecordRejections(const std::string& service, int count) {
    for (const RoutedSearcherPtr& searcher :
         context.searchers.ForService(service)) {
      for (int i = 0; i < count; ++i) {
        AttemptOutcome rejected;
        rejected.end = AttemptEnd::kRejected;
        searcher->OnSent(kPlanStart, ++last_attempt);
        searcher->OnEnded(kPlanStart, last_attempt, rejected, Duration::zero(),
                          Duration::zero());
      }
    }
  }

  // Makes each searcher of `service` `factor` times as slow as others.
  void RecordSlowAnswers(const std::string& service, int factor) {
    constexpr std::chrono::milliseconds kTypical{20};
    constexpr int kAnswers = 20;
    for (const RoutedSearcherPtr& searcher :
         context.searchers.ForService(service)) {
      for (int i = 0; i < kAnswers; ++i) {
        AttemptOutcome answered;
        answered.end = AttemptEnd::kAnswered;
        searcher->OnSent(kPlanStart - factor * kTypical, ++last_attempt);
        searcher->OnEnded(kPlanStart, last_attempt, answered, kTypical,
                          Duration::zero());
      }
    }
  }

  RequestPlanContext context;
  uint64_t last_attempt = 0;
};

inline Route SingleRoute(RequestKind kind, uint32_t max_attempts = 2) {
  Route route;
  route.name = "single";
  route.kind = kind;
  route.timeout = std::chrono::milliseconds(2000);
  route.target_latency = std::chrono::milliseconds(500);
  route.max_attempts = max_attempts;
  route.services = {{"s0", 1}};
  return route;
}

inline Route GatherRoute(size_t shards, double min_coverage) {
  Route route;
  route.name = "gather";
  route.kind = RequestKind::kIdempotent;
  route.timeout = std::chrono::milliseconds(2000);
  route.target_latency = std::chrono::milliseconds(250);
  route.max_attempts = 2;
  route.gather = GatherRule{{}, 5, min_coverage};
  for (size_t i = 0; i < shards; ++i) {
    route.gather->shards.push_back("s" + std::to_string(i));
  }
  return route;
}

inline AttemptOutcome Ended(AttemptEnd end, unsigned status = 200) {
  AttemptOutcome outcome;
  outcome.end = end;
  outcome.answer.status = status;
  return outcome;
}

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_PLAN_FIXTURE_H_
