#include "greengage/state/hybrid_clock.h"

#include <chrono>
#include <limits>

namespace greengage {

namespace {

// Limits the effect of a wrong clock of another process.
constexpr std::chrono::milliseconds kMaxClockLead = std::chrono::minutes(1);

// Returns the smallest timestamp above `time`.
HybridTime Successor(HybridTime time) {
  if (time.counter == std::numeric_limits<uint32_t>::max()) {
    return {.milliseconds = time.milliseconds + 1, .counter = 0};
  }
  return {.milliseconds = time.milliseconds, .counter = time.counter + 1};
}

}  // namespace

HybridTime HybridClock::Now(WallTime wall) {
  const HybridTime physical{.milliseconds = SinceEpoch(wall).count()};
  const std::lock_guard lock(mutex_);
  last_ = physical > last_ ? physical : Successor(last_);
  return last_;
}

void HybridClock::Observe(HybridTime remote, WallTime wall) {
  const int64_t latest = (SinceEpoch(wall) + kMaxClockLead).count();
  if (remote.milliseconds > latest) {
    return;
  }
  const std::lock_guard lock(mutex_);
  if (remote > last_) {
    last_ = remote;
  }
}

}  // namespace greengage
