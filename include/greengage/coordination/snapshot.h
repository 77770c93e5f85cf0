// The choice of the index version that all parts of an answer come from.
#ifndef GREENGAGE_COORDINATION_SNAPSHOT_H_
#define GREENGAGE_COORDINATION_SNAPSHOT_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "greengage/coordination/searcher_state.h"
#include "greengage/state/configuration.h"

namespace greengage {

// Gives the usable replicas of a shard as they look now.
using ReplicaViews =
    std::function<std::vector<SearcherView>(const ShardConfiguration&)>;

// The highest index version that every shard can serve by some replica, or,
// where there is none, the highest of those that most shards can serve. 0
// while no replica's versions are known: the first answer then decides.
uint64_t ChooseIndexVersion(const ServiceConfiguration& service,
                            const ReplicaViews& replicas);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_SNAPSHOT_H_
