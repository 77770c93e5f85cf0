#include "greengage/coordination/configuration_fetch_scheduler.h"

#include <chrono>

#include <criterion/criterion.h>

namespace greengage {

namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};

Instance InstanceWithId(const char* id) {
  return {.id = id};
}

}  // namespace

Test(ConfigurationFetchScheduler, FetchesAHigherVersionOnce) {
  ConfigurationFetchScheduler scheduler;
  const auto fetch = scheduler.OnVersionAnnounced(5, InstanceWithId("a"), kNow);
  cr_assert(fetch && fetch->source.id == "a");
  cr_assert(fetch->version == 5 && fetch->have_version == 0);
  cr_assert(!scheduler.OnVersionAnnounced(5, InstanceWithId("a"), kNow));
  cr_assert(!scheduler.OnVersionAnnounced(5, InstanceWithId("b"), kNow));
  cr_assert(!scheduler.caught_up());
  cr_assert(!scheduler.OnActivated(5, kNow));
  cr_assert(scheduler.caught_up());
}

Test(ConfigurationFetchScheduler, IgnoresLowerVersions) {
  ConfigurationFetchScheduler scheduler;
  scheduler.OnActivated(7, kNow);
  scheduler.OnActivated(3, kNow);
  cr_assert(scheduler.active_version() == 7);
  cr_assert(!scheduler.IsNewer(7));
  cr_assert(scheduler.IsNewer(8));
  cr_assert(!scheduler.OnVersionAnnounced(6, InstanceWithId("a"), kNow));
}

Test(ConfigurationFetchScheduler, TriesAnotherSourceAfterAFailure) {
  ConfigurationFetchScheduler scheduler;
  scheduler.OnVersionAnnounced(5, InstanceWithId("a"), kNow);
  scheduler.OnVersionAnnounced(5, InstanceWithId("b"), kNow);
  const auto fetch = scheduler.OnFetchFailed("a", kNow);
  cr_assert(fetch && fetch->source.id == "b");
  cr_assert(!scheduler.OnFetchFailed("b", kNow));
  const auto again = scheduler.OnVersionAnnounced(5, InstanceWithId("a"), kNow);
  cr_assert(again && again->source.id == "a");
}

Test(ConfigurationFetchScheduler, TriesAnotherSourceWhenTheFirstIsSlow) {
  ConfigurationFetchScheduler scheduler;
  scheduler.OnVersionAnnounced(5, InstanceWithId("a"), kNow);
  scheduler.OnVersionAnnounced(5, InstanceWithId("b"), kNow);
  cr_assert(!scheduler.Tick(kNow + std::chrono::milliseconds(100)));
  const auto fetch = scheduler.Tick(kNow + std::chrono::seconds(1));
  cr_assert(fetch && fetch->source.id == "b");
}

Test(ConfigurationFetchScheduler, FetchesAnEvenHigherVersionAtOnce) {
  ConfigurationFetchScheduler scheduler;
  scheduler.OnVersionAnnounced(5, InstanceWithId("a"), kNow);
  const auto fetch = scheduler.OnVersionAnnounced(6, InstanceWithId("b"), kNow);
  cr_assert(fetch && fetch->version == 6);
  cr_assert(!scheduler.OnActivated(5, kNow));
  cr_assert(!scheduler.caught_up());
}

}  // namespace greengage
