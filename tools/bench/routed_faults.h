// Faults of simulated fleets of routed instances. Times are relative to the
// start of the measurement.
#ifndef TOOLS_BENCH_ROUTED_FAULTS_H_
#define TOOLS_BENCH_ROUTED_FAULTS_H_

#include "tools/bench/routed_fleet.h"

namespace greengage::bench {

// From the third second on, on average four fifths of the searchers reject
// three fifths of the arriving attempts.
void MakeMostSearchersReject(RoutedFleet& fleet);

// All searchers of three shards are unresponsive for six seconds, so that
// requests that need nine of ten shards cannot be answered.
void MakeShardsUnresponsive(RoutedFleet& fleet);

// Three of ten searchers are unresponsive for six seconds.
void MakeManySearchersUnresponsive(RoutedFleet& fleet);

// Half of the searchers have six times their usual service time for six
// seconds.
void MakeManySearchersSlow(RoutedFleet& fleet);

// For fifteen seconds, one searcher of each shard, or all if `all_replicas` is
// true, takes half of its usual requests.
void MakeSearchersNameLimits(RoutedFleet& fleet, bool all_replicas);

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_ROUTED_FAULTS_H_
