// A hybrid logical clock: wall time that never contradicts cause and effect
// between processes.
#ifndef GREENGAGE_STATE_HYBRID_CLOCK_H_
#define GREENGAGE_STATE_HYBRID_CLOCK_H_

#include <compare>
#include <cstdint>
#include <mutex>

#include "greengage/state/time.h"

namespace greengage {

// A stamp: Unix milliseconds, then a counter that orders stamps within one.
struct HybridTime {
  int64_t milliseconds = 0;
  uint32_t counter = 0;

  // The check takes the zero in rewritten comparisons for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const HybridTime&) const = default;
};

// Thread-safe. Every event and every message sent takes Now(); every message
// received passes its stamp to Observe().
class HybridClock {
 public:
  // A stamp above all given out or observed before.
  HybridTime Now(WallTime wall);

  // Takes in a stamp from another process. A stamp more than a minute ahead
  // of `wall` is ignored, so that one wrong clock cannot carry all others off.
  void Observe(HybridTime remote, WallTime wall);

 private:
  std::mutex mutex_;
  HybridTime last_;
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_HYBRID_CLOCK_H_
