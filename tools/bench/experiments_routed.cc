// Experiments on the decisions of routed instances.
#include <functional>
#include <string>

#include "tools/bench/experiment.h"
#include "tools/bench/routed_faults.h"
#include "tools/bench/routed_fleet.h"

namespace greengage::bench {
namespace {

using FleetFault = std::function<void(RoutedFleet&)>;

// The extra arrivals that the services bear, over the allowed ones.
constexpr Bound kWithinAllowance{BoundOn::kPolicy, BoundKind::kAtMost, 1};

Measurements CompareFleets(uint64_t seed, const FleetFault& fault) {
  Measurements measurements;
  for (const FleetShape& shape : {KettlebrookFleet(), UmukonjeFleet()}) {
    FleetScenario scenario;
    scenario.shape = shape;
    scenario.prepare = fault;
    const FleetResult policy = RoutedFleet(scenario, seed).Run();
    scenario.naive = true;
    const FleetResult baseline = RoutedFleet(scenario, seed).Run();
    for (size_t i = 0; i < shape.loads.size(); ++i) {
      const std::string& name = shape.loads[i].route.name;
      const auto add = [&](const std::string& what, const std::string& unit,
                           double a, double b) {
        measurements.push_back(
            {shape.name, name + " " + what, unit, a, b, std::nullopt});
      };
      const FleetLoadResult& plain = baseline.loads[i];
      const FleetLoadResult& own = policy.loads[i];
      add("credit", "%", 100 * plain.CreditShare(), 100 * own.CreditShare());
      add("in time", "", static_cast<double>(plain.in_time),
          static_cast<double>(own.in_time));
      add("failed", "", static_cast<double>(plain.failed),
          static_cast<double>(own.failed));
      add("wait in vain", "ms", plain.MeanVainMs(), own.MeanVainMs());
      add("refused", "", static_cast<double>(plain.refused),
          static_cast<double>(own.refused));
    }
    measurements.push_back({shape.name, "extra arrivals", "%",
                            baseline.ExtraPercent(), policy.ExtraPercent(),
                            std::nullopt});
    measurements.push_back({shape.name, "extra arrivals over allowed", "",
                            baseline.worst_extra_share,
                            policy.worst_extra_share, kWithinAllowance});
  }
  return measurements;
}

const Registration kCalm({"routed-calm", "routed requests on a calm day",
                          [](uint64_t seed) {
                            return CompareFleets(seed, [](RoutedFleet&) {});
                          }});

const Registration kTurnedAway(
    {"routed-turned-away", "most searchers turn most routed requests away",
     [](uint64_t seed) { return CompareFleets(seed, MostTurnAway); }});

const Registration kShardsSilent(
    {"routed-shards-silent", "all searchers of three shards are silent",
     [](uint64_t seed) { return CompareFleets(seed, ShardsGoSilent); }});

const Registration kManySilent(
    {"routed-many-silent", "three of ten searchers are silent",
     [](uint64_t seed) { return CompareFleets(seed, ManyGoSilent); }});

const Registration kManySlow(
    {"routed-many-slow", "half of the searchers turn slow",
     [](uint64_t seed) { return CompareFleets(seed, ManyTurnSlow); }});

}  // namespace
}  // namespace greengage::bench
