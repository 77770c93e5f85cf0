// The system clocks. Only the transport layer and the programs read them; lower
// layers receive the current time as an argument.
#ifndef GREENGAGE_SRC_TRANSPORT_CLOCK_H_
#define GREENGAGE_SRC_TRANSPORT_CLOCK_H_

#include <chrono>

#include "greengage/state/time.h"

namespace greengage {

inline TimePoint Now() {
  return std::chrono::steady_clock::now();
}

inline WallTime NowWall() {
  return std::chrono::system_clock::now();
}

}  // namespace greengage

#endif  // GREENGAGE_SRC_TRANSPORT_CLOCK_H_
