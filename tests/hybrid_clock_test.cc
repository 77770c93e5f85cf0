#include "greengage/state/hybrid_clock.h"

#include <chrono>
#include <limits>

#include <criterion/criterion.h>

namespace greengage {

using std::chrono::milliseconds;

Test(HybridClock, IncreasesEvenIfTheWallClockDoesNot) {
  HybridClock clock;
  HybridTime last = clock.Now(FromEpoch(milliseconds(1000)));
  for (const int wall : {1000, 1000, 400, 1001, 1000}) {
    const HybridTime next = clock.Now(FromEpoch(milliseconds(wall)));
    cr_assert(next > last);
    last = next;
  }
  cr_assert(last.milliseconds == 1001);
}

Test(HybridClock, ExceedsObservedTimes) {
  HybridClock clock;
  const WallTime wall = FromEpoch(milliseconds(1000));
  const HybridTime remote{.milliseconds = 1500, .counter = 7};
  clock.Observe(remote, wall);
  cr_assert(clock.Now(wall) > remote);
}

Test(HybridClock, IgnoresTimesFarAhead) {
  HybridClock clock;
  const WallTime wall = FromEpoch(milliseconds(1000));
  clock.Observe({.milliseconds = 61001}, wall);
  cr_assert(clock.Now(wall).milliseconds == 1000);
}

Test(HybridClock, IncrementsMillisecondsOnCounterOverflow) {
  HybridClock clock;
  const WallTime wall = FromEpoch(milliseconds(1000));
  const HybridTime full{.milliseconds = 1000,
                        .counter = std::numeric_limits<uint32_t>::max()};
  clock.Observe(full, wall);
  cr_assert(clock.Now(wall) > full);
}

}  // namespace greengage
