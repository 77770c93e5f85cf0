// Faults of simulated fleets of routed instances; times count from the start of
// measuring.
#ifndef TOOLS_BENCH_ROUTED_FAULTS_H_
#define TOOLS_BENCH_ROUTED_FAULTS_H_

#include "tools/bench/routed_fleet.h"

namespace greengage::bench {

// From the third second on, four fifths of the searchers turn away three fifths
// of what arrives.
void MakeMostSearchersReject(RoutedFleet& fleet);

// All searchers of three shards are silent for six seconds, so that requests
// which need nine of ten shards cannot be answered.
void MakeShardsUnresponsive(RoutedFleet& fleet);

// Three of ten searchers are silent for six seconds.
void MakeManySearchersUnresponsive(RoutedFleet& fleet);

// Half of the searchers take six times as long for six seconds.
void MakeManySearchersSlow(RoutedFleet& fleet);

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_ROUTED_FAULTS_H_
