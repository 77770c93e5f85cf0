// Judges the requests that a simulated searcher gets while it names a limit.
#ifndef TOOLS_BENCH_ROUTED_LIMIT_USE_H_
#define TOOLS_BENCH_ROUTED_LIMIT_USE_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "greengage/state/time.h"

namespace greengage::bench {

// How the requests at a searcher that names a limit are judged: those of the
// instances that know the limit, in any window.
struct FleetLimitRule {
  Duration settling_time = std::chrono::seconds(5);  // After it is first named.
  Duration instance_delay = std::chrono::milliseconds(500);
  std::chrono::seconds window{4};
  double tolerance = 1.5;
  double allowance = 5;  // Requests per window.
};

// Records the requests at one searcher that count by FleetLimitRule.
class FleetLimitUse {
 public:
  // Reports that an answer names `limit`, in requests per second, and reaches
  // `instance` at `arrival`.
  void OnNamed(TimePoint now, double limit, size_t instance, TimePoint arrival);

  // Reports that a request of `instance` arrives while a limit is named.
  void OnRequest(TimePoint now, size_t instance);

  // Number of requests that count.
  double requests() const { return static_cast<double>(requests_.size()); }

  // Number of requests that the limit permits in the time of requests().
  double PermittedRequests() const;

  // Returns the highest ratio of requests to allowed ones over all windows.
  double MaxWindowUse() const;

 private:
  FleetLimitRule rule_;
  double limit_ = 0;
  std::optional<TimePoint> named_at_;  // For the first time.
  // From when on the requests of an instance count.
  std::unordered_map<size_t, TimePoint> counts_from_;
  std::vector<TimePoint> requests_;
};

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_ROUTED_LIMIT_USE_H_
