// The deployments that routed decisions are played at.
#ifndef TOOLS_BENCH_FLEET_SHAPE_H_
#define TOOLS_BENCH_FLEET_SHAPE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "greengage/coordination/extra_arrival_budget.h"
#include "greengage/state/route.h"
#include "greengage/state/time.h"

namespace greengage::bench {

// One kind of request and how often callers send it.
struct FleetLoad {
  Route route;
  double requests_per_second = 0;
  double service_median_ms = 0;
  std::chrono::milliseconds deadline{};
  double late_credit = 0;  // What a late answer is worth, of one in time.
};

// A deployment: instances and searchers are dealt out to the data centres in
// turn. Times are one way.
struct FleetShape {
  std::string name;
  size_t data_centres = 3;
  size_t instances = 9;
  size_t shards = 20;
  size_t replicas = 2;
  uint32_t slots = 2;
  Duration local_latency = std::chrono::microseconds(200);
  Duration remote_latency = std::chrono::milliseconds(20);
  double service_sigma = 0.35;  // Of the logarithm.
  Duration pause = std::chrono::milliseconds(300);
  Duration pause_period = std::chrono::milliseconds(7500);
  // Of all instances together, at each service.
  ExtraArrivalLimits extra_arrivals{0.2, 58, std::chrono::seconds(10)};
  std::vector<FleetLoad> loads;
};

// The two deployments that the platform's users run.
FleetShape KettlebrookFleet();
FleetShape UmukonjeFleet();

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_FLEET_SHAPE_H_
