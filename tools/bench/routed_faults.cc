#include "tools/bench/routed_faults.h"

#include <chrono>
#include <cstddef>
#include <random>

namespace greengage::bench {

void MostTurnAway(RoutedFleet& fleet) {
  constexpr double kTurnedAway = 0.6;
  constexpr size_t kEach = 5;  // One in so many is spared.
  const TimePoint from = fleet.MeasuredFrom() + std::chrono::seconds(2);
  fleet.events().At(from, [&fleet] {
    std::uniform_int_distribution<size_t> spared(0, kEach - 1);
    for (size_t i = 0; i < fleet.searchers(); ++i) {
      fleet.faults(i).turns_away =
          spared(fleet.random()) == 0 ? 0 : kTurnedAway;
    }
  });
}

}  // namespace greengage::bench
