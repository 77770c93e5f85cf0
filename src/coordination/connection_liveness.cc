#include "greengage/coordination/connection_liveness.h"

namespace greengage {

ConnectionLiveness::ConnectionLiveness(TimePoint now,
                                       ConnectionLivenessOptions options)
    : options_(options), last_heard_(now) {}

void ConnectionLiveness::OnRequest(TimePoint now) {
  unanswered_since_ = now;
}

void ConnectionLiveness::OnAnswer(TimePoint now) {
  unanswered_since_.reset();
  last_heard_ = now;
}

ConnectionVerdict ConnectionLiveness::Judge(
    TimePoint now,
    std::optional<TimePoint> last_answer) const {
  if (!unanswered_since_) {
    return now - last_heard_ >= options_.probe_period
               ? ConnectionVerdict::kProbe
               : ConnectionVerdict::kLive;
  }
  const Duration waited = now - *unanswered_since_;
  const bool others_answer = last_answer && *last_answer > *unanswered_since_;
  const Duration patience =
      others_answer ? options_.patience : options_.longest_patience;
  return waited >= patience ? ConnectionVerdict::kSilent
                            : ConnectionVerdict::kLive;
}

TimePoint ConnectionLiveness::next_time() const {
  return unanswered_since_ ? *unanswered_since_ + options_.patience
                           : last_heard_ + options_.probe_period;
}

}  // namespace greengage
