// Time types. Decision logic gets the current time as an argument and never
// reads a clock, so that tests can control the time.
#ifndef GREENGAGE_STATE_TIME_H_
#define GREENGAGE_STATE_TIME_H_

#include <chrono>
#include <cstdint>

namespace greengage {

// A monotonic time point, for timers and deadlines within one process.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

// A wall-clock time point, for values that leave the process.
using WallTime = std::chrono::system_clock::time_point;

// Returns the milliseconds since the Unix epoch, as used in messages.
inline std::chrono::milliseconds SinceEpoch(WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      time.time_since_epoch());
}

inline WallTime FromEpoch(std::chrono::milliseconds since_epoch) {
  return WallTime(std::chrono::duration_cast<WallTime::duration>(since_epoch));
}

inline std::chrono::milliseconds ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace greengage

#endif  // GREENGAGE_STATE_TIME_H_
