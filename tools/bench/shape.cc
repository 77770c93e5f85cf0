#include "tools/bench/shape.h"

#include <algorithm>
#include <cmath>

namespace greengage::bench {

namespace {

constexpr double kMillisecondsPerSecond = 1000;
constexpr uint32_t kNormalFloorPercent = 10;
constexpr uint32_t kBackgroundFloorPercent = 5;

}  // namespace

double Shape::MeanServiceSeconds() const {
  const double mean_ms =
      service_median_ms * std::exp(service_sigma * service_sigma / 2);
  return mean_ms / kMillisecondsPerSecond;
}

uint32_t Shape::SlotsOf(size_t searcher) const {
  return slots[searcher % slots.size()];
}

double Shape::CapacityPerSecond() const {
  uint32_t least = UINT32_MAX;
  for (size_t shard = 0; shard < shards; ++shard) {
    uint32_t total = 0;
    for (size_t replica = 0; replica < replicas; ++replica) {
      total += SlotsOf(shard * replicas + replica);
    }
    least = std::min(least, total);
  }
  return least / MeanServiceSeconds();
}

std::vector<Shape> AllShapes() {
  Shape kettlebrook;
  kettlebrook.name = "kettlebrook";
  Shape mukamana;
  mukamana.name = "mukamana";
  mukamana.slots = {2, 3};
  mukamana.client_latency = std::chrono::milliseconds(3);
  mukamana.owner_latency = std::chrono::microseconds(1500);
  Shape wide;
  wide.name = "fan-out 340";
  wide.shards = 340;
  return {kettlebrook, mukamana, wide};
}

Endpoint EndpointOf(size_t searcher) {
  return {"127.0.0.1", static_cast<uint16_t>(searcher + 1)};
}

size_t SearcherIndexOf(const Endpoint& endpoint) {
  return endpoint.port - 1U;
}

Configuration MakeConfiguration(const Shape& shape) {
  Configuration configuration;
  configuration.version = 1;
  configuration.deployment = shape.name;
  configuration.ranks[IndexOf(Rank::kNormal)].floor_percent =
      kNormalFloorPercent;
  configuration.ranks[IndexOf(Rank::kBackground)].floor_percent =
      kBackgroundFloorPercent;
  ServiceConfiguration service;
  service.name = kServiceName;
  service.key_space = shape.shards * kKeysPerShard;
  for (size_t i = 0; i < shape.shards; ++i) {
    ShardConfiguration shard;
    shard.name = "finder/" + std::to_string(i);
    shard.range = {i * kKeysPerShard, (i + 1) * kKeysPerShard};
    for (size_t replica = 0; replica < shape.replicas; ++replica) {
      const size_t searcher = i * shape.replicas + replica;
      shard.replicas.push_back(EndpointOf(searcher));
      SearcherConfiguration entry;
      entry.endpoint = EndpointOf(searcher);
      entry.slots = shape.SlotsOf(searcher);
      entry.connections = shape.connections;
      configuration.searchers.emplace(entry.endpoint, entry);
    }
    service.shards.push_back(std::move(shard));
  }
  configuration.services.emplace(service.name, std::move(service));
  return configuration;
}

}  // namespace greengage::bench
