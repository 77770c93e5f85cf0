#include "greengage/coordination/configuration_rollout.h"

#include "greengage/protocol/status_codec.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

const Endpoint kHttpA{"127.0.0.1", 1};
const Endpoint kHttpB{"127.0.0.1", 2};
const Endpoint kHttpC{"127.0.0.1", 3};

Instance Member(const char* id, const Endpoint& http, InstanceState state) {
  Instance member;
  member.id = id;
  member.http = http;
  member.state = state;
  return member;
}

InstanceStatus Status(const char* id, uint64_t version) {
  InstanceStatus status;
  status.id = id;
  status.configuration_version = version;
  return status;
}

}  // namespace

Test(ConfigurationRollout, WaitsForMembersReportedByOthers) {
  ConfigurationRollout rollout(7, {kHttpA});
  cr_assert(!rollout.complete());
  InstanceStatus status = Status("a", 7);
  status.members = {Member("a", kHttpA, InstanceState::kLive),
                    Member("b", kHttpB, InstanceState::kLive)};
  rollout.OnStatus(kHttpA, status);
  rollout.EndRound();
  cr_assert(!rollout.complete());
  cr_assert(rollout.Pending().front().id == "b");
  cr_assert(
      (rollout.EndpointsToPoll() == std::vector<Endpoint>{kHttpA, kHttpB}));
  rollout.OnStatus(kHttpB, Status("b", 6));
  rollout.EndRound();
  cr_assert(!rollout.complete());
  rollout.OnStatus(kHttpB, Status("b", 8));
  rollout.EndRound();
  cr_assert(rollout.complete());
  cr_assert(rollout.EndpointsToPoll().size() == 1);
}

Test(ConfigurationRollout, WaitsForUnreachableInstancesUntilTheyAreGone) {
  ConfigurationRollout rollout(7, {kHttpA, kHttpC});
  for (const InstanceState state :
       {InstanceState::kSuspect, InstanceState::kGone}) {
    InstanceStatus status = Status("a", 7);
    status.members = {Member("c", kHttpC, state)};
    rollout.OnStatus(kHttpA, status);
    rollout.OnUnreachable(kHttpC);
    rollout.EndRound();
    cr_assert(rollout.complete() == (state == InstanceState::kGone));
  }
  cr_assert(rollout.Departed().front().id == "c");
  // The rollout waits for a member that responds although others report it
  // gone.
  rollout.OnStatus(kHttpC, Status("c", 6));
  rollout.EndRound();
  cr_assert(!rollout.complete());
}

Test(ConfigurationRollout, DoesNotWaitForInstancesOnlyInThePlatformList) {
  ConfigurationRollout rollout(7, {});
  rollout.AddPlatformInstances({kHttpA, kHttpB});
  rollout.OnUnreachable(kHttpB);
  rollout.OnStatus(kHttpA, Status("a", 7));
  rollout.EndRound();
  cr_assert(rollout.complete());
  cr_assert((rollout.TrackedEndpoints() == std::vector<Endpoint>{kHttpA}));
  InstanceStatus status = Status("a", 7);
  status.members = {Member("b", kHttpB, InstanceState::kSuspect)};
  rollout.OnStatus(kHttpA, status);
  rollout.EndRound();
  cr_assert(!rollout.complete());
}

Test(ConfigurationRollout, IsIncompleteWithoutAnyResponse) {
  ConfigurationRollout rollout(7, {});
  rollout.EndRound();
  cr_assert(!rollout.complete());
}

Test(StatusCodec, ParsesSerializedStatus) {
  InstanceStatus status = Status("a", 7);
  status.data_centre = "x";
  status.state = InstanceState::kLeaving;
  status.members = {Member("b", kHttpB, InstanceState::kSuspect)};
  const std::string text = SerializeStatus(status);
  const Result<InstanceStatus> read = ParseStatus(text);
  cr_assert(read.ok());
  cr_assert(SerializeStatus(*read) == text);
  cr_assert(read->members.front().state == InstanceState::kSuspect);
  cr_assert(!ParseStatus("{\"instance\": \"a\"}").ok());
}

}  // namespace greengage
