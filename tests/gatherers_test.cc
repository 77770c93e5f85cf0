#include "greengage/coordination/gatherers.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "greengage/coordination/instance_share.h"
#include "greengage/state/key_digest.h"
#include "greengage/transport/gather_forwarder.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

// Instances in six data centres. One in `large_every` has four times the
// capacity of the others.
std::vector<InstanceRecord> MakeInstances(size_t count, size_t large_every) {
  std::vector<InstanceRecord> instances;
  for (size_t i = 0; i < count; ++i) {
    instances.push_back({std::to_string(i),
                         std::string(1, "abcdef"[i % 6]),
                         {"10.0.0.1", 80},
                         i / 6 % large_every == 0 ? 0.5 : 0.125});
  }
  return instances;
}

}  // namespace

Test(Gatherers, SmallDeploymentsGatherTheirOwnQueries) {
  cr_assert(SelectGatherers(MakeInstances(9, 1), "a", 26).total() == 0);
  cr_assert(SelectGatherers({}, "a", 26).total() == 0);
}

// Connections to a searcher must not grow with the number of instances.
Test(Gatherers, TheirConnectionsToASearcherFitAtEverySize) {
  for (const size_t count : {100, 300, 940, 3000}) {
    const GathererSet set = SelectGatherers(MakeInstances(count, 17), "a", 175);
    cr_assert(!set.local.empty());
    cr_assert(set.total() >= 6);
    cr_assert(InstanceShare(175, set.total()) >= 4);
  }
}

Test(Gatherers, AreLargeInstancesOfTheSameDataCentre) {
  for (const InstanceRecord& gatherer :
       SelectGatherers(MakeInstances(300, 17), "b", 175).local) {
    cr_assert(gatherer.data_centre == "b");
    cr_assert(gatherer.capacity == 0.5);
  }
}

// Requests that may not be gathered in this data centre go to others.
Test(Gatherers, AreKnownOfAllDataCentres) {
  const std::vector<InstanceRecord> instances = MakeInstances(300, 17);
  const GathererSet set = SelectGatherers(instances, "b", 175);
  cr_assert(set.local.size() + set.remote.size() == set.total());
  for (const char* const data_centre : {"a", "c", "d", "e", "f"}) {
    for (const InstanceRecord& gatherer :
         SelectGatherers(instances, data_centre, 175).local) {
      cr_assert(std::find(set.remote.begin(), set.remote.end(), gatherer) !=
                set.remote.end());
    }
  }
}

// All instances must choose the same gatherers from the same registry.
Test(Gatherers, DoNotDependOnTheOrderOfTheRegistry) {
  std::vector<InstanceRecord> instances = MakeInstances(300, 1);
  const GathererSet before = SelectGatherers(instances, "c", 175);
  cr_assert(before.ids.size() == before.total());
  std::shuffle(instances.begin(), instances.end(), std::minstd_rand(3));
  cr_assert(SelectGatherers(instances, "c", 175).local == before.local);
  cr_assert(SelectGatherers(instances, "c", 175).ids == before.ids);
}

Test(Gatherers, AJoiningSmallInstanceChangesNothing) {
  std::vector<InstanceRecord> instances = MakeInstances(300, 17);
  const auto before = SelectGatherers(instances, "a", 175).local;
  instances.push_back({"new", "a", {"10.0.0.1", 80}, 0.125});
  cr_assert(SelectGatherers(instances, "a", 175).local == before);
}

Test(GathererChooser, AGathererGathersItself) {
  const auto gatherers = MakeInstances(3, 1);
  GathererChooser chooser("1");
  cr_assert(chooser.gathers_itself());
  chooser.SetGatherers(gatherers);
  cr_assert(chooser.gathers_itself());
  GathererChooser other("7");
  other.SetGatherers(gatherers);
  cr_assert(!other.gathers_itself());
}

// One gatherer answers slowly: its calls stay in flight.
Test(GathererChooser, SpreadsQueriesAndAvoidsBusyGatherers) {
  GathererChooser chooser("7");
  chooser.SetGatherers(MakeInstances(3, 1));
  std::minstd_rand random(5);
  std::map<std::string, int> chosen;
  for (int i = 0; i < 300; ++i) {
    const std::string id = chooser.Choose(kStart, {}, random)->id;
    ++chosen[id];
    chooser.OnSent(id);
    if (id != "0") {
      chooser.OnAnswered(id);
    }
  }
  cr_assert(chosen["0"] < 5);
  cr_assert(chosen["1"] > 100 && chosen["2"] > 100);
}

