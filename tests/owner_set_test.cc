#include "greengage/coordination/owner_set.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>

#include "greengage/coordination/watcher_set.h"

#include <criterion/criterion.h>

namespace greengage {

namespace {

MemberTable MakeTable(size_t count, size_t data_centres) {
  MemberTable table;
  for (size_t i = 0; i < count; ++i) {
    table.members.push_back(
        {.id = "entry-" + std::to_string(1000 + i),
         .data_centre = "dc-" + std::to_string(i % data_centres)});
  }
  table.self_id = table.members.front().id;
  return table;
}

std::map<Endpoint, SearcherConfiguration> MakeSearchers(size_t count,
                                                        size_t data_centres) {
  std::map<Endpoint, SearcherConfiguration> searchers;
  for (size_t i = 0; i < count; ++i) {
    const Endpoint endpoint{.host = "10.1.0.1",
                            .port = static_cast<uint16_t>(2000 + i)};
    searchers[endpoint] = {
        .endpoint = endpoint,
        .data_centre = "dc-" + std::to_string(i % data_centres)};
  }
  return searchers;
}

OwnerSet MakeOwners(const MemberTable& table,
                    const std::map<Endpoint, SearcherConfiguration>& searchers,
                    size_t owners) {
  return {std::make_shared<MemberTable>(table), searchers, owners};
}

}  // namespace

Test(OwnerSet, AssignsOwnersInTheDataCentreOfTheSearcher) {
  const auto searchers = MakeSearchers(120, 3);
  const OwnerSet owners = MakeOwners(MakeTable(9, 3), searchers, 2);
  for (const auto& [endpoint, searcher] : searchers) {
    const auto& list = owners.OwnersOf(endpoint);
    cr_assert(list.size() == 2);
    cr_assert(list[0] != list[1]);
    cr_assert(list[0]->data_centre == searcher.data_centre);
    cr_assert(list[1]->data_centre == searcher.data_centre);
    cr_assert(owners.Owns(list[1]->id, endpoint));
  }
}

Test(OwnerSet, LimitsEachInstanceToItsShareAndAQuarter) {
  const MemberTable table = MakeTable(60, 3);
  const OwnerSet owners = MakeOwners(table, MakeSearchers(600, 3), 1);
  size_t total = 0;
  for (const Instance& member : table.members) {
    const size_t owned = owners.OwnedBy(member.id).size();
    cr_assert(owned <= 13);
    total += owned;
  }
  cr_assert(total == 600);
}

Test(OwnerSet, RemovingAnInstanceMovesFewOtherSearchers) {
  const auto searchers = MakeSearchers(600, 1);
  MemberTable table = MakeTable(30, 1);
  const OwnerSet before = MakeOwners(table, searchers, 1);
  table.members[11].state = InstanceState::kGone;
  const OwnerSet after = MakeOwners(table, searchers, 1);
  const auto moved =
      std::count_if(searchers.begin(), searchers.end(), [&](const auto& item) {
        return before.OwnersOf(item.first).front()->id !=
               after.OwnersOf(item.first).front()->id;
      });
  cr_assert(moved <= 60, "%ld of 600 moved", moved);
}

Test(OwnerSet, ExcludesLeavingAndGoneInstances) {
  const auto searchers = MakeSearchers(50, 1);
  MemberTable table = MakeTable(3, 1);
  table.members[0].state = InstanceState::kLeaving;
  table.members[1].state = InstanceState::kGone;
  table.members[2].state = InstanceState::kSuspect;
  const OwnerSet owners = MakeOwners(table, searchers, 2);
  cr_assert(owners.OwnedBy(table.members[2].id).size() == 50);
  cr_assert(owners.OwnedBy(table.members[0].id).empty());
}

Test(OwnerSet, FallsBackToOtherDataCentres) {
  const auto searchers = MakeSearchers(30, 3);
  const MemberTable table = MakeTable(4, 2);
  const OwnerSet owners = MakeOwners(table, searchers, 1);
  for (const auto& [endpoint, searcher] : searchers) {
    cr_assert(owners.OwnersOf(endpoint).size() == 1);
  }
  cr_assert(owners.OwnersOf({.host = "10.9.9.9", .port = 1}).empty());
}

Test(WatcherSet, SelectsTheSameWatchersOnAllInstancesAndReplacesThem) {
  MemberTable table = MakeTable(30, 3);
  const auto watchers = Watchers(table, "dc-1");
  cr_assert(watchers.size() == kWatchersPerDataCentre);
  size_t watching = 0;
  for (const Instance& member : table.members) {
    table.self_id = member.id;
    watching += ShouldWatch(table) ? 1 : 0;
  }
  cr_assert(watching == 3 * kWatchersPerDataCentre);
  const std::string first = watchers[0]->id;
  const std::string second = watchers[1]->id;
  for (Instance& member : table.members) {
    if (member.id == first) {
      member.state = InstanceState::kLeaving;
    }
  }
  cr_assert(Watchers(table, "dc-1")[0]->id == second);
  cr_assert(Watchers(table, "dc-1").size() == kWatchersPerDataCentre);
}

}  // namespace greengage
