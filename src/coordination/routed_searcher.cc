#include "greengage/coordination/routed_searcher.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace greengage {
namespace {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Failures in a row before a searcher is avoided, and for how long. A first
// short pause sends the trial soon after a reset; the longest bounds what a
// searcher that is back loses.
constexpr uint32_t kFailuresToAvoid = 2;
constexpr Duration kFirstAvoidance = milliseconds(250);
constexpr Duration kLongestAvoidance = std::chrono::seconds(4);

// A searcher is taken to have stopped answering when a request is this many
// usual times old and nothing sent later or earlier has been answered since.
constexpr int kStallFactor = 3;
constexpr Duration kLeastStall = milliseconds(40);

// A searcher that has stopped answering gets a request this often, to see
// whether it is back.
constexpr Duration kTrialPeriod = milliseconds(500);

// Half-lives of what was learned once nothing new comes in: a searcher that
// was slow or failed is tried again after a few of them.
constexpr Duration kHalfLife = std::chrono::seconds(2);

// Weight of one new sample.
constexpr double kSampleWeight = 0.25;
constexpr double kMostSlowness = 20;

// Time of a request at a searcher that warms up, over the usual one.
constexpr double kColdFactor = 1.6;

// Load that a searcher told longer ago than this says nothing any more.
constexpr Duration kLoadLifetime = milliseconds(100);

// What a failure costs its request, in usual times: an attempt elsewhere.
constexpr double kErrorCost = 4;

}  // namespace

RoutedSearcher::RoutedSearcher(TimePoint now, SearcherEntry entry)
    : entry_(std::move(entry)),
      warm_at_(now + entry_.warm_up_left),
      slowness_(now, 1, kHalfLife),
      silent_slowness_(now, 1, kHalfLife),
      error_share_(now, 0, kHalfLife) {}

void RoutedSearcher::Refresh(TimePoint now, SearcherEntry entry) {
  // Once it leaves, it does not come back as the same process.
  entry.draining = entry.draining || entry_.draining;
  entry_ = std::move(entry);
  warm_at_ = now + entry_.warm_up_left;
  forgotten_at_.reset();
}

void RoutedSearcher::OnMissing(TimePoint now, Duration grace) {
  if (!forgotten_at_) {
    forgotten_at_ = now + grace;
  }
}

bool RoutedSearcher::Forgotten(TimePoint now) const {
  return gone_ || (forgotten_at_ && now >= *forgotten_at_);
}

void RoutedSearcher::OnSent(TimePoint now, AttemptId attempt) {
  sent_.emplace_back(attempt, now);
}

void RoutedSearcher::OnEnded(TimePoint now,
                             AttemptId attempt,
                             const AttemptOutcome& outcome,
                             Duration typical,
                             Duration distance) {
  const auto found = std::find_if(
      sent_.begin(), sent_.end(),
      [attempt](const auto& entry) { return entry.first == attempt; });
  if (found == sent_.end()) {
    return;
  }
  const TimePoint sent = found->second;
  const Duration latency = now - sent;
  sent_.erase(found);
  if (outcome.load) {
    load_ = *outcome.load;
    load_at_ = now;
  }
  switch (outcome.end) {
    case AttemptEnd::kAnswered:
      OnSuccess(now);
      LearnErrors(now, false);
      LearnSpeed(now, latency - distance, typical, slowness_);
      break;
    case AttemptEnd::kFailed:
    case AttemptEnd::kTurnedAway:
      OnSuccess(now);
      LearnErrors(now, true);
      break;
    case AttemptEnd::kMisdirected:
      OnGone();
      break;
    case AttemptEnd::kLost:
      OnFailure(now, false);
      LearnErrors(now, true);
      break;
    case AttemptEnd::kNotSent:
      OnFailure(now, true);
      break;
    case AttemptEnd::kAbandoned:
      LearnSpeed(now, latency, typical,
                 last_answer_ < sent ? silent_slowness_ : slowness_);
      break;
  }
}

void RoutedSearcher::OnSuccess(TimePoint now) {
  last_answer_ = now;
  failures_ = 0;
  avoided_until_.reset();
  avoidance_ = Duration::zero();
  silent_slowness_.Reset();
}

void RoutedSearcher::OnFailure(TimePoint now, bool certain) {
  ++failures_;
  if (failures_ < kFailuresToAvoid && !certain) {
    return;
  }
  if (avoided_until_ && now < *avoided_until_) {
    return;
  }
  avoidance_ = std::clamp(avoidance_ * 2, kFirstAvoidance, kLongestAvoidance);
  avoided_until_ = now + avoidance_;
}

void RoutedSearcher::LearnSpeed(TimePoint now,
                                Duration latency,
                                Duration typical,
                                DecayedMean& slowness) const {
  if (typical <= Duration::zero()) {
    return;
  }
  const double sample =
      std::clamp(duration<double>(latency) / duration<double>(typical), 0.25,
                 kMostSlowness);
  slowness.Add(now, sample, kSampleWeight);
}

void RoutedSearcher::LearnErrors(TimePoint now, bool error) {
  error_share_.Add(now, error ? 1 : 0, kSampleWeight);
}

double RoutedSearcher::ErrorShare(TimePoint now) const {
  return error_share_.At(now);
}

Duration RoutedSearcher::SilentFor(TimePoint now) const {
  if (sent_.empty() || last_answer_ >= sent_.front().second) {
    return Duration::zero();
  }
  return now - sent_.front().second;
}

bool RoutedSearcher::TakesTrial(TimePoint now) const {
  return sent_.empty() || now - sent_.back().second >= kTrialPeriod;
}

bool RoutedSearcher::HasStalled(TimePoint now, Duration typical) const {
  const Duration patience = std::max(
      kLeastStall,
      kStallFactor *
          duration_cast<Duration>(typical * std::max(slowness_.At(now), 1.0)));
  return SilentFor(now) > patience;
}

Usability RoutedSearcher::UsabilityAt(TimePoint now, Duration typical) const {
  if (gone_ || entry_.draining) {
    return Usability::kNone;
  }
  if (forgotten_at_) {
    return Forgotten(now) ? Usability::kNone : Usability::kMissing;
  }
  // After its time, an avoided searcher gets one attempt at a time.
  const bool avoided =
      avoided_until_ && (now < *avoided_until_ || !sent_.empty());
  return avoided || HasStalled(now, typical) ? Usability::kAvoided
                                             : Usability::kGood;
}

Duration RoutedSearcher::ExpectedTime(TimePoint now,
                                      Duration typical,
                                      Duration distance) const {
  const double slots = std::max(1U, entry_.slots);
  double ahead = static_cast<double>(sent_.size());
  if (now - load_at_ < kLoadLifetime) {
    const double told = load_.running + load_.waiting;
    ahead = std::max(ahead, told);
  }
  double factor = std::max(slowness_.At(now), silent_slowness_.At(now));
  if (now < warm_at_) {
    factor = std::max(factor, kColdFactor);
  }
  factor *= 1 + std::max(0.0, ahead + 1 - slots) / slots;
  // Equal searchers share the work: a free slot counts a little.
  factor *= 1 + 0.1 * ahead / slots;
  factor += kErrorCost * ErrorShare(now);
  return distance + duration_cast<Duration>(typical * factor);
}

}  // namespace greengage
