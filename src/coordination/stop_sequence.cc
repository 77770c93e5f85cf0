#include "greengage/coordination/stop_sequence.h"

#include <algorithm>
#include <chrono>

namespace greengage {

namespace {

// Share of the time until the kill that a stop uses; the rest is for its last
// steps on a slow machine.
constexpr double kUsedOfLimit = 11.0 / 12;

// What notice and grace are multiplied by.
double Shortening(Duration notice, Duration grace, Duration within) {
  if (within <= Duration::zero()) {
    return 1;
  }
  const double wanted = std::chrono::duration<double>(notice + grace).count();
  const double limit =
      std::chrono::duration<double>(within).count() * kUsedOfLimit;
  return wanted > limit ? limit / wanted : 1;
}

Duration Scaled(Duration time, double factor) {
  return std::chrono::duration_cast<Duration>(time * factor);
}

}  // namespace

StopSequence::StopSequence(TimePoint started,
                           Duration notice,
                           Duration grace,
                           Duration within)
    : started_(started),
      notice_(Scaled(notice, Shortening(notice, grace, within))),
      serve_end_(started + notice_ +
                 Scaled(grace, Shortening(notice, grace, within)) / 2),
      end_(started + notice_ +
           Scaled(grace, Shortening(notice, grace, within))) {}

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
