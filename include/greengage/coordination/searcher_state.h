// What one instance knows of one searcher.
#ifndef GREENGAGE_COORDINATION_SEARCHER_STATE_H_
#define GREENGAGE_COORDINATION_SEARCHER_STATE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "greengage/coordination/latency_window.h"
#include "greengage/state/query.h"
#include "greengage/state/rank.h"
#include "greengage/state/time.h"

namespace greengage {

struct SearcherStateOptions {
  // Ends without an answer in a row before the searcher is suspected.
  uint32_t ejection_failures = 3;
  // A suspected searcher gets no work for this time, and then one sub-request
  // at a time. Only when that has no answer either is the searcher ejected:
  // connections that went silent look alike, but new ones work.
  Duration suspicion_time = std::chrono::milliseconds(100);
  Duration base_ejection = std::chrono::milliseconds(250);
  Duration max_ejection = std::chrono::seconds(8);
  // A cold searcher gets its full share of work after this time.
  Duration slow_start = std::chrono::seconds(4);
  double slow_start_weight = 0.1;  // Share of work at the start, 0 to 1.
  // A draining searcher is forgotten as such after this time without a sign.
  Duration drain_signal_ttl = std::chrono::seconds(30);
};

// A searcher as it looks at one instant, for the choice between replicas.
struct SearcherView {
  Endpoint endpoint;
  std::array<uint32_t, kRankCount> outstanding{};
  uint32_t slots = 2;
  uint32_t reported_queue = 0;  // Its own queue, as its last answer told.
  double weight = 1;            // Below 1 during slow start.
  uint64_t oldest_version = 0;  // 0: not known.
  uint64_t newest_version = 0;
  bool versions_stale = false;  // It may have learned newer ones since.
  TimePoint last_answer;      // Also a refusal; the epoch if there was none.
  // When the newest of the sub-requests that it answered was sent, by rank.
  std::array<TimePoint, kRankCount> newest_answered{};
  bool draining = false;
  bool lacks_shard = false;  // Has just refused the shard that is asked for.
  bool avoided = false;      // Suspected or ejected.
  bool reported_unhealthy = false;  // Its health endpoint says so; may be wrong.

  bool MayHold(uint64_t version) const {
    if (version == 0 || newest_version == 0) {
      return true;
    }
    return oldest_version <= version &&
           (versions_stale || version <= newest_version);
  }
};

// The conditions of a searcher that are worth an event when they change.
struct SearcherConditions {
  bool draining = false;
  bool ejected = false;  // Until an answer shows that it is back.
};

// Not thread-safe; SearcherTracker keeps one for each searcher under a lock.
class SearcherState {
 public:
  SearcherState(TimePoint now, SearcherStateOptions options, uint32_t slots);

  void OnSent(TimePoint now, Rank rank);

  // The sub-request that was sent at `sent` got an answer, a refusal, or an end
  // without either.
  void OnEnded(TimePoint now,
               Rank rank,
               TimePoint sent,
               const SubAnswer& answer);

  // The sub-request was given up after `age`. It tells against the searcher
  // only when it was `overdue`, that is given up in favour of a hedge.
  void OnCancelled(TimePoint now, Rank rank, bool overdue);

  // Takes in load that came with an answer, also with a late one.
  void OnLoad(TimePoint now, const SearcherLoad& load);

  // A sign that the searcher is leaving: its answer, the platform's list, or
  // closing connections. New work ends with the first sign.
  void OnDrainSignal(TimePoint now);

  // The searcher is known to have started anew: it is cold.
  void OnColdStart(TimePoint now);

  // It has refused a range of `shard` as not held. It is passed over for that
  // shard for a while, since a searcher that refuses at once looks idle.
  void OnRangeNotHeld(TimePoint now, const std::string& shard);

  bool LacksShard(TimePoint now, std::string_view shard) const;

  void OnHealthReport(bool healthy) { hinted_unhealthy_ = !healthy; }

  void set_slots(uint32_t slots) { slots_ = slots; }

  SearcherView View(TimePoint now, const Endpoint& endpoint) const;

  SearcherConditions conditions(TimePoint now) const {
    return {IsDraining(now), ejection_ > Duration::zero()};
  }

  const LatencyWindow& latency() const { return latency_; }

 private:
  void OnSuccess(TimePoint now);
  void OnFailure(TimePoint now);
  void EndOne(Rank rank);
  bool IsDraining(TimePoint now) const;
  bool IsAvoided(TimePoint now) const;
  double Weight(TimePoint now) const;

  SearcherStateOptions options_;
  uint32_t slots_;
  std::array<uint32_t, kRankCount> outstanding_{};
  LatencyWindow latency_;
  SearcherLoad load_;
  TimePoint load_at_;
  TimePoint last_answer_;
  std::array<TimePoint, kRankCount> newest_answered_{};
  TimePoint warm_since_;
  bool cold_ = false;
  std::optional<TimePoint> drain_sign_;
  uint32_t failures_ = 0;  // Ends without an answer since the last answer.
  std::optional<TimePoint> avoided_until_;
  Duration ejection_{};  // Zero while the searcher is only suspected.
  bool hinted_unhealthy_ = false;
  std::map<std::string, TimePoint, std::less<>> lacking_until_;  // By shard.
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_SEARCHER_STATE_H_
