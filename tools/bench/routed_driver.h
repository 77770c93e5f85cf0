// The interface by which a simulation runs one opaque request, implemented by
// the policy and by a naive baseline.
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

// Returns a driver that runs a RequestPlan.
std::unique_ptr<RoutedDriver> MakePlanDriver(TimePoint now,
                                             RouteTablePtr table,
                                             const Route* route,
                                             TimePoint deadline,
                                             RequestPlanContext* context,
                                             NextAttempt next_attempt);

// Returns a driver that sends to a random searcher of each shard and retries
// failures at a random one, without hedges or a budget. It waits for all shards
// until the deadline.
std::unique_ptr<RoutedDriver> MakeNaiveDriver(const Route* route,
                                              TimePoint deadline,
                                              RequestPlanContext* context,
                                              NextAttempt next_attempt);

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_ROUTED_DRIVER_H_
