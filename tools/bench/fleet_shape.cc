#include "tools/bench/fleet_shape.h"

namespace greengage::bench {
namespace {

using std::chrono::milliseconds;

Route Gather(const std::string& name,
             size_t shards,
             uint32_t priority,
             double min_coverage,
             milliseconds target) {
  Route route;
  route.name = name;
  route.path_prefix = "/" + name + "/";
  route.kind = RequestKind::kIdempotent;
  route.timeout = milliseconds(4000);
  route.target_latency = target;
  route.priority = priority;
  route.max_attempts = 2;
  route.gather = GatherRule{{}, 50, min_coverage};
  for (size_t i = 0; i < shards; ++i) {
    route.gather->shards.push_back("shard-" + std::to_string(i));
  }
  return route;
}

}  // namespace

FleetShape KettlebrookFleet() {
  FleetShape shape;
  shape.name = "kettlebrook";
  shape.loads = {{Gather("list", shape.shards, 1, 0.89, milliseconds(250)),
                  67.5, 18.8, milliseconds(2500), 0.05},
                 {Gather("suggest", shape.shards, 0, 0.75, milliseconds(150)),
                  22.5, 6.3, milliseconds(1500), 0.04}};
  return shape;
}

FleetShape UmukonjeFleet() {
  FleetShape shape;
  shape.name = "umukonje";
  shape.instances = 8;
  shape.remote_latency = milliseconds(12);
  shape.pause = milliseconds(200);
  shape.pause_period = milliseconds(4500);
  shape.extra_arrivals.allowance = 56;
  shape.loads = {{Gather("survey", shape.shards, 1, 0.89, milliseconds(150)),
                  67.5, 10.3, milliseconds(800), 0.05},
                 {Gather("check", shape.shards, 0, 0.75, milliseconds(100)),
                  22.5, 3.6, milliseconds(600), 0.04}};
  return shape;
}

}  // namespace greengage::bench
