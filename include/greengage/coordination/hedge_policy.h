// When a sub-request without an answer gets a second attempt.
#ifndef GREENGAGE_COORDINATION_HEDGE_POLICY_H_
#define GREENGAGE_COORDINATION_HEDGE_POLICY_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "greengage/coordination/latency_window.h"
#include "greengage/state/rank.h"
#include "greengage/state/time.h"

namespace greengage {

struct HedgeOptions {
  // Sub-requests slower than this share of the recent ones are hedged.
  double quantile = 0.99;
  // Where many are slow, the delay is still no longer than this many medians.
  double max_delay_in_medians = 6;
  Duration min_delay = std::chrono::milliseconds(1);
  // Used until enough latencies are known.
  Duration initial_delay = std::chrono::milliseconds(50);
  size_t min_samples = 50;    // Recent ones needed for a quantile.
  uint32_t max_attempts = 4;  // Most for one sub-request, the first included.
};

// Thread-safe. Latencies are kept for each searcher group, which is all
// searchers of a service, and rank.
class HedgePolicy {
 public:
  explicit HedgePolicy(HedgeOptions options);

  // Takes in the time from sending to the answer, queue time included.
  void Record(TimePoint now,
              const std::string& service,
              Rank rank,
              Duration latency);

  // How long to wait for an answer before hedging.
  Duration Delay(TimePoint now, const std::string& service, Rank rank);

  // The recent median; half of the initial delay until it is known.
  Duration TypicalLatency(TimePoint now, const std::string& service, Rank rank);

  uint32_t max_attempts() const { return options_.max_attempts; }

 private:
  struct Group {
    LatencyWindow latency;
    Duration delay{};
    Duration typical{};
    std::optional<TimePoint> computed;
  };

  Group& Current(TimePoint now, const std::string& service, Rank rank);
  void Compute(TimePoint now, Group& group) const;

  const HedgeOptions options_;
  std::mutex mutex_;
  std::map<std::string, std::array<Group, kRankCount>, std::less<>> groups_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_HEDGE_POLICY_H_
