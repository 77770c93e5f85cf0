#include "greengage/coordination/configuration_spread.h"

#include <chrono>

#include <criterion/criterion.h>

namespace greengage {

namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};

Instance Named(const char* id) {
  return {.id = id};
}

}  // namespace

Test(ConfigurationSpread, FetchesAHigherVersionOnce) {
  ConfigurationSpread spread;
  const auto fetch = spread.OnHeard(5, Named("a"), kNow);
  cr_assert(fetch && fetch->source.id == "a");
  cr_assert(fetch->version == 5 && fetch->have_version == 0);
  cr_assert(!spread.OnHeard(5, Named("a"), kNow));
  cr_assert(!spread.OnHeard(5, Named("b"), kNow));
  cr_assert(!spread.caught_up());
  cr_assert(!spread.OnInForce(5, kNow));
  cr_assert(spread.caught_up());
}

Test(ConfigurationSpread, NeverMovesToALowerVersion) {
  ConfigurationSpread spread;
  spread.OnInForce(7, kNow);
  spread.OnInForce(3, kNow);
  cr_assert(spread.in_force() == 7);
  cr_assert(!spread.Admits(7));
  cr_assert(spread.Admits(8));
  cr_assert(!spread.OnHeard(6, Named("a"), kNow));
}

Test(ConfigurationSpread, AsksAnotherSourceAfterAFailure) {
  ConfigurationSpread spread;
  spread.OnHeard(5, Named("a"), kNow);
  spread.OnHeard(5, Named("b"), kNow);
  const auto fetch = spread.OnFailed("a", kNow);
  cr_assert(fetch && fetch->source.id == "b");
  cr_assert(!spread.OnFailed("b", kNow));
  const auto again = spread.OnHeard(5, Named("a"), kNow);
  cr_assert(again && again->source.id == "a");
}

Test(ConfigurationSpread, AsksAnotherSourceWhenTheFirstIsSlow) {
  ConfigurationSpread spread;
  spread.OnHeard(5, Named("a"), kNow);
  spread.OnHeard(5, Named("b"), kNow);
  cr_assert(!spread.Tick(kNow + std::chrono::milliseconds(100)));
  const auto fetch = spread.Tick(kNow + std::chrono::seconds(1));
  cr_assert(fetch && fetch->source.id == "b");
}

Test(ConfigurationSpread, GoesForAStillHigherVersionAtOnce) {
  ConfigurationSpread spread;
  spread.OnHeard(5, Named("a"), kNow);
  const auto fetch = spread.OnHeard(6, Named("b"), kNow);
  cr_assert(fetch && fetch->version == 6);
  cr_assert(!spread.OnInForce(5, kNow));
  cr_assert(!spread.caught_up());
}

}  // namespace greengage
