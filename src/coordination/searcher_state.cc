#include "greengage/coordination/searcher_state.h"

#include <algorithm>
#include <numeric>

namespace greengage {

namespace {

// Time for which a searcher is avoided for a shard that it does not hold.
constexpr Duration kRangeNotHeldTtl = std::chrono::seconds(2);

// Load reported longer ago than this is ignored.
constexpr Duration kLoadTtl = std::chrono::milliseconds(100);

// After this time a searcher may hold versions newer than it reported.
constexpr Duration kVersionsTtl = std::chrono::milliseconds(500);

// What the end of a sub-request shows about the health of its searcher.
enum class Evidence : uint8_t { kNone, kAlive, kFailure };

Evidence EvidenceOf(const SubAnswer& answer) {
  if (answer.outcome == Outcome::kAnswered) {
    return Evidence::kAlive;
  }
  switch (answer.refusal) {
    case Refusal::kShed:
    case Refusal::kDraining:
    case Refusal::kVersionNotHeld:
    case Refusal::kRangeNotHeld:
      return Evidence::kAlive;
    case Refusal::kConnectionLost:
    case Refusal::kMalformedAnswer:
      return Evidence::kFailure;
    default:
      return Evidence::kNone;
  }
}

}  // namespace

SearcherState::SearcherState(TimePoint now,
                             SearcherStateOptions options,
                             uint32_t slots)
    : options_(options), slots_(slots), slow_start_begin_(now) {}

void SearcherState::OnSent(TimePoint /*now*/, Rank rank) {
  ++outstanding_[IndexOf(rank)];
}

void SearcherState::OnEnded(TimePoint now,
                            Rank rank,
                            TimePoint sent,
                            const SubAnswer& answer) {
  DecrementOutstanding(rank);
  if (answer.load) {
    OnLoad(now, *answer.load);
  }
  if (answer.refusal == Refusal::kDraining) {
    OnDrainSignal(now);
  }
  switch (EvidenceOf(answer)) {
    case Evidence::kAlive:
      OnSuccess(now);
      break;
    case Evidence::kFailure:
      OnFailure(now);
      break;
    case Evidence::kNone:
      break;
  }
  if (answer.outcome == Outcome::kAnswered) {
    latency_.Record(now, answer.service_time);
    TimePoint& newest = newest_answered_[IndexOf(rank)];
    newest = std::max(newest, sent);
  }
}

void SearcherState::OnCancelled(TimePoint now, Rank rank, bool overdue) {
  DecrementOutstanding(rank);
  if (overdue) {
    OnFailure(now);
  }
}

void SearcherState::OnLoad(TimePoint now, const SearcherLoad& load) {
  load_ = load;
  load_at_ = now;
  if (load.draining) {
    OnDrainSignal(now);
  }
}

void SearcherState::OnDrainSignal(TimePoint now) {
  last_drain_signal_ = now;
}

void SearcherState::OnColdStart(TimePoint now) {
  cold_ = true;
  slow_start_begin_ = now;
}

void SearcherState::OnRangeNotHeld(TimePoint now, const std::string& shard) {
  std::erase_if(range_not_held_until_,
                [now](const auto& entry) { return now >= entry.second; });
  range_not_held_until_[shard] = now + kRangeNotHeldTtl;
}

bool SearcherState::LacksShard(TimePoint now, std::string_view shard) const {
  const auto found = range_not_held_until_.find(shard);
  return found != range_not_held_until_.end() && now < found->second;
}

SearcherView SearcherState::View(TimePoint now,
                                 const Endpoint& endpoint) const {
  SearcherView view;
  view.endpoint = endpoint;
  view.outstanding = outstanding_;
  view.slots = slots_;
  if (now - load_at_ < kLoadTtl) {
    view.reported_queue = load_.queued;
  }
  view.weight = Weight(now);
  view.oldest_version = load_.oldest_version;
  view.newest_version = load_.newest_version;
  view.last_answer = last_answer_;
  view.newest_answered = newest_answered_;
  view.versions_stale = now - load_at_ >= kVersionsTtl;
  view.draining = IsDraining(now);
  view.avoided = IsAvoided(now);
  view.reported_unhealthy = reported_unhealthy_;
  return view;
}

void SearcherState::OnSuccess(TimePoint now) {
  failures_ = 0;
  last_answer_ = now;
  avoided_until_.reset();
  if (ejection_ > Duration::zero()) {
    ejection_ = Duration::zero();
    OnColdStart(now);
  }
}

void SearcherState::OnFailure(TimePoint now) {
  ++failures_;
  if (failures_ < options_.ejection_failures ||
      (avoided_until_ && now < *avoided_until_)) {
    return;
  }
  if (!avoided_until_) {
    avoided_until_ = now + options_.suspicion_time;
    return;
  }
  ejection_ =
      std::clamp(ejection_ * 2, options_.base_ejection, options_.max_ejection);
  avoided_until_ = now + ejection_;
}

void SearcherState::DecrementOutstanding(Rank rank) {
  uint32_t& count = outstanding_[IndexOf(rank)];
  if (count > 0) {
    --count;
  }
}

bool SearcherState::IsDraining(TimePoint now) const {
  return last_drain_signal_ &&
         now - *last_drain_signal_ < options_.drain_signal_ttl;
}

// After its suspicion or ejection time, a searcher gets one sub-request at a
// time, as a probe, until one is answered.
bool SearcherState::IsAvoided(TimePoint now) const {
  if (!avoided_until_) {
    return false;
  }
  const uint32_t total =
      std::accumulate(outstanding_.begin(), outstanding_.end(), 0U);
  return now < *avoided_until_ || total > 0;
}

double SearcherState::Weight(TimePoint now) const {
  if (ejection_ > Duration::zero()) {
    return options_.slow_start_weight;
  }
  const Duration elapsed = now - slow_start_begin_;
  if (!cold_ || elapsed >= options_.slow_start) {
    return 1;
  }
  const double progress = std::chrono::duration<double>(elapsed) /
                          std::chrono::duration<double>(options_.slow_start);
  return options_.slow_start_weight +
         (1 - options_.slow_start_weight) * std::max(0.0, progress);
}

}  // namespace greengage
