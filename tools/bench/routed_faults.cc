#include "tools/bench/routed_faults.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <random>

namespace greengage::bench {
namespace {

constexpr Duration kFrom = std::chrono::seconds(2);
constexpr Duration kLength = std::chrono::seconds(6);

// Applies `begin` to the searchers that `hit` names, and takes it back later.
void ForAWhile(RoutedFleet& fleet,
               const std::function<bool(size_t)>& hit,
               const std::function<void(FleetSearcherFaults&)>& begin) {
  const TimePoint from = fleet.MeasuredFrom() + kFrom;
  for (size_t i = 0; i < fleet.searchers(); ++i) {
    if (!hit(i)) {
      continue;
    }
    fleet.events().At(from, [&fleet, i, begin] { begin(fleet.faults(i)); });
    fleet.events().At(from + kLength,
                      [&fleet, i] { fleet.faults(i) = FleetSearcherFaults{}; });
  }
}

}  // namespace

void MostTurnAway(RoutedFleet& fleet) {
  constexpr double kTurnedAway = 0.6;
  constexpr size_t kEach = 5;  // One in so many is spared.
  fleet.events().At(fleet.MeasuredFrom() + kFrom, [&fleet] {
    std::uniform_int_distribution<size_t> spared(0, kEach - 1);
    for (size_t i = 0; i < fleet.searchers(); ++i) {
      fleet.faults(i).turns_away =
          spared(fleet.random()) == 0 ? 0 : kTurnedAway;
    }
  });
}

void ShardsGoSilent(RoutedFleet& fleet) {
  constexpr size_t kShards = 3;
  const size_t searchers = kShards * fleet.shape().replicas;
  ForAWhile(
      fleet, [searchers](size_t i) { return i < searchers; },
      [](FleetSearcherFaults& faults) { faults.silent = true; });
}

void ManyGoSilent(RoutedFleet& fleet) {
  constexpr size_t kOf = 10;
  constexpr size_t kHit = 3;
  ForAWhile(
      fleet, [&fleet](size_t) { return fleet.random()() % kOf < kHit; },
      [](FleetSearcherFaults& faults) { faults.silent = true; });
}

void ManyTurnSlow(RoutedFleet& fleet) {
  constexpr double kSlowdown = 6;
  ForAWhile(
      fleet, [&fleet](size_t) { return fleet.random()() % 2 == 0; },
      [](FleetSearcherFaults& faults) { faults.slowdown = kSlowdown; });
}

}  // namespace greengage::bench
