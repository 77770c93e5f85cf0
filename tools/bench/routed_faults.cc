#include "tools/bench/routed_faults.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <random>

namespace greengage::bench {
namespace {

constexpr Duration kFaultStart = std::chrono::seconds(2);
constexpr Duration kFaultLength = std::chrono::seconds(6);

// Applies `begin` at kFaultStart to the searchers that `is_affected` selects,
// and clears their faults after `length`.
void ApplyTemporarily(RoutedFleet& fleet,
                      const std::function<bool(size_t)>& is_affected,
                      const std::function<void(FleetSearcherFaults&)>& begin,
                      Duration length = kFaultLength) {
  const TimePoint from = fleet.MeasurementStart() + kFaultStart;
  for (size_t i = 0; i < fleet.searchers(); ++i) {
    if (!is_affected(i)) {
      continue;
    }
    fleet.events().At(from, [&fleet, i, begin] { begin(fleet.faults(i)); });
    fleet.events().At(from + length,
                      [&fleet, i] { fleet.faults(i) = FleetSearcherFaults{}; });
  }
}

}  // namespace

void MakeMostSearchersReject(RoutedFleet& fleet) {
  constexpr double kRejectShare = 0.6;
  constexpr size_t kSparedOneIn = 5;  // One in five is unaffected.
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

void MakeSearchersNameLimits(RoutedFleet& fleet, bool all_replicas) {
  constexpr Duration kLength = std::chrono::seconds(15);
  const size_t replicas = fleet.shape().replicas;
  double requests_per_second = 0;
  for (const FleetLoad& load : fleet.shape().loads) {
    requests_per_second += load.requests_per_second;
  }
  const double limit = requests_per_second / static_cast<double>(replicas) / 2;
  ApplyTemporarily(
      fleet,
      [replicas, all_replicas](size_t i) {
        return all_replicas || i % replicas == 0;
      },
      [limit](FleetSearcherFaults& faults) { faults.request_limit = limit; },
      kLength);
}

}  // namespace greengage::bench
