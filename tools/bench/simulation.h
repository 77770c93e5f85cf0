// One entry and owner instance's decisions against fake searchers.
#ifndef TOOLS_BENCH_SIMULATION_H_
#define TOOLS_BENCH_SIMULATION_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "greengage/coordination/admission.h"
#include "tools/bench/event_queue.h"
#include "tools/bench/fake_owner.h"
#include "tools/bench/fake_searcher.h"
#include "tools/bench/query_driver.h"
#include "tools/bench/run_result.h"
#include "tools/bench/shape.h"

namespace greengage::bench {

class Simulation;

using RankRates = std::array<double, kRankCount>;

// A run: the load, and the faults that `prepare` schedules. Load is given as
// shares of the capacity.
struct Scenario {
  Shape shape;
  bool naive = false;
  RankRates load{0.3, 0.2, 0.1};
  std::optional<RankRates> flood;  // In place of `load` once measuring begins.
  Duration warm_up = std::chrono::seconds(1);
  Duration measured = std::chrono::seconds(5);
  Duration deadline = std::chrono::milliseconds(250);
  RankOrdering ordering = RankOrdering::kStrictWithFloor;
  uint32_t extra_outstanding = 1;
  double extra_send_delay_ratio = 0.5;
  bool returns_hits = false;
  bool tracks_hedges = false;  // Measures how late hedges are.
  std::function<void(Simulation&)> prepare;
};

class Simulation {
 public:
  Simulation(Scenario scenario, uint64_t seed);

  RunResult Run();

  // For the scenarios' faults.
  EventQueue& events() { return events_; }
  FakeSearcher& searcher(size_t i) { return *searchers_[i]; }
  FakeOwner& owner(size_t i) { return *owners_[i]; }
  size_t searchers() const { return searchers_.size(); }
  size_t replicas() const { return scenario_.shape.replicas; }
  SearcherTracker& tracker() { return tracker_; }
  TimePoint MeasurementStart() const { return TimePoint() + scenario_.warm_up; }
  const ConfigurationPtr& configuration() const { return configuration_; }
  RunResult& result() { return result_; }
  void Kill(size_t searcher);
  void Restart(size_t searcher);
  void ActivateConfiguration(Configuration configuration);

 private:
  struct FirstAttempt {
    CallId call;
    TimePoint hedge_due;  // When its hedge should go out.
  };

  struct LiveQuery {
    std::unique_ptr<QueryDriver> driver;
    Query query;
    TimePoint started;
    TimePoint timer_at = TimePoint::max();
    bool measured = false;
    std::map<std::string, FirstAttempt>
        first_attempts;  // By shard, if tracked.
  };

  void BuildSearchers(uint64_t seed);
  void ScheduleArrival(Rank rank);
  double RateOf(Rank rank) const;
  void OfferQuery(Rank rank);
  bool IsMeasured() const;
  void StartQuery(Query query, bool measured);
  std::unique_ptr<QueryDriver> MakeDriver(const Query& query);
  void ExecuteActions(uint32_t index, QueryActions actions);
  void Send(uint32_t index, const SendAction& action);
  void Cancel(const CancelAction& action);
  void TrackHedge(uint32_t index, CallId id, const SendAction& action);
  void ScheduleTimer(uint32_t index);
  void OnTimer(uint32_t index);
  void OnEnd(CallId id, SubAnswer answer);
  void Deliver(CallId id, SubAnswer answer);
  void Finish(uint32_t index, const Answer& answer);
  void RecordAnswer(const LiveQuery& live, const Answer& answer);
  bool IsCoverageConsistent(const Answer& answer) const;
  void CheckConnections();

  const Scenario scenario_;
  EventQueue events_;
  SubCallTable calls_;
  std::minstd_rand random_;
  ConfigurationPtr configuration_;
  SearcherTracker tracker_;
  HedgePolicy hedge_policy_;
  HedgeBudget hedge_budget_;
  RetryBudget retry_budget_;
  Admission admission_;
  QueryContext context_;
  std::vector<std::unique_ptr<FakeSearcher>> searchers_;
  std::vector<std::unique_ptr<FakeOwner>> owners_;
  std::vector<LiveQuery> queries_;
  std::unordered_map<uint64_t, CallId> calls_by_id_;
  RunResult result_;
};

// Runs `scenario` as the naive baseline and as the policy.
struct Comparison {
  RunResult baseline;
  RunResult policy;
};
Comparison Compare(Scenario scenario, uint64_t seed);

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_SIMULATION_H_
