// The deployments that the experiments run at.
#ifndef TOOLS_BENCH_SHAPE_H_
#define TOOLS_BENCH_SHAPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "greengage/state/configuration.h"
#include "greengage/state/time.h"

namespace greengage::bench {

// One data centre of a deployment. Times are one way.
struct Shape {
  std::string name;
  size_t shards = 50;
  size_t replicas = 2;
  std::vector<uint32_t> slots{2};  // Dealt out to the searchers in turn.
  uint32_t connections = 25;
  Duration client_latency = std::chrono::milliseconds(1);
  Duration owner_latency = std::chrono::microseconds(500);
  Duration searcher_latency = std::chrono::microseconds(100);
  double service_median_ms = 4;
  double service_sigma = 0.5;  // Of the logarithm.

  double MeanServiceSeconds() const;
  uint32_t SlotsOf(size_t searcher) const;

  // Queries per second that keep the least equipped shard's slots busy.
  double CapacityPerSecond() const;
};

// Kettlebrook, Mukamana, and the letter's fan-out of 340.
std::vector<Shape> AllShapes();

inline constexpr const char* kServiceName = "finder";
inline constexpr uint64_t kKeysPerShard = 100;

// The end point that stands for a searcher, and back.
Endpoint EndpointOf(size_t searcher);
size_t SearcherIndexOf(const Endpoint& endpoint);

// The configuration of one service over all shards of `shape`.
Configuration MakeConfiguration(const Shape& shape);

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_SHAPE_H_
