// The choice of the index version that all sub-requests of a query use.
#ifndef GREENGAGE_COORDINATION_SNAPSHOT_H_
#define GREENGAGE_COORDINATION_SNAPSHOT_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "greengage/coordination/searcher_state.h"
#include "greengage/state/configuration.h"

namespace greengage {

// Returns the current states of the replicas of a shard.
using ReplicaViews =
    std::function<std::vector<SearcherView>(const ShardConfiguration&)>;

// Returns the highest index version that some replica of every shard can serve
// or, if there is none, the highest of those that the most shards can serve.
// Returns 0 while no replica's versions are known; the first answer then pins
// the version.
uint64_t ChooseIndexVersion(const ServiceConfiguration& service,
                            const ReplicaViews& replicas);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_SNAPSHOT_H_