Test(GathererChooser, LeavesOutLostGatherers) {
  GathererChooser chooser("7");
  chooser.SetGatherers(MakeInstances(2, 1));
  std::minstd_rand random(5);
  chooser.OnSent("0");
  chooser.OnFailed(kStart, "0", PeerFailure::kNoAnswer);
  cr_assert(chooser.Choose(kStart, {}, random)->id == "1");
  cr_assert(chooser.Choose(kStart, {"1"}, random) == nullptr);
  const TimePoint later = kStart + std::chrono::seconds(3);
  cr_assert(chooser.Choose(later, {"1"}, random)->id == "0");
}

// A caller's headers must not be taken for those of an instance.
Test(ForwardInfo, ReplacesHeadersThatTheCallerSent) {
  HeaderList headers;
  AddForwardInfo({.configuration = 1}, headers);
  headers.emplace_back("Accept", "*/*");
  AddForwardInfo({.configuration = 7}, headers);
  const auto info = TakeForwardInfo(headers);
  cr_assert(info);
  cr_assert(info->configuration == 7);
  cr_assert(headers.size() == 1);
}

Test(ForwardInfo, KeepsWhatItSaysOfTheCaller) {
  for (const bool has_key : {false, true}) {
    for (const bool is_charged : {false, true}) {
      ForwardedCaller caller;
      caller.key = has_key ? std::optional(DigestOfKey("k")) : std::nullopt;
      caller.is_charged = is_charged;
      HeaderList headers;
      AddForwardInfo({7, "a;b", caller}, headers);
      const auto info = TakeForwardInfo(headers);
      cr_assert(info && info->caller && headers.empty());
      cr_assert(info->organisation == "a;b");
      cr_assert(info->caller->key == caller.key);
      cr_assert(info->caller->is_charged == is_charged);
    }
  }
}

Test(ForwardInfo, RejectsMalformedHeaders) {
  for (const std::string version : {"", "x", "7x", "-1"}) {
    HeaderList headers{{"Greengage-Configuration", version}};
    cr_assert(!TakeForwardInfo(headers));
  }
  for (const std::string caller : {"", "k", "key=1", "key=;x", "7"}) {
    HeaderList headers{{"Greengage-Configuration", "7;a"},
                       {"Greengage-Configuration", caller}};
    cr_assert(!TakeForwardInfo(headers), "%s", caller.c_str());
  }
}

Test(GathererChooser, ChoosesOthersOnlyWhileNoGathererIsUsable) {
  GathererChooser chooser("self");
  chooser.SetGatherers({InstanceRecord{"near", "a", {}, 1}},
                       {InstanceRecord{"far", "b", {}, 1}});
  std::minstd_rand random;
  const TimePoint now{std::chrono::seconds(100)};
  cr_assert(chooser.Choose(now, {}, random)->id == "near");
  cr_assert(chooser.Choose(now, {"near"}, random)->id == "far");
  cr_assert(chooser.Choose(now, {"near", "far"}, random) == nullptr);
  chooser.OnFailed(now, "near", PeerFailure::kRefused);
  cr_assert(chooser.Choose(now, {}, random)->id == "far");
}

// A cut lasts longer than an outdated configuration.
Test(GathererChooser, LeavesACutOffGathererOutForLonger) {
  std::minstd_rand random;
  const TimePoint now{std::chrono::seconds(100)};
  const TimePoint later = now + std::chrono::seconds(1);
  GathererChooser chooser("self");
  chooser.SetGatherers({InstanceRecord{"one", "a", {}, 1}});
  chooser.OnFailed(now, "one", PeerFailure::kRefused);
  cr_assert(chooser.Choose(later, {}, random) != nullptr);
  chooser.OnFailed(now, "one", PeerFailure::kCutOff);
  cr_assert(chooser.Choose(later, {}, random) == nullptr);
  cr_assert(chooser.Choose(later + std::chrono::seconds(1), {}, random) !=
            nullptr);
}

// All instances of a large data centre may be unable to take a query.
Test(GathererChooser, AsksOtherDataCentresAfterTwoOfTheOwn) {
  GathererChooser chooser("self");
  std::vector<InstanceRecord> near;
  near.reserve(20);
  for (int i = 0; i < 20; ++i) {
    near.push_back({"near-" + std::to_string(i), "a", {}, 1});
  }
  chooser.SetGatherers(near, {InstanceRecord{"far", "b", {}, 1}});
  std::minstd_rand random;
  const TimePoint now{std::chrono::seconds(100)};
  std::vector<std::string> tried;
  for (int i = 0; i < 2; ++i) {
    tried.push_back(chooser.Choose(now, tried, random)->id);
    cr_assert(tried.back() != "far");
  }
  tried.push_back(chooser.Choose(now, tried, random)->id);
  cr_assert(tried.back() == "far");
  cr_assert(chooser.Choose(now, tried, random) != nullptr);
}

}  // namespace greengage
