// Simulates the routing of opaque requests under whole loads, in virtual time.
#include <chrono>
#include <cstdint>
#include <functional>

#include "tools/bench/routed_faults.h"
#include "tools/bench/routed_fleet.h"

#include <criterion/criterion.h>

namespace greengage::bench {
namespace {

constexpr uint64_t kSeeds = 3;

// Minimum share of credit for each kind of request under heavy load.
constexpr double kMinCreditShare = 0.31;

FleetResult Simulate(const FleetShape& shape,
                     uint64_t seed,
                     const std::function<void(RoutedFleet&)>& fault) {
  FleetScenario scenario;
  scenario.shape = shape;
  scenario.prepare = fault;
  return RoutedFleet(scenario, seed).Run();
}

}  // namespace

// Without faults, requests of every kind are answered within their target
// latency.
Test(RoutedLoad, AnswersInTimeWithoutFaults) {
  for (const FleetShape& shape : {KettlebrookFleet(), UmukonjeFleet()}) {
    const FleetResult result = Simulate(shape, 1, [](RoutedFleet&) {});
    for (const FleetLoadResult& load : result.loads) {
      cr_assert(load.CreditShare() > 0.95);
    }
    cr_assert(result.max_allowance_use <= 1);
  }
}

// If most searchers reject most requests, the permitted extra arrivals go to
// requests that can be answered completely, urgent ones first.
Test(RoutedLoad, AnswersUrgentRequestsWhileMostSearchersReject) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const FleetResult result =
        Simulate(KettlebrookFleet(), seed, MakeMostSearchersReject);
    const FleetLoadResult& list = result.loads[0];
    const FleetLoadResult& suggest = result.loads[1];
    cr_assert(suggest.CreditShare() > kMinCreditShare);
    cr_assert(suggest.CreditShare() > list.CreditShare());
    cr_assert(result.max_allowance_use <= 1);
  }
}

// Requests that cannot be answered fail before their deadline.
Test(RoutedLoad, FailsEarlyWhenShardsAreUnresponsive) {
  for (const FleetShape& shape : {KettlebrookFleet(), UmukonjeFleet()}) {
    const FleetResult result = Simulate(shape, 1, MakeShardsUnresponsive);
    for (size_t i = 0; i < shape.loads.size(); ++i) {
      const std::chrono::duration<double, std::milli> half =
          shape.loads[i].deadline / 2;
      cr_assert(result.loads[i].MeanUnansweredMs() < half.count());
    }
  }
}

// If half of the searchers become slow, urgent requests fare no worse than
// others.
Test(RoutedLoad, PrefersUrgentRequestsWhileManySearchersAreSlow) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const FleetShape& shape : {KettlebrookFleet(), UmukonjeFleet()}) {
      const FleetResult result = Simulate(shape, seed, MakeManySearchersSlow);
      // Without any loss, the shares differ only by random variation.
      constexpr double kTolerance = 0.03;
      cr_assert(result.loads[1].CreditShare() >
                result.loads[0].CreditShare() - kTolerance);
    }
  }
}

// Each instance alone may send only its share of the limit that a searcher
// names for all of them together.
Test(RoutedLoad, AllInstancesTogetherKeepTheLimitThatASearcherNames) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (FleetShape shape : {KettlebrookFleet(), UmukonjeFleet()}) {
      for (const size_t instances : {shape.instances, size_t{60}}) {
        shape.instances = instances;
        for (const bool all_replicas : {false, true}) {
          const FleetResult result =
              Simulate(shape, seed, [all_replicas](RoutedFleet& fleet) {
                MakeSearchersNameLimits(fleet, all_replicas);
              });
          cr_assert(result.max_limit_use <= 1);
        }
      }
    }
  }
}

// If a searcher of each shard names a limit, the others take over; if all do,
// urgent requests are served first and the rest is rejected at once.
Test(RoutedLoad, AnswersUrgentRequestsFirstWithinNamedLimits) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (FleetShape shape : {KettlebrookFleet(), UmukonjeFleet()}) {
      for (const size_t instances : {shape.instances, size_t{60}}) {
        shape.instances = instances;
        for (const bool all_replicas : {false, true}) {
          FleetScenario scenario;
          scenario.shape = shape;
          scenario.prepare = [all_replicas](RoutedFleet& fleet) {
            MakeSearchersNameLimits(fleet, all_replicas);
          };
          const FleetResult result = RoutedFleet(scenario, seed).Run();
          scenario.naive = true;
          const FleetResult naive = RoutedFleet(scenario, seed).Run();
          const FleetLoadResult& urgent = result.loads[1];
          cr_assert(urgent.CreditShare() > naive.loads[1].CreditShare());
          cr_assert(result.max_limit_use <= 1);
          if (all_replicas) {
            cr_assert(urgent.CreditShare() > result.loads[0].CreditShare());
          } else {
            cr_assert(result.loads[0].CreditShare() >
                      naive.loads[0].CreditShare());
          }
        }
      }
    }
  }
}

}  // namespace greengage::bench
