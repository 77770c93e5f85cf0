#include "greengage/coordination/routed_searcher.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>

namespace greengage {
namespace {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// A searcher is ejected after this many consecutive failures, or after one
// attempt that could not be sent. The ejection time doubles each time. The base
// is short, so that a searcher is retried soon after a connection reset; the
// maximum bounds how long a recovered searcher stays unused.
constexpr uint32_t kFailuresToEject = 2;
constexpr Duration kBaseEjectionTime = milliseconds(250);
constexpr Duration kMaxEjectionTime = std::chrono::seconds(4);

// A searcher counts as stalled if its oldest request is older than this many
// typical latencies and it has answered no request since that one was sent.
constexpr int kStallFactor = 3;
constexpr Duration kMinStallTimeout = milliseconds(40);

// An unhealthy searcher receives a request this often, as a probe.
constexpr Duration kProbeInterval = milliseconds(500);

// Half-life of the estimates while there are no new samples. A searcher that
// was slow or failed is tried again after a few half-lives.
constexpr Duration kEstimateHalfLife = std::chrono::seconds(2);

constexpr double kSampleWeight = 0.25;
constexpr double kMaxLatencyRatio = 20;

// Latency over the typical latency while a searcher warms up.
constexpr double kWarmUpLatencyRatio = 1.6;

// How long a request that waits for a connection may keep its token. Requests
// that wait for longer would be sent at once, beside those that get tokens
// then.
constexpr Duration kTokenLifetime = std::chrono::seconds(1);

// A load report is ignored once it is older than this.
constexpr Duration kLoadReportLifetime = milliseconds(100);

// An absurd load that a searcher reports would overflow a longer latency.
constexpr duration<double> kMaxExpectedLatency{3600};

// Cost of a failure in typical latencies: the retry at another searcher.
constexpr double kErrorPenalty = 4;

// Returns whether the attempt ended with an answer of the searcher itself.
bool IsOwnAnswer(AttemptEnd end) {
  return end == AttemptEnd::kAnswered || end == AttemptEnd::kFailed ||
         end == AttemptEnd::kRejected;
}

uint64_t NextNumber() {
  static std::atomic<uint64_t> last_number{0};
  return ++last_number;
}

}  // namespace

RoutedSearcher::RoutedSearcher(TimePoint now, SearcherEntry entry)
    : number_(NextNumber()),
      entry_(std::move(entry)),
      warm_at_(now + entry_.warm_up_left),
      latency_ratio_(now, 1, kEstimateHalfLife),
      unanswered_latency_ratio_(now, 1, kEstimateHalfLife),
      error_rate_(now, 0, kEstimateHalfLife),
      rate_limit_(now),
      work_time_(now, 1, kEstimateHalfLife) {}

void RoutedSearcher::UpdateEntry(TimePoint now, SearcherEntry entry) {
  // A process that is draining never becomes available again.
  entry.draining = entry.draining || entry_.draining;
  entry_ = std::move(entry);
  warm_at_ = now + entry_.warm_up_left;
  expires_at_.reset();
}

void RoutedSearcher::OnClosed(TimePoint until) {
  closed_until_ = std::max(closed_until_.value_or(until), until);
}

bool RoutedSearcher::SetDraining() {
  if (gone_ || entry_.draining) {
    return false;
  }
  entry_.draining = true;
  return true;
}

void RoutedSearcher::OnUnregistered(TimePoint now, Duration grace) {
  if (!expires_at_) {
    expires_at_ = now + grace;
  }
}

bool RoutedSearcher::IsExpired(TimePoint now) const {
  return gone_ || (expires_at_ && now >= *expires_at_);
}

void RoutedSearcher::OnSent(TimePoint now,
                            AttemptId attempt,
                            const LimitShare& limit_share) {
  outstanding_.push_back(
      {attempt, now, rate_limit_.limit() ? std::optional(now) : std::nullopt});
  rate_limit_.OnSent(now, limit_share);
}

std::vector<RoutedSearcher::Outstanding>::iterator RoutedSearcher::Find(
    AttemptId attempt) {
  return std::find_if(outstanding_.begin(), outstanding_.end(),
                      [attempt](const Outstanding& outstanding) {
                        return outstanding.attempt == attempt;
                      });
}

void RoutedSearcher::OnWithdrawn(AttemptId attempt) {
  const auto found = Find(attempt);
  if (found == outstanding_.end()) {
    return;
  }
  if (found->token_at) {
    rate_limit_.OnNotSent();
  }
  outstanding_.erase(found);
}

bool RoutedSearcher::RenewToken(TimePoint now,
                                AttemptId attempt,
                                const LimitShare& limit_share,
                                const TokenDemand& demand) {
  const auto found = Find(attempt);
  if (!rate_limit_.limit() || found == outstanding_.end() ||
      (found->token_at && now - *found->token_at < kTokenLifetime)) {
    return true;
  }
  found->token_at.reset();
  if (rate_limit_.WaitFor(now, limit_share, demand) > Duration::zero()) {
    return false;
  }
  found->token_at = now;
  rate_limit_.TakeToken(now, limit_share);
  return true;
}

void RoutedSearcher::OnEnded(TimePoint now,
                             AttemptId attempt,
                             const AttemptOutcome& outcome,
                             Duration typical,
                             Duration distance) {
  const auto found = Find(attempt);
  if (found == outstanding_.end()) {
    return;
  }
  const TimePoint sent = found->sent;
  const Duration latency = now - sent;
  if (ProvesNotSent(outcome.end) && found->token_at) {
    rate_limit_.OnNotSent();
  }
  outstanding_.erase(found);
  if (outcome.load) {
    RecordLoad(now, *outcome.load);
  }
  // A rejection that names no limit may come from a full queue.
  if (IsOwnAnswer(outcome.end) &&
      (outcome.request_limit || outcome.end != AttemptEnd::kRejected)) {
    rate_limit_.OnAnswer(now, outcome.request_limit);
  }
  switch (outcome.end) {
    case AttemptEnd::kAnswered:
      OnSuccess(now);
      RecordError(now, false);
      RecordLatency(now, latency - distance, typical, latency_ratio_);
      break;
    case AttemptEnd::kFailed:
    case AttemptEnd::kRejected:
      OnSuccess(now);
      RecordError(now, true);
      break;
    case AttemptEnd::kMisdirected:
      OnGone();
      break;
    case AttemptEnd::kLost:
      OnFailure(now, false);
      RecordError(now, true);
      break;
    case AttemptEnd::kNotSent:
      OnFailure(now, true);
      break;
    case AttemptEnd::kWithheld:
      break;
    case AttemptEnd::kAbandoned:
      RecordLatency(
          now, latency, typical,
          last_answer_at_ < sent ? unanswered_latency_ratio_ : latency_ratio_);
      break;
  }
}

void RoutedSearcher::OnSuccess(TimePoint now) {
  last_answer_at_ = now;
  failures_ = 0;
  ejected_until_.reset();
  ejection_time_ = Duration::zero();
  unanswered_latency_ratio_.Reset();
}

void RoutedSearcher::OnFailure(TimePoint now, bool not_sent) {
  ++failures_;
  if (failures_ < kFailuresToEject && !not_sent) {
    return;
  }
  if (ejected_until_ && now < *ejected_until_) {
    return;
  }
  ejection_time_ =
      std::clamp(ejection_time_ * 2, kBaseEjectionTime, kMaxEjectionTime);
  ejected_until_ = now + ejection_time_;
}

void RoutedSearcher::RecordLatency(TimePoint now,
                                   Duration latency,
                                   Duration typical,
                                   DecayedMean& latency_ratio) const {
  if (typical <= Duration::zero()) {
    return;
  }
  const double sample =
      std::clamp(duration<double>(latency) / duration<double>(typical), 0.25,
                 kMaxLatencyRatio);
  latency_ratio.Add(now, sample, kSampleWeight);
}

void RoutedSearcher::RecordError(TimePoint now, bool error) {
  error_rate_.Add(now, error ? 1 : 0, kSampleWeight);
}

// A load with a work time changes faster than an instance hears of it. Choosing
// searchers by it served callers no better, and sent more to other regions.
void RoutedSearcher::RecordLoad(TimePoint now, const ReportedLoad& load) {
  if (load.work_time) {
    load_.work_time = load.work_time;
    work_time_.Add(now, *load.work_time, kSampleWeight);
    return;
  }
  load_ = load;
  load_received_at_ = now;
}

double RoutedSearcher::ExpectedWorkTime(TimePoint now) const {
  return work_time_.At(now);
}

double RoutedSearcher::ErrorRate(TimePoint now) const {
  return error_rate_.At(now);
}

Duration RoutedSearcher::UnansweredFor(TimePoint now) const {
  if (outstanding_.empty() || last_answer_at_ >= outstanding_.front().sent) {
    return Duration::zero();
  }
  return now - outstanding_.front().sent;
}

bool RoutedSearcher::AllowsProbe(TimePoint now) const {
  return outstanding_.empty() ||
         now - outstanding_.back().sent >= kProbeInterval;
}

bool RoutedSearcher::HasStalled(TimePoint now, Duration typical) const {
  const Duration stall_timeout = std::max(
      kMinStallTimeout,
      kStallFactor * duration_cast<Duration>(
                         typical * std::max({latency_ratio_.At(now),
                                             ExpectedWorkTime(now), 1.0})));
  return UnansweredFor(now) > stall_timeout;
}

Usability RoutedSearcher::UsabilityAt(TimePoint now, Duration typical) const {
  if (gone_ || entry_.draining) {
    return Usability::kUnusable;
  }
  if (expires_at_) {
    return IsExpired(now) ? Usability::kUnusable : Usability::kUnregistered;
  }
  // After its ejection time, a searcher gets one attempt at a time.
  const bool ejected =
      ejected_until_ && (now < *ejected_until_ || !outstanding_.empty());
  return ejected || HasStalled(now, typical) ? Usability::kUnhealthy
                                             : Usability::kHealthy;
}

Duration RoutedSearcher::ExpectedLatency(TimePoint now,
                                         Duration typical,
                                         Duration distance) const {
  const double slots = std::max(1U, entry_.slots);
  double requests_ahead = static_cast<double>(outstanding_.size());
  if (now - load_received_at_ < kLoadReportLifetime) {
    const double reported =
        static_cast<double>(load_.running) + static_cast<double>(load_.waiting);
    requests_ahead = std::max(requests_ahead, reported);
  }
  double factor =
      std::max(latency_ratio_.At(now), unanswered_latency_ratio_.At(now));
  if (now < warm_at_) {
    factor = std::max(factor, kWarmUpLatencyRatio);
  }
  factor *= 1 + std::max(0.0, requests_ahead + 1 - slots) / slots;
  // A small penalty per request spreads the load over equal searchers even
  // while they have free slots.
  factor *= 1 + 0.1 * requests_ahead / slots;
  factor += kErrorPenalty * ErrorRate(now);
  return distance + duration_cast<Duration>(std::min<duration<double>>(
                        typical * factor, kMaxExpectedLatency));
}

}  // namespace greengage
