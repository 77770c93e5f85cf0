#include "greengage/coordination/stop_sequence.h"

#include <algorithm>
#include <chrono>

namespace greengage {

namespace {

// Share of the time until the kill that a stop uses; the rest is for its last
// steps on a slow machine.
constexpr double kUsedOfLimit = 11.0 / 12;

// `time`, which is a part of `whole`, shortened so that the whole ends before
// `limit`; zero: there is no limit.
Duration Fit(Duration time, Duration whole, Duration limit) {
  const std::chrono::duration<double> used = limit * kUsedOfLimit;
  if (limit <= Duration::zero() || whole <= used) {
    return time;
  }
  return std::chrono::duration_cast<Duration>(
      time * (used / std::chrono::duration<double>(whole)));
}

}  // namespace

StopSequence::StopSequence(TimePoint started,
                           Duration notice,
                           Duration grace,
                           Duration within)
    : started_(started),
      notice_(Fit(notice, notice + grace, within)),
      grace_(Fit(grace, notice + grace, within)) {}

StopStep StopSequence::Next(TimePoint now,
                            TimePoint last_request,
                            bool has_work) {
  const TimePoint quiet_since = std::max(started_, last_request);
  const bool quiet = now - quiet_since >= notice_;
  if (step_ == StopStep::kServe &&
      (quiet || now >= started_ + notice_ + grace_ / 2)) {
    step_ = StopStep::kDrain;
  } else if (step_ == StopStep::kDrain && !has_work) {
    step_ = StopStep::kFinished;
  }
  if (now >= started_ + notice_ + grace_) {
    step_ = StopStep::kFinished;
  }
  return step_;
}

}  // namespace greengage
