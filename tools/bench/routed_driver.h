// What drives one opaque request of an experiment: the plan, or a naive
// baseline.
#ifndef TOOLS_BENCH_ROUTED_DRIVER_H_
#define TOOLS_BENCH_ROUTED_DRIVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "greengage/coordination/request_plan.h"

namespace greengage::bench {

class RoutedDriver {
 public:
  virtual ~RoutedDriver() = default;

  virtual RequestActions Start(TimePoint now) = 0;
  virtual RequestActions OnAttemptEnded(TimePoint now,
                                        uint64_t attempt,
                                        AttemptOutcome outcome) = 0;
  virtual RequestActions OnTimer(TimePoint now) = 0;
  virtual std::optional<TimePoint> next_timer() const = 0;
  virtual size_t open_attempts() const = 0;
};

using NextAttempt = std::function<uint64_t()>;

// A RequestPlan.
std::unique_ptr<RoutedDriver> MakePlanDriver(TimePoint now,
                                             RouteTablePtr table,
                                             const Route* route,
                                             TimePoint deadline,
                                             RequestPlanContext* context,
                                             NextAttempt next_attempt);

// A random searcher for each shard, another one after a failure, no hedges, no
// budget; waits for all shards until the deadline.
std::unique_ptr<RoutedDriver> MakeNaiveDriver(const Route* route,
                                              TimePoint deadline,
                                              RequestPlanContext* context,
                                              NextAttempt next_attempt);

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_ROUTED_DRIVER_H_
