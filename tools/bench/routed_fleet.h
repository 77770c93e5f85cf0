// Simulates routed instances and their searchers in virtual time, under load
// and with faults.
#ifndef TOOLS_BENCH_ROUTED_FLEET_H_
#define TOOLS_BENCH_ROUTED_FLEET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "greengage/coordination/request_plan.h"
#include "tools/bench/event_queue.h"
#include "tools/bench/fleet_shape.h"

namespace greengage::bench {

// Faults of a simulated searcher. Scenarios can change them at any time.
struct FleetSearcherFaults {
  double reject_share = 0;  // Share of arriving attempts.
  double slowdown = 1;
  bool unresponsive = false;
  // Named in each answer: requests per second from all instances together.
  std::optional<double> request_limit;
};

// Results of the requests of one load that arrived during the measurement.
struct FleetLoadResult {
  uint64_t offered = 0;
  uint64_t in_time = 0;
  uint64_t late = 0;
  uint64_t rejected = 0;  // Not run, with a retry delay.
  uint64_t failed = 0;
  double credit = 0;  // Squared coverage, less for late answers.
  // Total time that callers waited for rejections and failures.
  Duration unanswered_time{};

  double CreditShare() const;

  // Returns the mean time to a rejection or failure, in milliseconds.
  double MeanUnansweredMs() const;
};

struct FleetResult {
  std::vector<FleetLoadResult> loads;  // In the order of the shape's loads.
  uint64_t first_arrivals = 0;
  uint64_t extra_arrivals = 0;
  // The highest ratio of extra arrivals to allowed extra arrivals over all
  // services and windows.
  double max_allowance_use = 0;
  // The highest ratio of requests at a searcher that names a limit to those
  // allowed, over all windows, as FleetLimitRule counts them.
  double max_limit_use = 0;
  // Requests at searchers that name a limit over what their limits permit, on
  // average, once the rule applies.
  double mean_limit_use = 0;

  double ExtraPercent() const;
};

class RoutedFleet;

struct FleetScenario {
  FleetShape shape;
  bool naive = false;
  Duration warm_up = std::chrono::seconds(3);
  Duration measured = std::chrono::seconds(20);
  std::function<void(RoutedFleet&)> prepare;  // Schedules faults.
};

class RoutedFleet {
 public:
  RoutedFleet(FleetScenario scenario, uint64_t seed);
  ~RoutedFleet();

  FleetResult Run();

  // Accessors for the functions that schedule faults.
  EventQueue& events() { return events_; }
  std::minstd_rand& random() { return random_; }
  const FleetShape& shape() const { return scenario_.shape; }
  size_t searchers() const;
  FleetSearcherFaults& faults(size_t searcher);
  TimePoint MeasurementStart() const { return TimePoint() + scenario_.warm_up; }

 private:
  struct Instance;
  struct Searcher;
  struct Request;
  struct Attempt;

  void Build();
  void SchedulePauses(size_t searcher);
  void ScheduleArrival(size_t load);
  struct Arrival {
    TimePoint latency_start;
    bool measured = false;
    bool was_rejected = false;  // Promptly, with a retry delay.
    int retries = 0;
  };
  void OfferRequest(size_t load, const Arrival& arrival);
  void ScheduleCallerRetry(const Request& request, const RequestResult& result);
  void ExecuteActions(uint64_t request, RequestActions actions);
  void Send(uint64_t request, const AttemptToSend& send);
  void Cancel(uint64_t attempt);
  void Arrive(uint64_t attempt);
  void StartNext(Searcher& searcher);
  void Complete(uint64_t attempt);
  void Reply(uint64_t attempt, AttemptEnd end);
  void Deliver(uint64_t attempt, AttemptOutcome outcome);
  void ScheduleTimer(uint64_t request);
  void RecordResult(const Request& request, const RequestResult& result);
  Duration OneWayLatency(const Instance& instance,
                         const Searcher& searcher) const;
  Duration SampleServiceTime(const Attempt& attempt);
  void CountArrival(const std::string& service, bool extra);
  double MaxAllowanceUse() const;
  void RecordLimitUse();

  const FleetScenario scenario_;
  EventQueue events_;
  std::minstd_rand random_;
  RouteTablePtr table_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<std::unique_ptr<Searcher>> searchers_;
  std::unordered_map<uint64_t, std::unique_ptr<Request>> requests_;
  std::unordered_map<uint64_t, Attempt> attempts_;
  uint64_t next_request_ = 0;
  uint64_t next_attempt_ = 0;
  // First and extra arrivals at one service within one second.
  struct ArrivalsInSecond {
    uint64_t first = 0;
    uint64_t extra = 0;
  };
  std::unordered_map<std::string, std::vector<ArrivalsInSecond>> arrivals_;
  FleetResult result_;
};

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_ROUTED_FLEET_H_
