#include "greengage/coordination/membership.h"

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "tools/bench/datagram_fake.h"

#include <criterion/criterion.h>

namespace greengage {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kWarmUp{10};
constexpr seconds kDetectionLimit{7};

struct ChangeCounter {
  std::map<MembershipChangeKind, size_t> changes;

  void Attach(DatagramFake& fake) {
    fake.OnChange([this](size_t, const MembershipChange& change, TimePoint) {
      ++changes[change.kind];
    });
  }
};

InstanceState StateAt(DatagramFake& fake, size_t at, size_t of) {
  const MemberTablePtr table = fake.at(at).Table();
  const Instance* found = table->Find(fake.at(of).self().id);
  return found == nullptr ? InstanceState::kGone : found->state;
}

// Returns true if every live instance considers exactly the live instances
// live.
bool AllAgree(DatagramFake& fake) {
  for (size_t at = 0; at < fake.size(); ++at) {
    for (size_t of = 0; of < fake.size(); ++of) {
      const bool live = StateAt(fake, at, of) == InstanceState::kLive;
      if (fake.alive(at) && live != fake.alive(of)) {
        return false;
      }
    }
  }
  return true;
}

}  // namespace

Test(Membership, DiscoversAllMembersThroughOneSeed) {
  DatagramFake fake({.instances = 12, .starts_connected = false});
  fake.Run(seconds(10));
  cr_assert(AllAgree(fake));
}

Test(Membership, FailedInstanceIsGoneOnAllMembersInTime) {
  for (const uint64_t seed : {1, 2, 3}) {
    DatagramFake fake({.instances = 30, .seed = seed});
    fake.Run(kWarmUp);
    fake.Kill(7);
    fake.Run(kDetectionLimit);
    cr_assert(AllAgree(fake));
  }
}

Test(Membership, TwoInstancesDetectEachOther) {
  DatagramFake fake({.instances = 2});
  fake.Run(kWarmUp);
  fake.Kill(0);
  fake.Run(kDetectionLimit);
  cr_assert(StateAt(fake, 1, 0) == InstanceState::kGone);
}

Test(Membership, DetectsSimultaneousFailuresOfNeighbours) {
  DatagramFake fake({.instances = 30});
  fake.Run(kWarmUp);
  for (size_t i = 0; i < 10; ++i) {
    fake.Kill(i * 3);
  }
  fake.Run(seconds(12));
  cr_assert(AllAgree(fake));
}

Test(Membership, TwoSecondPauseIsNotDeclaredGone) {
  for (const double loss : {0.0, 0.3}) {
    DatagramFake fake({.instances = 30, .loss = loss});
    ChangeCounter count;
    fake.Run(kWarmUp);
    count.Attach(fake);
    for (size_t i = 0; i < 10; ++i) {
      fake.Pause(i, seconds(2));
      fake.Run(seconds(5));
    }
    cr_assert(count.changes[MembershipChangeKind::kSuspected] > 0);
    cr_assert(count.changes[MembershipChangeKind::kGone] == 0);
    cr_assert(AllAgree(fake) || loss > 0);
  }
}

Test(Membership, PauseLongerThanTheTimeoutIsRefutedOnResume) {
  DatagramFake fake({.instances = 30});
  fake.Run(kWarmUp);
  const uint64_t before = fake.at(3).self().incarnation;
  fake.Pause(3, seconds(20));
  fake.Run(seconds(10));
  cr_assert(StateAt(fake, 0, 3) == InstanceState::kGone);
  ChangeCounter count;
  count.Attach(fake);
  fake.Run(seconds(17));
  cr_assert(AllAgree(fake));
  cr_assert(fake.at(3).self().incarnation > before);
  cr_assert(count.changes[MembershipChangeKind::kGone] == 0);
}

Test(Membership, HealedPartitionConverges) {
  for (const int cut_seconds : {6, 30}) {
    DatagramFake fake({.instances = 24});
    fake.Run(kWarmUp);
    fake.SetCut([](size_t from, size_t to) { return from % 2 != to % 2; });
    fake.Run(seconds(cut_seconds));
    cr_assert(cut_seconds < 30 || StateAt(fake, 0, 1) == InstanceState::kGone);
    fake.SetCut({});
    fake.Run(seconds(20));
    cr_assert(AllAgree(fake));
  }
}

Test(Membership, HealedPartitionDeclaresNoMemberGone) {
  DatagramFake fake({.instances = 24});
  fake.Run(kWarmUp);
  fake.SetCut([](size_t from, size_t to) { return from % 2 != to % 2; });
  fake.Run(seconds(60));
  fake.SetCut({});
  ChangeCounter count;
  count.Attach(fake);
  fake.Run(seconds(20));
  cr_assert(AllAgree(fake));
  cr_assert(count.changes[MembershipChangeKind::kGone] == 0);
}

Test(Membership, DatagramLossCausesNoFalseOrMissedFailure) {
  DatagramFake fake({.instances = 30, .loss = 0.3});
  ChangeCounter count;
  count.Attach(fake);
  fake.Run(seconds(60));
  cr_assert(count.changes[MembershipChangeKind::kGone] == 0);
  fake.Kill(7);
  fake.Run(kDetectionLimit);
  cr_assert(count.changes[MembershipChangeKind::kGone] == 29);
}

Test(Membership, RestartedInstanceWithTheSameIdIsLive) {
  DatagramFake fake({.instances = 12});
  fake.Run(kWarmUp);
  fake.Kill(5);
  fake.Run(seconds(1));
  fake.Start(5);
  fake.Run(seconds(10));
  cr_assert(AllAgree(fake));
  fake.Kill(5);
  fake.Run(seconds(20));
  cr_assert(StateAt(fake, 0, 5) == InstanceState::kGone);
  fake.Start(5);
  fake.Run(seconds(10));
  cr_assert(AllAgree(fake));
}

