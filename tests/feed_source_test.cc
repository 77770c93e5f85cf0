#include "greengage/coordination/feed_source.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace greengage {
namespace {

using Ms = std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr FeedSourceOptions kOptions{.max_age = Ms(2000)};

std::vector<InstanceRecord> MakeInstances(size_t count) {
  std::vector<InstanceRecord> instances;
  for (size_t i = 0; i < count; ++i) {
    const std::string id = std::to_string(i);
    // Every tenth instance has a larger machine.
    instances.push_back({id,
                         i % 2 == 0 ? "a" : "b",
                         {"10.0.0.1", 80},
                         i % 10 < 2 ? 0.5 : 0.125});
  }
  return instances;
}

FeedSource MakeSource(const std::string& id,
                      const std::vector<InstanceRecord>& instances) {
  InstanceRecord self{id, "a", {"10.0.0.1", 80}, 0.125};
  for (const InstanceRecord& instance : instances) {
    self = instance.id == id ? instance : self;
  }
  FeedSource source(self, kOptions);
  source.SetInstances(instances);
  return source;
}

// Returns the instances of data centre "a" that read the store while no peer
// in `lost` answers, after all have settled.
std::set<std::string> StoreReaders(const std::vector<InstanceRecord>& instances,
                                   const std::set<std::string>& lost) {
  std::set<std::string> readers;
  for (const InstanceRecord& instance : instances) {
    if (instance.data_centre != "a" || lost.contains(instance.id)) {
      continue;
    }
    FeedSource source = MakeSource(instance.id, instances);
    const InstanceRecord* peer = source.Choose(kStart, kStart);
    while (peer != nullptr && lost.contains(peer->id)) {
      source.OnPeerFailed(kStart, peer->id, PeerFailure::kNoAnswer);
      peer = source.Choose(kStart, kStart);
    }
    if (peer == nullptr) {
      readers.insert(instance.id);
    }
  }
  return readers;
}

}  // namespace

Test(FeedSource, AFewLargeInstancesPerDataCentreReadTheStore) {
  for (const size_t count : {30, 100, 300, 940}) {
    const auto instances = MakeInstances(count);
    const auto readers = StoreReaders(instances, {});
    cr_assert(readers.size() == kFeedRelaysPerDataCentre);
    for (const std::string& id : readers) {
      cr_assert(std::stoul(id) % 10 < 2);
    }
  }
}

// The registry keeps the entries of lost instances.
Test(FeedSource, TheNextInTheRankingTakesOverFromLostRelays) {
  const auto instances = MakeInstances(100);
  const auto relays = StoreReaders(instances, {});
  const auto successors = StoreReaders(instances, relays);
  cr_assert(successors.size() == 1);
  cr_assert(!relays.contains(*successors.begin()));
}

Test(FeedSource, AnInstanceThatIsAloneReadsTheStore) {
  const auto instances = MakeInstances(100);
  std::set<std::string> lost;
  for (const InstanceRecord& instance : instances) {
    lost.insert(instance.id);
  }
  lost.erase("98");
  cr_assert(StoreReaders(instances, lost) == std::set<std::string>{"98"});
}

// A peer that is frozen, cut off or slow must not make an instance use
// searchers that have left.
Test(FeedSource, StateThatIsTooOldIsReadFromTheStore) {
  FeedSource source = MakeSource("98", MakeInstances(100));
  cr_assert(source.Choose(kStart, kStart - Ms(1999)) != nullptr);
  cr_assert(source.Choose(kStart, kStart - Ms(2000)) == nullptr);
  // It keeps reading the store for a while rather than changing back and forth.
  cr_assert(source.Choose(kStart + Ms(9000), kStart + Ms(9000)) == nullptr);
  cr_assert(source.Choose(kStart + Ms(10000), kStart + Ms(10000)) != nullptr);
}

Test(FeedSource, APeerThatAnswersAgainIsUsedAgain) {
  FeedSource source = MakeSource("98", MakeInstances(100));
  const std::string first = source.Choose(kStart, kStart)->id;
  source.OnPeerFailed(kStart, first, PeerFailure::kNoAnswer);
  cr_assert(source.Choose(kStart, kStart)->id != first);
  const TimePoint later = kStart + kOptions.backoff.min_retry_delay;
  cr_assert(source.Choose(later, later)->id == first);
  source.OnPeerFailed(later, first, PeerFailure::kNoAnswer);
  const TimePoint too_early = later + kOptions.backoff.min_retry_delay;
  cr_assert(source.Choose(too_early, too_early)->id != first);
  source.OnPeerAnswered(first);
  cr_assert(source.Choose(too_early, too_early)->id == first);
}

Test(FeedSource, APeerThatRefusedIsAskedAgainSoon) {
  FeedSource source = MakeSource("98", MakeInstances(100));
  const std::string first = source.Choose(kStart, kStart)->id;
  source.OnPeerFailed(kStart, first, PeerFailure::kRefused);
  cr_assert(source.Choose(kStart, kStart)->id != first);
  const TimePoint later = kStart + kOptions.backoff.refusal_delay;
  cr_assert(source.Choose(later, later)->id == first);
}

Test(FeedSource, AnInstanceThatKnowsNoPeersReadsTheStore) {
  FeedSource source({"1", "a", {"10.0.0.1", 80}, 1}, kOptions);
  cr_assert(source.Choose(kStart, kStart) == nullptr);
  // Peers in other data centres are not used.
  source.SetInstances({{"2", "b", {"10.0.0.1", 80}, 1}});
  cr_assert(source.Choose(kStart, kStart) == nullptr);
}

// A relay's list of instances may be older than this instance.
Test(FeedSource, AnInstanceThatIsNotListedYetFollowsTheLargerOnes) {
  FeedSource source = MakeSource("new", MakeInstances(100));
  cr_assert(source.Choose(kStart, kStart) != nullptr);
}

// An instance reads the store less often than a relay does. The age of its own
// state used to keep it from ever returning to its peers.
Test(FeedSource, AnInstanceThatReadTheStoreReturnsToItsPeers) {
  FeedSource source({"new", "a", {"10.0.0.1", 80}, 0.125}, kOptions);
  source.SetInstances({});
  cr_assert(source.Choose(kStart, kStart) == nullptr);
  source.SetInstances(MakeInstances(100));
  cr_assert(source.Choose(kStart, kStart - 2 * kOptions.max_age) != nullptr);
}

}  // namespace greengage
