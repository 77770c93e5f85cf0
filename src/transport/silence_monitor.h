// Detects an unresponsive connection with open streams.
#ifndef GREENGAGE_TRANSPORT_SILENCE_MONITOR_H_
#define GREENGAGE_TRANSPORT_SILENCE_MONITOR_H_

#include <chrono>
#include <cstdint>

#include "greengage/state/time.h"

namespace greengage {

// Action to take on the connection.
enum class SilenceAction : uint8_t { kWait, kPing, kReplace };

// Receiving any byte counts as progress. Without progress for `timeout` the
// connection must be pinged, and after another `timeout` it must be replaced.
class SilenceMonitor {
 public:
  SilenceMonitor(std::chrono::milliseconds timeout, TimePoint now);

  void OnProgress(TimePoint now);

  SilenceAction Check(TimePoint now);

  // Returns the earliest time at which Check() may return anything but kWait.
  TimePoint next_check() const { return waiting_since_ + timeout_; }

 private:
  const std::chrono::milliseconds timeout_;
  TimePoint waiting_since_;
  bool pinged_ = false;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_SILENCE_MONITOR_H_
