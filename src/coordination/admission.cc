#include "greengage/coordination/admission.h"

#include <algorithm>

namespace greengage {

namespace {

constexpr Duration kSliceLength = std::chrono::milliseconds(100);
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(20);
// Multiplies the limit after a slice with too many rejections.
constexpr double kDecreaseFactor = 0.7;
// Added to the limit factor after any other slice.
constexpr double kIncreaseStep = 0.05;
constexpr double kMinLimitFactor = 0.1;
constexpr uint32_t kMinSubAnswers = 20;  // Minimum sample size of a slice.

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

Admission::Admission(AdmissionOptions options) : options_(options) {}

std::optional<AdmissionRejection> Admission::Admit(TimePoint now,
                                                   const Query& query) {
  const Duration time_left = query.deadline - now;
  if (time_left <= Duration::zero()) {
    return AdmissionRejection{Refusal::kDeadline, kMinRetryDelay};
  }
  const std::lock_guard lock(mutex_);
  RankState& state = StateOf(query.service, query.rank);
  AdvanceWindow(now, state);
  const double rate = RatePerSecond(state);
  const double allowed_seconds =
      Seconds(time_left) * options_.deadline_fraction * state.limit_factor;
  const double limit = std::max(static_cast<double>(options_.min_in_flight),
                                rate * allowed_seconds);
  if (static_cast<double>(state.in_flight) < limit) {
    ++state.in_flight;
    return std::nullopt;
  }
  const double predicted_seconds =
      rate > 0 ? static_cast<double>(state.in_flight) / rate : allowed_seconds;
  return AdmissionRejection{
      Refusal::kOverloaded,
      std::max(kMinRetryDelay, FromSeconds(predicted_seconds))};
}

void Admission::OnEnded(TimePoint now,
                        const Query& query,
                        const Answer& /*answer*/) {
  const std::lock_guard lock(mutex_);
  RankState& state = StateOf(query.service, query.rank);
  AdvanceWindow(now, state);
  if (state.in_flight > 0) {
    --state.in_flight;
  }
  ++state.ended[static_cast<size_t>(state.slice) % kSlices];
}

void Admission::OnSubAnswer(TimePoint now,
                            const std::string& service,
                            Rank rank,
                            const SubAnswer& answer) {
  const std::lock_guard lock(mutex_);
  RankState& state = StateOf(service, rank);
  AdvanceWindow(now, state);
  ++state.sub_answers;
  if (answer.refusal == Refusal::kOverloaded ||
      answer.refusal == Refusal::kShed) {
    ++state.rejected;
  }
}

size_t Admission::in_flight(const std::string& service, Rank rank) const {
  const std::lock_guard lock(mutex_);
  const auto it = states_.find(service);
  return it == states_.end() ? 0 : it->second[IndexOf(rank)].in_flight;
}

void Admission::AdvanceWindow(TimePoint now, RankState& state) const {
  const int64_t current = now.time_since_epoch() / kSliceLength;
  if (current == state.slice) {
    return;
  }
  const int64_t oldest =
      std::max(state.slice + 1, current - static_cast<int64_t>(kSlices) + 1);
  for (int64_t slice = oldest; slice <= current; ++slice) {
    state.ended[static_cast<size_t>(slice) % kSlices] = 0;
  }
  state.slice = current;
  const double rejected = state.rejected;
  if (state.sub_answers >= kMinSubAnswers &&
      rejected > options_.max_rejected_ratio * state.sub_answers) {
    state.limit_factor =
        std::max(kMinLimitFactor, state.limit_factor * kDecreaseFactor);
  } else {
    state.limit_factor = std::min(1.0, state.limit_factor + kIncreaseStep);
  }
  state.sub_answers = 0;
  state.rejected = 0;
}

// Returns the higher of the completion rates over the newer and the older half
// of the complete slices, so that a pause in demand is not taken for a loss of
// capacity.
double Admission::RatePerSecond(const RankState& state) const {
  constexpr size_t kHalf = (kSlices - 1) / 2;
  const auto count_ended = [&](size_t first, size_t count) {
    double sum = 0;
    for (size_t age = first; age < first + count; ++age) {
      const auto slice = static_cast<size_t>(state.slice) + kSlices - age;
      sum += state.ended[slice % kSlices];
    }
    return sum;
  };
  const double ended =
      std::max(count_ended(1, kHalf), count_ended(1 + kHalf, kHalf));
  return ended / (Seconds(kSliceLength) * kHalf);
}

Admission::RankState& Admission::StateOf(const std::string& service,
                                         Rank rank) {
  return states_[service][IndexOf(rank)];
}

}  // namespace greengage
