#include "greengage/coordination/stop_sequence.h"

#include <algorithm>

namespace greengage {

StopSequence::StopSequence(TimePoint started, Duration notice, Duration grace)
    : started_(started),
      notice_(notice),
      serve_end_(started + notice + grace / 2),
      end_(started + notice + grace) {}

StopStep StopSequence::Next(TimePoint now,
                            TimePoint last_request,
                            bool has_work) {
  const TimePoint quiet_since = std::max(started_, last_request);
  const bool quiet = now - quiet_since >= notice_;
  if (step_ == StopStep::kServe && (quiet || now >= serve_end_)) {
    step_ = StopStep::kDrain;
  } else if (step_ == StopStep::kDrain && !has_work) {
    step_ = StopStep::kFinished;
  }
  if (now >= end_) {
    step_ = StopStep::kFinished;
  }
  return step_;
}

}  // namespace greengage
