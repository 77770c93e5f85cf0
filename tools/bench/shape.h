// The deployments that the experiments simulate.
#ifndef TOOLS_BENCH_SHAPE_H_
#define TOOLS_BENCH_SHAPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "greengage/state/configuration.h"
#include "greengage/state/time.h"

namespace greengage::bench {

// One data centre of a deployment. Latencies are one way.
struct Shape {
  std::string name;
  size_t shards = 50;
  size_t replicas = 2;
  std::vector<uint32_t> slots{2};  // Assigned to the searchers round robin.
  uint32_t connections = 25;
  Duration client_latency = std::chrono::milliseconds(1);
  Duration owner_latency = std::chrono::microseconds(500);
  Duration searcher_latency = std::chrono::microseconds(100);
  double service_median_ms = 4;
  double service_sigma = 0.5;  // Of the logarithm of the time.

  double MeanServiceSeconds() const;
  uint32_t SlotsOf(size_t searcher) const;

  // Queries per second that saturate the shard with the fewest slots.
  double CapacityPerSecond() const;
};

// Returns Kettlebrook, Mukamana, and a deployment with a fan-out of 340.
std::vector<Shape> AllShapes();

inline constexpr const char* kServiceName = "finder";
inline constexpr uint64_t kKeysPerShard = 100;

// Convert between the index of a searcher and the endpoint that identifies it.
Endpoint EndpointOf(size_t searcher);
size_t SearcherIndexOf(const Endpoint& endpoint);

// Returns a configuration with one service over all shards of `shape`.
Configuration MakeConfiguration(const Shape& shape);

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_SHAPE_H_
