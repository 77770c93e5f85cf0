// The clocks' types. Code that decides gets the present time as an argument
// and never reads a clock itself.
#ifndef GREENGAGE_STATE_TIME_H_
#define GREENGAGE_STATE_TIME_H_

#include <chrono>
#include <cstdint>

namespace greengage {

// A monotonic instant, for timers and deadlines inside one process.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

// A calendar instant, for values that leave the process.
using WallTime = std::chrono::system_clock::time_point;

// Milliseconds since the Unix epoch, as sent in messages.
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
