// The system clocks. Only the transport layer and the programs read them; lower
// layers receive the current time as an argument.
#ifndef GREENGAGE_SRC_TRANSPORT_CLOCK_H_
#define GREENGAGE_SRC_TRANSPORT_CLOCK_H_

#include <time.h>

#include <chrono>

#include "greengage/state/time.h"

namespace greengage {

inline TimePoint Now() {
  return std::chrono::steady_clock::now();
}

// Returns the present time of a clock that also counts the time for which the
// machine was suspended, which the steady clock may not. Its values cannot be
// compared with those of Now().
inline TimePoint NowWithSuspension() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

inline WallTime NowWall() {
  return std::chrono::system_clock::now();
}

}  // namespace greengage

#endif  // GREENGAGE_SRC_TRANSPORT_CLOCK_H_
