// A hybrid logical clock: timestamps close to wall time whose order is
// consistent with causality between processes.
#ifndef GREENGAGE_STATE_HYBRID_CLOCK_H_
#define GREENGAGE_STATE_HYBRID_CLOCK_H_

#include <compare>
#include <cstdint>
#include <mutex>

#include "greengage/state/time.h"

namespace greengage {

// A timestamp: Unix time in milliseconds, and a counter that orders timestamps
// of the same millisecond.
struct HybridTime {
  int64_t milliseconds = 0;
  uint32_t counter = 0;

  // clang-tidy mistakes the zero in rewritten comparisons for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const HybridTime&) const = default;
};

// Thread-safe. Call Now() for every event and every sent message, and Observe()
// with the timestamp of every received message.
class HybridClock {
 public:
  // Returns a timestamp greater than all those returned or observed before.
  HybridTime Now(WallTime wall);

  // Advances the clock to a timestamp from another process. A timestamp more
  // than one minute ahead of `wall` is ignored, so that a single wrong clock
  // cannot advance the clocks of all other processes.
  void Observe(HybridTime remote, WallTime wall);

 private:
  std::mutex mutex_;
  HybridTime last_;
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_HYBRID_CLOCK_H_
