// How recent an answer of the store is.
#ifndef GREENGAGE_COORDINATION_REVISION_HISTORY_H_
#define GREENGAGE_COORDINATION_REVISION_HISTORY_H_

#include <deque>
#include <optional>

#include "greengage/state/store_revision.h"
#include "greengage/state/time.h"

namespace greengage {

// Revisions that the store had, learned from its linearizable answers. They
// date the answers that may be old, since the store has one counter for all
// kinds of objects. Not thread-safe.
class RevisionHistory {
 public:
  // Adds the revision of a linearizable answer to a call that was sent at
  // `sent`. Answers may come out of order.
  void OnAnswer(TimePoint sent, StoreRevision revision);

  // Returns a time such that a state of `revision` has all changes that were
  // acknowledged before it. Returns nothing if no known revision is that old.
  std::optional<TimePoint> CurrentAt(StoreRevision revision) const;

 private:
  struct Sample {
    StoreRevision revision;
    TimePoint sent;
  };

  std::deque<Sample> samples_;  // Both members ascend.
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_REVISION_HISTORY_H_
