// Computes the delay after which an unanswered sub-request is hedged.
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
  // Quantile of the recent latencies that is used as the hedge delay.
  double quantile = 0.99;
  // Upper bound of the delay, in medians, for when many sub-requests are slow.
  double max_delay_in_medians = 6;
  Duration min_delay = std::chrono::milliseconds(1);
  // Delay while there are fewer than `min_samples` recent latencies.
  Duration initial_delay = std::chrono::milliseconds(50);
  size_t min_samples = 50;
  uint32_t max_attempts = 4;  // Per sub-request, including the first.
};

// Tracks latencies per service, over all of its searchers, and rank.
// Thread-safe.
class HedgePolicy {
 public:
  explicit HedgePolicy(HedgeOptions options);

  // Records the time from sending to the answer, including queue time.
  void Record(TimePoint now,
              const std::string& service,
              Rank rank,
              Duration latency);

  // Returns the time to wait for an answer before hedging.
  Duration Delay(TimePoint now, const std::string& service, Rank rank);

  // Returns the recent median, or half of the initial delay while there are too
  // few samples.
  Duration TypicalLatency(TimePoint now, const std::string& service, Rank rank);

  uint32_t max_attempts() const { return options_.max_attempts; }

 private:
  struct Group {
    LatencyWindow latency;
    Duration delay{};
    Duration typical{};
    std::optional<TimePoint> computed_at;
  };

  Group& UpToDateGroup(TimePoint now, const std::string& service, Rank rank);
  void Recompute(TimePoint now, Group& group) const;

  const HedgeOptions options_;
  std::mutex mutex_;
  std::map<std::string, std::array<Group, kRankCount>, std::less<>> groups_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_HEDGE_POLICY_H_
