// Plays whole loads against the decisions on opaque requests, in virtual time.
#include <chrono>
#include <cstdint>
#include <functional>

#include "tools/bench/routed_faults.h"
#include "tools/bench/routed_fleet.h"

#include <criterion/criterion.h>

namespace greengage::bench {
namespace {

constexpr uint64_t kSeeds = 3;

// What each kind of request has to earn on a heavy day.
constexpr double kFloorOfAKind = 0.31;

FleetResult Play(const FleetShape& shape,
                 uint64_t seed,
                 const std::function<void(RoutedFleet&)>& fault) {
  FleetScenario scenario;
  scenario.shape = shape;
  scenario.prepare = fault;
  return RoutedFleet(scenario, seed).Run();
}

}  // namespace

// The users' worst kind of a calm day is served within its target latency.
Test(RoutedLoad, ACalmLoadIsServedInTime) {
  for (const FleetShape& shape : {KettlebrookFleet(), UmukonjeFleet()}) {
    const FleetResult result = Play(shape, 1, [](RoutedFleet&) {});
    for (const FleetLoadResult& load : result.loads) {
      cr_assert(load.CreditShare() > 0.95);
    }
    cr_assert(result.worst_extra_share <= 1);
  }
}

// Where most searchers turn most requests away, the extra arrivals that are
// allowed go to whole requests, urgent ones first.
Test(RoutedLoad, UrgentRequestsAreServedWhileMostSearchersTurnAway) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const FleetResult result = Play(KettlebrookFleet(), seed, MostTurnAway);
    const FleetLoadResult& list = result.loads[0];
    const FleetLoadResult& suggest = result.loads[1];
    cr_assert(suggest.CreditShare() > kFloorOfAKind);
    cr_assert(suggest.CreditShare() > list.CreditShare());
    cr_assert(result.worst_extra_share <= 1);
  }
}

// Requests that cannot be answered are not held until their deadline.
Test(RoutedLoad, CallersDoNotWaitInVainForSilentShards) {
  for (const FleetShape& shape : {KettlebrookFleet(), UmukonjeFleet()}) {
    const FleetResult result = Play(shape, 1, ShardsGoSilent);
    for (size_t i = 0; i < shape.loads.size(); ++i) {
      const std::chrono::duration<double, std::milli> half =
          shape.loads[i].deadline / 2;
      cr_assert(result.loads[i].MeanVainMs() < half.count());
    }
  }
}

// Where half of the searchers turn slow, urgent requests are not the ones that
// lose.
Test(RoutedLoad, UrgentRequestsComeFirstWhileManyAreSlow) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const FleetShape& shape : {KettlebrookFleet(), UmukonjeFleet()}) {
      const FleetResult result = Play(shape, seed, ManyTurnSlow);
      // Equal but for chance where nobody loses.
      constexpr double kChance = 0.03;
      cr_assert(result.loads[1].CreditShare() >
                result.loads[0].CreditShare() - kChance);
    }
  }
}

}  // namespace greengage::bench
