// Load balancing between the replicas of a shard.
#ifndef GREENGAGE_COORDINATION_REPLICA_CHOOSER_H_
#define GREENGAGE_COORDINATION_REPLICA_CHOOSER_H_

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "greengage/coordination/searcher_state.h"
#include "greengage/state/endpoint.h"
#include "greengage/state/rank.h"

namespace greengage {

// The requirements of a sub-request on its replica.
struct ReplicaRequirements {
  Rank rank = Rank::kUrgent;
  uint64_t index_version = 0;
  const std::vector<Endpoint>* tried = nullptr;  // Excluded; may be null.
};

// Chooses the less loaded of two random candidates (see LoadPerSlot()). A
// searcher in slow start is a candidate with a probability equal to its weight.
// Suspected and ejected searchers are chosen only if there are no others, so
// that ejection cannot leave a shard without replicas. Draining searchers and
// those without the index version are never chosen. Not thread-safe.
class ReplicaChooser {
 public:
  explicit ReplicaChooser(uint64_t seed);

  std::optional<Endpoint> Choose(const std::vector<SearcherView>& replicas,
                                 const ReplicaRequirements& requirements);

  // Chooses the replica of a further attempt: one that has not been tried or,
  // if all have been, any but the last one tried, unless the others are
  // avoided.
  std::optional<Endpoint> ChooseAlternative(
      const std::vector<SearcherView>& replicas,
      const ReplicaRequirements& requirements);

 private:
  std::vector<const SearcherView*> FilterBySlowStart(
      const std::vector<const SearcherView*>& candidates);
  const SearcherView& ChooseLessLoaded(
      const std::vector<const SearcherView*>& candidates,
      Rank rank);

  std::minstd_rand random_;
};

// Returns the load per slot of `searcher` that competes with a sub-request of
// `rank`: the instance's outstanding sub-requests of the same or a more urgent
// rank, plus a weighted part of the queue length that the searcher reported.
double LoadPerSlot(const SearcherView& searcher, Rank rank);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_REPLICA_CHOOSER_H_
