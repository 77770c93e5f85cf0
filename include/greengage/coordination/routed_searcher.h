// What one instance knows of one searcher that gets opaque requests.
#ifndef GREENGAGE_COORDINATION_ROUTED_SEARCHER_H_
#define GREENGAGE_COORDINATION_ROUTED_SEARCHER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "greengage/coordination/decayed_mean.h"
#include "greengage/state/searcher_answer.h"
#include "greengage/state/searcher_entry.h"
#include "greengage/state/time.h"

namespace greengage {

// How far a searcher may be used now, from best to not at all.
enum class Usability : uint8_t {
  kHealthy,
  kUnhealthy,     // Recent attempts failed, or it has stopped answering.
  kUnregistered,  // Its entry has gone, perhaps only for a moment.
  kUnusable,      // It leaves, or is not there any more.
};

// Its load, speed and failures, learned from its answers. Not thread-safe.
class RoutedSearcher {
 public:
  using AttemptId = uint64_t;

  RoutedSearcher(TimePoint now, SearcherEntry entry);

  const SearcherEntry& entry() const { return entry_; }

  // Takes in a newer entry of the same process.
  void UpdateEntry(TimePoint now, SearcherEntry entry);

  // Its entry has gone from the registry; `grace` is how long it may still be
  // used where no other searcher can.
  void OnUnregistered(TimePoint now, Duration grace);

  // It is certain that the process is not there any more, or takes no work.
  void OnGone() { gone_ = true; }

  void OnSent(TimePoint now, AttemptId attempt);

  // `typical` is the time that such requests take at other searchers;
  // `distance` the part of an answer's time that the way to its data centre
  // costs.
  void OnEnded(TimePoint now,
               AttemptId attempt,
               const AttemptOutcome& outcome,
               Duration typical,
               Duration distance);

  Usability UsabilityAt(TimePoint now, Duration typical) const;

  // The time that a request would take here if it were sent now.
  Duration ExpectedLatency(TimePoint now,
                           Duration typical,
                           Duration distance) const;

  // The share of its recent attempts that failed or were turned away, 0 to 1.
  double ErrorRate(TimePoint now) const;

  // How long its oldest request has waited if it has answered nothing since;
  // else zero.
  Duration UnansweredFor(TimePoint now) const;

  // Whether the last request is old enough for another one to try whether it
  // answers again.
  bool AllowsProbe(TimePoint now) const;

  size_t outstanding() const { return outstanding_.size(); }

  // Whether a searcher that went missing is to be forgotten.
  bool IsExpired(TimePoint now) const;

 private:
  bool HasStalled(TimePoint now, Duration typical) const;
  void OnFailure(TimePoint now, bool certain);
  void OnSuccess(TimePoint now);
  void RecordLatency(TimePoint now,
                     Duration latency,
                     Duration typical,
                     DecayedMean& latency_ratio) const;
  void RecordError(TimePoint now, bool error);

  SearcherEntry entry_;
  TimePoint warm_at_;
  std::optional<TimePoint> expires_at_;  // Set while its entry is missing.
  bool gone_ = false;
  std::vector<std::pair<AttemptId, TimePoint>>
      outstanding_;  // The oldest first.
  TimePoint last_answer_at_;
  uint32_t failures_ = 0;  // Without an answer, in a row.
  std::optional<TimePoint> ejected_until_;
  Duration ejection_time_{};
  DecayedMean latency_ratio_;  // Its time over the usual one.
  // The same, shown by attempts that were given up while it answered nothing;
  // forgotten once it answers.
  DecayedMean unanswered_latency_ratio_;
  DecayedMean error_rate_;
  ToldLoad load_;
  TimePoint load_received_at_;
};

using RoutedSearcherPtr = std::shared_ptr<RoutedSearcher>;

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_ROUTED_SEARCHER_H_
