// Decides when a link that owes answers counts as silent.
#ifndef GREENGAGE_TRANSPORT_SILENCE_MONITOR_H_
#define GREENGAGE_TRANSPORT_SILENCE_MONITOR_H_

#include <chrono>
#include <cstdint>

#include "greengage/state/time.h"

namespace greengage {

// What to do with the link now.
enum class SilenceAction : uint8_t { kWait, kPing, kReplace };

// Any byte received is progress. Without any for `timeout` the link is to be
// pinged, and without any for `timeout` after that it is to be replaced.
class SilenceMonitor {
 public:
  SilenceMonitor(std::chrono::milliseconds timeout, TimePoint now);

  void OnProgress(TimePoint now);

  SilenceAction Check(TimePoint now);

  // When Check() can next give anything but kWait.
  TimePoint next_check() const { return waiting_since_ + timeout_; }

 private:
  const std::chrono::milliseconds timeout_;
  TimePoint waiting_since_;
  bool pinged_ = false;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_SILENCE_MONITOR_H_
