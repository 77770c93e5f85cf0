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
  kGood,
  kAvoided,  // Recent attempts failed, or it has stopped answering.
  kMissing,  // Its entry has gone, perhaps only for a moment.
  kNone,     // It leaves, or is not there any more.
};

// Its load, speed and failures, learned from its answers. Not thread-safe.
class RoutedSearcher {
 public:
  using AttemptId = uint64_t;

  RoutedSearcher(TimePoint now, SearcherEntry entry);

  const SearcherEntry& entry() const { return entry_; }

  // Takes in a newer entry of the same process.
  void Refresh(TimePoint now, SearcherEntry entry);

  // Its entry has gone from the registry; `grace` is how long it may still be
  // used where no other searcher can.
  void OnMissing(TimePoint now, Duration grace);

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
  Duration ExpectedTime(TimePoint now,
                        Duration typical,
                        Duration distance) const;

  // The share of its recent attempts that failed or were turned away, 0 to 1.
  double ErrorShare(TimePoint now) const;

  // How long its oldest request has waited if it has answered nothing since;
  // else zero.
  Duration SilentFor(TimePoint now) const;

  // Whether the last request is old enough for another one to try whether it
  // answers again.
  bool TakesTrial(TimePoint now) const;

  size_t outstanding() const { return sent_.size(); }

  // Whether a searcher that went missing is to be forgotten.
  bool Forgotten(TimePoint now) const;

 private:
  bool HasStalled(TimePoint now, Duration typical) const;
  void OnFailure(TimePoint now, bool certain);
  void OnSuccess(TimePoint now);
  void LearnSpeed(TimePoint now,
                  Duration latency,
                  Duration typical,
                  DecayedMean& slowness) const;
  void LearnErrors(TimePoint now, bool error);

  SearcherEntry entry_;
  TimePoint warm_at_;
  std::optional<TimePoint> forgotten_at_;  // Set while its entry is missing.
  bool gone_ = false;
  std::vector<std::pair<AttemptId, TimePoint>> sent_;  // The oldest first.
  TimePoint last_answer_;
  uint32_t failures_ = 0;  // Without an answer, in a row.
  std::optional<TimePoint> avoided_until_;
  Duration avoidance_{};
  DecayedMean slowness_;  // Its time over the usual one.
  // The same, shown by attempts that were given up while it answered nothing;
  // forgotten once it answers.
  DecayedMean silent_slowness_;
  DecayedMean error_share_;
  ToldLoad load_;
  TimePoint load_at_;
};

using RoutedSearcherPtr = std::shared_ptr<RoutedSearcher>;

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_ROUTED_SEARCHER_H_
