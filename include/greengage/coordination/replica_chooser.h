// The choice of a replica for one sub-request.
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

// What a sub-request needs of its replica.
struct ReplicaRequirements {
  Rank rank = Rank::kUrgent;
  uint64_t index_version = 0;
  const std::vector<Endpoint>* tried = nullptr;  // Excluded; may be null.
};

// Takes the less loaded of two random candidates. Load is what the instance
// itself has outstanding at the same or a more urgent rank, plus the queue
// that the searcher returned, over slots and slow-start weight. Suspected
// and ejected searchers are used only when no other is left, so that ejection
// cannot empty a shard; draining ones and those without the version never are.
// Not thread-safe.
class ReplicaChooser {
 public:
  explicit ReplicaChooser(uint64_t seed);

  std::optional<Endpoint> Choose(const std::vector<SearcherView>& replicas,
                                 const ReplicaRequirements& need);

  // For a further attempt: takes a replica that has not been tried; when all
  // have been, any but the last one tried, unless the others are avoided.
  std::optional<Endpoint> ChooseAlternative(const std::vector<SearcherView>& replicas,
                                      const ReplicaRequirements& need);

 private:
  std::vector<const SearcherView*> KeepWarm(
      const std::vector<const SearcherView*>& candidates);
  const SearcherView& LessLoaded(
      const std::vector<const SearcherView*>& candidates,
      Rank rank);

  std::minstd_rand random_;
};

// The load that a sub-request of `rank` would meet at `searcher`, in units of
// its slots.
double LoadPerSlot(const SearcherView& searcher, Rank rank);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_REPLICA_CHOOSER_H_
