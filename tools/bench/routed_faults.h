// Faults of simulated fleets of routed instances; times count from the start of
// measuring.
#ifndef TOOLS_BENCH_ROUTED_FAULTS_H_
#define TOOLS_BENCH_ROUTED_FAULTS_H_

#include "tools/bench/routed_fleet.h"

namespace greengage::bench {

// From the third second on, four fifths of the searchers turn away three fifths
// of what arrives.
void MostTurnAway(RoutedFleet& fleet);

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_ROUTED_FAULTS_H_
