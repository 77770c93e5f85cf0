// Faults that scenarios switch on, at points in time that count from the start
// of measuring.
#ifndef TOOLS_BENCH_FAULTS_H_
#define TOOLS_BENCH_FAULTS_H_

#include <cstdint>
#include <functional>

#include "tools/bench/simulation.h"

namespace greengage::bench {

using Fault = std::function<void(Simulation&)>;

// Both, one after the other.
Fault Combine(Fault first, Fault second);

// Sub-requests that hang, and pauses of whole searchers.
Fault StragglersAndPauses(uint64_t seed);

// One replica of every tenth shard is killed, and comes back cold later.
Fault ReplicaLoss();

// The boundaries of pairs of shards move, one pair after another; searchers
// give up what they no longer hold while queries are on their way.
Fault Repartition();

// All connections to one replica of every tenth shard go silent.
Fault SilentConnections();

// Health endpoints call every other searcher unhealthy, and two whole shards;
// some searchers tell of queues that they don't have, or of none.
Fault MisleadingHealth();

// One replica of every tenth shard starts anew and is cold.
Fault ColdStart();

// One replica of every tenth shard is leaving. Half of them tell so in their
// answers, the others are only on the platform's list, and take what comes.
// They are gone after kDrainTime.
Fault Drain();
inline constexpr Duration kDrainTime = std::chrono::seconds(6);

// The index goes from version 1 to 2, searcher by searcher, and version 1 is
// given up while queries at it are on their way.
Fault VersionChange();

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_FAULTS_H_
