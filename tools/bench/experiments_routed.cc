// Experiments on requests through routed instances.
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "tools/bench/experiment.h"
#include "tools/bench/routed_faults.h"
#include "tools/bench/routed_fleet.h"

namespace greengage::bench {
namespace {

using FleetFault = std::function<void(RoutedFleet&)>;

// Bound on the ratio of extra arrivals to allowed extra arrivals.
constexpr Bound kWithinAllowance{BoundOn::kPolicy, BoundKind::kAtMost, 1};

// Bound on the ratio of requests at limited searchers to those allowed.
constexpr Bound kWithinLimits{BoundOn::kPolicy, BoundKind::kAtMost, 1};

// Derives a figure from the results of one kind of request.
using LoadFigure = std::function<double(const FleetLoadResult&)>;

struct NamedFigure {
  const char* name;
  const char* unit;
  LoadFigure figure;
};

const std::vector<NamedFigure>& LoadFigures() {
  static const std::vector<NamedFigure> figures{
      {" credit", "%",
       [](const FleetLoadResult& load) { return 100 * load.CreditShare(); }},
      {" in time", "",
       [](const FleetLoadResult& load) {
         return static_cast<double>(load.in_time);
       }},
      {" failed", "",
       [](const FleetLoadResult& load) {
         return static_cast<double>(load.failed);
       }},
      {" wait in vain", "ms",
       [](const FleetLoadResult& load) { return load.MeanUnansweredMs(); }},
      {" refused", "", [](const FleetLoadResult& load) {
         return static_cast<double>(load.rejected);
       }}};
  return figures;
}

void AddFigures(const FleetShape& shape,
                const FleetResult& baseline,
                const FleetResult& policy,
                Measurements& out) {
  for (size_t i = 0; i < shape.loads.size(); ++i) {
    for (const NamedFigure& named : LoadFigures()) {
      std::string name = shape.loads[i].route.name;
      name += named.name;
      out.push_back({shape.name, std::move(name), named.unit,
                     named.figure(baseline.loads[i]),
                     named.figure(policy.loads[i]), std::nullopt});
    }
  }
  out.push_back({shape.name, "extra arrivals", "%", baseline.ExtraPercent(),
                 policy.ExtraPercent(), std::nullopt});
  out.push_back({shape.name, "extra arrivals over allowed", "",
                 baseline.max_allowance_use, policy.max_allowance_use,
                 kWithinAllowance});
  if (baseline.max_limit_use > 0) {
    out.push_back({shape.name, "requests over allowed at limited searchers", "",
                   baseline.max_limit_use, policy.max_limit_use,
                   kWithinLimits});
    out.push_back({shape.name, "requests over the limits, on average", "",
                   baseline.mean_limit_use, policy.mean_limit_use,
                   std::nullopt});
  }
}

Measurements CompareFleets(uint64_t seed, const FleetFault& fault) {
  Measurements measurements;
  for (const FleetShape& shape : {KettlebrookFleet(), UmukonjeFleet()}) {
    FleetScenario scenario;
    scenario.shape = shape;
    scenario.prepare = fault;
    const FleetResult policy = RoutedFleet(scenario, seed).Run();
    scenario.naive = true;
    const FleetResult baseline = RoutedFleet(scenario, seed).Run();
    AddFigures(shape, baseline, policy, measurements);
  }
  return measurements;
}

const Registration kCalm({"routed-calm", "routed requests on a calm day",
                          [](uint64_t seed) {
                            return CompareFleets(seed, [](RoutedFleet&) {});
                          }});

const Registration kMostReject({"routed-turned-away",
                                "most searchers turn most routed requests away",
                                [](uint64_t seed) {
                                  return CompareFleets(seed,
                                                       MakeMostSearchersReject);
                                }});

const Registration kShardsUnresponsive(
    {"routed-shards-silent", "all searchers of three shards are silent",
     [](uint64_t seed) {
       return CompareFleets(seed, MakeShardsUnresponsive);
     }});

const Registration kManyUnresponsive(
    {"routed-many-silent", "three of ten searchers are silent",
     [](uint64_t seed) {
       return CompareFleets(seed, MakeManySearchersUnresponsive);
     }});

const Registration kManySlow(
    {"routed-many-slow", "half of the searchers turn slow",
     [](uint64_t seed) { return CompareFleets(seed, MakeManySearchersSlow); }});

const Registration kSomeLimited(
    {"routed-some-limited",
     "one searcher of each shard takes half of its usual requests",
     [](uint64_t seed) {
       return CompareFleets(seed, [](RoutedFleet& fleet) {
         MakeSearchersNameLimits(fleet, false);
       });
     }});

const Registration kAllLimited(
    {"routed-all-limited", "all searchers take half of their usual requests",
     [](uint64_t seed) {
       return CompareFleets(seed, [](RoutedFleet& fleet) {
         MakeSearchersNameLimits(fleet, true);
       });
     }});

}  // namespace
}  // namespace greengage::bench
