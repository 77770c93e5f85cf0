#include "transport/silence_monitor.h"

namespace greengage {

SilenceMonitor::SilenceMonitor(std::chrono::milliseconds timeout, TimePoint now)
    : timeout_(timeout), waiting_since_(now) {}

void SilenceMonitor::OnProgress(TimePoint now) {
  waiting_since_ = now;
  pinged_ = false;
}

SilenceAction SilenceMonitor::Check(TimePoint now) {
  if (now < next_check()) {
    return SilenceAction::kWait;
  }
  if (pinged_) {
    return SilenceAction::kReplace;
  }
  waiting_since_ = now;
  pinged_ = true;
  return SilenceAction::kPing;
}

}  // namespace greengage
