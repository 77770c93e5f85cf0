#include "tools/bench/routed_faults.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <random>

namespace greengage::bench {
namespace {

constexpr Duration kFaultStart = std::chrono::seconds(2);
constexpr Duration kFaultLength = std::chrono::seconds(6);

// Applies `begin` to the searchers that `hit` names, and takes it back later.
void ApplyTemporarily(RoutedFleet& fleet,
                      const std::function<bool(size_t)>& is_affected,
                      const std::function<void(FleetSearcherFaults&)>& begin) {
  const TimePoint from = fleet.MeasurementStart() + kFaultStart;
  for (size_t i = 0; i < fleet.searchers(); ++i) {
    if (!is_affected(i)) {
      continue;
    }
    fleet.events().At(from, [&fleet, i, begin] { begin(fleet.faults(i)); });
    fleet.events().At(from + kFaultLength,
                      [&fleet, i] { fleet.faults(i) = FleetSearcherFaults{}; });
  }
}

}  // namespace

void MakeMostSearchersReject(RoutedFleet& fleet) {
  constexpr double kRejectShare = 0.6;
  constexpr size_t kSparedOneIn = 5;  // One in so many is spared.
  fleet.events().At(fleet.MeasurementStart() + kFaultStart, [&fleet] {
    std::uniform_int_distribution<size_t> spared(0, kSparedOneIn - 1);
    for (size_t i = 0; i < fleet.searchers(); ++i) {
      fleet.faults(i).reject_share =
          spared(fleet.random()) == 0 ? 0 : kRejectShare;
    }
  });
}

void MakeShardsUnresponsive(RoutedFleet& fleet) {
  constexpr size_t kShards = 3;
  const size_t searchers = kShards * fleet.shape().replicas;
  ApplyTemporarily(
      fleet, [searchers](size_t i) { return i < searchers; },
      [](FleetSearcherFaults& faults) { faults.unresponsive = true; });
}

void MakeManySearchersUnresponsive(RoutedFleet& fleet) {
  constexpr size_t kTotal = 10;
  constexpr size_t kAffected = 3;
  ApplyTemporarily(
      fleet, [&fleet](size_t) { return fleet.random()() % kTotal < kAffected; },
      [](FleetSearcherFaults& faults) { faults.unresponsive = true; });
}

void MakeManySearchersSlow(RoutedFleet& fleet) {
  constexpr double kSlowdown = 6;
  ApplyTemporarily(
      fleet, [&fleet](size_t) { return fleet.random()() % 2 == 0; },
      [](FleetSearcherFaults& faults) { faults.slowdown = kSlowdown; });
}

}  // namespace greengage::bench