Test(Membership, LeavingInstanceIsAnnouncedBeforeItStops) {
  DatagramFake fake({.instances = 12});
  fake.Run(kWarmUp);
  ChangeCounter count;
  count.Attach(fake);
  fake.Perform(4, fake.at(4).Leave(fake.now()));
  fake.Run(seconds(2));
  cr_assert(count.changes[MembershipChangeKind::kLeaving] == 11);
  cr_assert(StateAt(fake, 0, 4) == InstanceState::kLeaving);
  fake.Perform(4, fake.at(4).Stop(fake.now()));
  fake.Run(seconds(2));
  cr_assert(count.changes[MembershipChangeKind::kGone] == 11);
  cr_assert(count.changes[MembershipChangeKind::kSuspected] == 0);
}

Test(Membership, IndirectPingsBridgeABrokenLink) {
  DatagramFake fake({.instances = 3});
  fake.Run(kWarmUp);
  ChangeCounter count;
  count.Attach(fake);
  fake.SetCut([](size_t from, size_t to) { return from + to == 1; });
  fake.Run(seconds(30));
  cr_assert(count.changes[MembershipChangeKind::kGone] == 0);
}

Test(Membership, HealedPartitionConvergesWithoutSeeds) {
  DatagramFake fake({.instances = 12});
  for (size_t i = 0; i < fake.size(); ++i) {
    fake.at(i).SetSeeds({});
  }
  fake.Run(kWarmUp);
  fake.SetCut([](size_t from, size_t to) { return from % 2 != to % 2; });
  fake.Run(seconds(30));
  fake.SetCut({});
  fake.Run(seconds(20));
  cr_assert(AllAgree(fake));
}

Test(Membership, AntiEntropyRepairsMissedGossip) {
  DatagramFake fake({.instances = 12});
  fake.Run(kWarmUp);
  fake.SetCut([](size_t from, size_t to) { return from == 3 || to == 3; });
  fake.Perform(4, fake.at(4).Leave(fake.now()));
  fake.Run(seconds(3));
  cr_assert(StateAt(fake, 3, 4) != InstanceState::kLeaving);
  fake.SetCut({});
  fake.Run(seconds(10));
  cr_assert(StateAt(fake, 3, 4) == InstanceState::kLeaving);
}

Test(Membership, IsolatedInstanceDeclaresOthersGoneLater) {
  DatagramFake fake({.instances = 12});
  fake.Run(kWarmUp);
  fake.SetCut([](size_t from, size_t to) { return from == 3 || to == 3; });
  size_t declared = 0;
  fake.OnChange([&](size_t at, const MembershipChange& change, TimePoint) {
    const bool gone = change.kind == MembershipChangeKind::kGone;
    declared += at == 3 && gone ? 1 : 0;
  });
  fake.Run(milliseconds(5500));
  cr_assert(declared == 0);
  cr_assert(StateAt(fake, 0, 3) == InstanceState::kGone);
  fake.Run(seconds(15));
  cr_assert(declared == 11);
}

Test(Membership, OwnPauseCausesNoFalseFailure) {
  TimePoint now{};
  Membership membership(DatagramFake::MakeInstance(0, 1), {}, 1, now);
  Datagram introduction;
  introduction.kind = DatagramKind::kMembers;
  introduction.sender = "entry-1001";
  introduction.members = {DatagramFake::MakeInstance(1, 1)};
  membership.OnDatagram(introduction, {}, now);
  const auto run = [&](milliseconds length) {
    bool gone = false;
    for (const TimePoint end = now + length; now < end;) {
      now += milliseconds(100);
      for (const MembershipChange& change : membership.Tick(now).changes) {
        gone |= change.kind == MembershipChangeKind::kGone;
      }
    }
    return gone;
  };
  cr_assert(!run(seconds(2)));
  now += seconds(20);
  cr_assert(!run(seconds(1)));
  cr_assert(run(seconds(4)));
}

Test(Membership, HigherConfigurationVersionReachesAllMembers) {
  DatagramFake fake({.instances = 30, .loss = 0.3});
  fake.OnVersion(
      [&](size_t at, const VersionAnnouncement& announcement, TimePoint) {
        fake.at(at).SetConfigurationVersion(announcement.version);
      });
  fake.Run(kWarmUp);
  fake.at(9).SetConfigurationVersion(5);
  fake.Run(kDetectionLimit);
  for (size_t i = 0; i < fake.size(); ++i) {
    cr_assert(fake.at(i).configuration_version() == 5);
  }
}

Test(Membership, IgnoresPingForAnotherTarget) {
  Instance self = DatagramFake::MakeInstance(0, 1);
  Membership membership(self, {}, 1, TimePoint{});
  Datagram ping;
  ping.sender = "entry-1001";
  ping.target = "earlier-holder-of-this-end-point";
  cr_assert(membership.OnDatagram(ping, {}, TimePoint{}).datagrams.empty());
  ping.target = self.id;
  cr_assert(membership.OnDatagram(ping, {}, TimePoint{}).datagrams.size() == 1);
}

Test(Membership, RemovesMembersGoneForLong) {
  DatagramFake fake({.instances = 3});
  fake.Run(kWarmUp);
  fake.Kill(2);
  fake.Run(std::chrono::minutes(11));
  cr_assert(fake.at(0).Table()->members.size() == 2);
}

}  // namespace greengage
