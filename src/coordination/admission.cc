#include "greengage/coordination/admission.h"

#include <algorithm>

namespace greengage {

namespace {

constexpr Duration kSlice = std::chrono::milliseconds(100);
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(20);
constexpr double kCut = 0.7;      // Of the limit, for a slice with refusals.
constexpr double kGrowth = 0.05;  // Of the whole limit, for one without.
constexpr double kLeastFactor = 0.1;
constexpr uint32_t kLeastAnswers = 20;  // In a slice, to judge refusals by.

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
    return AdmissionRejection{Refusal::kDeadline, kLeastRetryAfter};
  }
  const std::lock_guard lock(mutex_);
  Line& line = LineOf(query.service, query.rank);
  Advance(now, line);
  const double rate = RatePerSecond(line);
  const double allowed = Seconds(time_left) * options_.deadline_fraction * line.factor;
  const double limit =
      std::max(static_cast<double>(options_.min_in_flight), rate * allowed);
  if (static_cast<double>(line.in_flight) < limit) {
    ++line.in_flight;
    return std::nullopt;
  }
  const double predicted =
      rate > 0 ? static_cast<double>(line.in_flight) / rate : allowed;
  return AdmissionRejection{Refusal::kOverloaded,
                          std::max(kLeastRetryAfter, FromSeconds(predicted))};
}

void Admission::OnEnded(TimePoint now,
                        const Query& query,
                        const Answer& /*answer*/) {
  const std::lock_guard lock(mutex_);
  Line& line = LineOf(query.service, query.rank);
  Advance(now, line);
  if (line.in_flight > 0) {
    --line.in_flight;
  }
  ++line.ended[static_cast<size_t>(line.slice) % kSlices];
}

void Admission::OnSubAnswer(TimePoint now,
                            const std::string& service,
                            Rank rank,
                            const SubAnswer& answer) {
  const std::lock_guard lock(mutex_);
  Line& line = LineOf(service, rank);
  Advance(now, line);
  ++line.answers;
  if (answer.refusal == Refusal::kOverloaded ||
      answer.refusal == Refusal::kShed) {
    ++line.refused;
  }
}

size_t Admission::in_flight(const std::string& service, Rank rank) const {
  const std::lock_guard lock(mutex_);
  const auto it = lines_.find(service);
  return it == lines_.end() ? 0 : it->second[IndexOf(rank)].in_flight;
}

void Admission::Advance(TimePoint now, Line& line) const {
  const int64_t present = now.time_since_epoch() / kSlice;
  if (present == line.slice) {
    return;
  }
  const int64_t oldest =
      std::max(line.slice + 1, present - static_cast<int64_t>(kSlices) + 1);
  for (int64_t slice = oldest; slice <= present; ++slice) {
    line.ended[static_cast<size_t>(slice) % kSlices] = 0;
  }
  line.slice = present;
  const double refused = line.refused;
  if (line.answers >= kLeastAnswers &&
      refused > options_.max_rejected_ratio * line.answers) {
    line.factor = std::max(kLeastFactor, line.factor * kCut);
  } else {
    line.factor = std::min(1.0, line.factor + kGrowth);
  }
  line.answers = 0;
  line.refused = 0;
}

// The better of the rates over the newer and the older half of the whole
// slices, so that a pause in demand does not look like a loss of capacity.
double Admission::RatePerSecond(const Line& line) const {
  constexpr size_t kHalf = (kSlices - 1) / 2;
  const auto ended_over = [&](size_t first, size_t count) {
    double sum = 0;
    for (size_t age = first; age < first + count; ++age) {
      const auto slice = static_cast<size_t>(line.slice) + kSlices - age;
      sum += line.ended[slice % kSlices];
    }
    return sum;
  };
  const double best =
      std::max(ended_over(1, kHalf), ended_over(1 + kHalf, kHalf));
  return best / (Seconds(kSlice) * kHalf);
}

Admission::Line& Admission::LineOf(const std::string& service, Rank rank) {
  return lines_[service][IndexOf(rank)];
}

}  // namespace greengage
