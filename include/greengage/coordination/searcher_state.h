// The health, load and versions of one searcher, as observed by one instance.
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
  // Consecutive failures after which the searcher is suspected.
  uint32_t ejection_failures = 3;
  // A suspected searcher gets no work for this time, and then one sub-request
  // at a time. It is ejected only if that one fails as well: silent connections
  // look like a failed searcher, but new connections to it work.
  Duration suspicion_time = std::chrono::milliseconds(100);
  Duration base_ejection = std::chrono::milliseconds(250);
  Duration max_ejection = std::chrono::seconds(8);
  // A cold searcher gets its full share of work after this time.
  Duration slow_start = std::chrono::seconds(4);
  double slow_start_weight = 0.1;  // Share of work at the start, 0 to 1.
  // A searcher counts as draining until this time after the last drain signal.
  Duration drain_signal_ttl = std::chrono::seconds(30);
};

// A snapshot of the state of a searcher, for the choice between replicas.
struct SearcherView {
  Endpoint endpoint;
  std::array<uint32_t, kRankCount> outstanding{};
  uint32_t slots = 2;
  uint32_t reported_queue = 0;  // Queue length in a recent answer.
  double weight = 1;            // Below 1 during slow start.
  uint64_t oldest_version = 0;  // 0 if not known.
  uint64_t newest_version = 0;
  bool versions_stale = false;  // It may hold newer versions by now.
  TimePoint last_answer;  // Rejections included; the epoch if there was none.
  // By rank, the latest send time of the sub-requests that it answered.
  std::array<TimePoint, kRankCount> newest_answered{};
  bool draining = false;
  bool lacks_shard = false;         // Recently rejected the requested shard.
  bool avoided = false;             // Suspected or ejected.
  bool reported_unhealthy = false;  // By its health endpoint; may be wrong.

  bool MayHold(uint64_t version) const {
    if (version == 0 || newest_version == 0) {
      return true;
    }
    return oldest_version <= version &&
           (versions_stale || version <= newest_version);
  }
};

// The conditions of a searcher whose changes are reported as events.
struct SearcherConditions {
  bool draining = false;
  bool ejected = false;  // Until its next answer.
};

// Not thread-safe; SearcherTracker guards the state of each searcher by a lock.
class SearcherState {
 public:
  SearcherState(TimePoint now, SearcherStateOptions options, uint32_t slots);

  void OnSent(TimePoint now, Rank rank);

  // Must be called when the sub-request sent at `sent` has ended: answered,
  // rejected or failed.
  void OnEnded(TimePoint now,
               Rank rank,
               TimePoint sent,
               const SubAnswer& answer);

  // Must be called when a sub-request was cancelled. It counts as a failure of
  // the searcher only if it was `overdue`, that is, replaced by a later
  // attempt.
  void OnCancelled(TimePoint now, Rank rank, bool overdue);

  // Records the load reported with an answer, including a late one.
  void OnLoad(TimePoint now, const SearcherLoad& load);

  // Records a signal that the searcher is leaving: its answer, the platform's
  // list, or closed connections. The first signal stops new work.
  void OnDrainSignal(TimePoint now);

  // Starts the slow start of a searcher that has restarted and is cold.
  void OnColdStart(TimePoint now);

  // Records that the searcher rejected a range of `shard` as not held. It is
  // avoided for that shard for a while, since a searcher that rejects at once
  // appears idle and would attract more work.
  void OnRangeNotHeld(TimePoint now, const std::string& shard);

  bool LacksShard(TimePoint now, std::string_view shard) const;

  void OnHealthReport(bool healthy) { reported_unhealthy_ = !healthy; }

  void set_slots(uint32_t slots) { slots_ = slots; }

  SearcherView View(TimePoint now, const Endpoint& endpoint) const;

  SearcherConditions conditions(TimePoint now) const {
    return {IsDraining(now), ejection_ > Duration::zero()};
  }

  const LatencyWindow& latency() const { return latency_; }

 private:
  void OnSuccess(TimePoint now);
  void OnFailure(TimePoint now);
  void DecrementOutstanding(Rank rank);
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
  TimePoint slow_start_begin_;
  bool cold_ = false;
  std::optional<TimePoint> last_drain_signal_;
  uint32_t failures_ = 0;  // Failures since the last success.
  std::optional<TimePoint> avoided_until_;
  Duration ejection_{};  // Zero while the searcher is only suspected.
  bool reported_unhealthy_ = false;
  // By shard; see OnRangeNotHeld().
  std::map<std::string, TimePoint, std::less<>> range_not_held_until_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_SEARCHER_STATE_H_
