// Faults of simulated searchers and connections. Times are relative to the
// start of the measurement.
#ifndef TOOLS_BENCH_FAULTS_H_
#define TOOLS_BENCH_FAULTS_H_

#include <cstdint>
#include <functional>

#include "tools/bench/simulation.h"

namespace greengage::bench {

using Fault = std::function<void(Simulation&)>;

// Schedules `first`, then `second`.
Fault Combine(Fault first, Fault second);

// Delays single sub-requests and pauses whole searchers.
Fault StragglersAndPauses(uint64_t seed);

// Kills one replica of every tenth shard and restarts it cold later.
Fault ReplicaLoss();

// Moves the boundaries between pairs of shards, one pair after another.
// Searchers drop ranges that they no longer hold while queries are in flight.
Fault Repartition();

// Makes all connections to one replica of every tenth shard silent.
Fault SilentConnections();

// Health endpoints report every other searcher and two whole shards as
// unhealthy. Some searchers report a queue length that is too high or zero.
Fault MisleadingHealth();

// Restarts one replica of every tenth shard cold.
Fault ColdStart();

// Drains one replica of every tenth shard and kills it after kDrainTime. Half
// of these reject work and report that they drain; the others keep accepting
// work and are only marked in the platform's list.
Fault Drain();
inline constexpr Duration kDrainTime = std::chrono::seconds(6);

// Moves the index from version 1 to 2, searcher by searcher. Searchers drop
// version 1 while queries at it are in flight.
Fault VersionChange();

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_FAULTS_H_
