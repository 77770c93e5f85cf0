#include "greengage/coordination/stop_sequence.h"

#include <algorithm>
#include <chrono>

namespace greengage {

namespace {

// Fraction of the kill timeout that a shutdown uses. The rest is left for its
// last steps on a slow machine.
constexpr double kUsableFractionOfLimit = 11.0 / 12;

// Fraction of the kill timeout after which no answer is written any more.
constexpr double kAnswersFractionOfLimit = 23.0 / 24;

// Time for callers to read the answers that are being written at the end.
constexpr std::chrono::milliseconds kLastAnswersTime{2000};

TimePoint AnswersEnd(TimePoint started, TimePoint end, Duration limit) {
  const TimePoint unlimited = end + kLastAnswersTime;
  if (limit <= Duration::zero()) {
    return unlimited;
  }
  return std::min(unlimited,
                  started + std::chrono::duration_cast<Duration>(
                                std::chrono::duration<double>(limit) *
                                kAnswersFractionOfLimit));
}

// Scales `time`, a part of `whole`, down in proportion so that `whole` ends
// before `limit`. Zero means no limit.
Duration ScaleToLimit(Duration time, Duration whole, Duration limit) {
  const std::chrono::duration<double> usable = limit * kUsableFractionOfLimit;
  if (limit <= Duration::zero() || whole <= usable) {
    return time;
  }
  return std::chrono::duration_cast<Duration>(
      time * (usable / std::chrono::duration<double>(whole)));
}

}  // namespace

StopSequence::StopSequence(TimePoint started,
                           Duration notice,
                           Duration grace,
                           Duration kill_timeout)
    : started_(started),
      notice_(ScaleToLimit(notice, notice + grace, kill_timeout)),
      grace_(ScaleToLimit(grace, notice + grace, kill_timeout)),
      end_(started_ + notice_ + grace_),
      answers_end_(AnswersEnd(started_, end_, kill_timeout)) {}

bool StopSequence::Takes(TimePoint now, Duration longest) const {
  const bool in_first_half = now - started_ < end_ - now;
  return step_ == StopStep::kServe && (in_first_half || now + longest <= end_);
}

StopStep StopSequence::Next(TimePoint now,
                            TimePoint last_request,
                            bool has_work) {
  const TimePoint idle_since = std::max(started_, last_request);
  const bool idle = now - idle_since >= notice_;
  if (step_ == StopStep::kServe &&
      (idle || now >= started_ + notice_ + grace_ / 2)) {
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
