#include "greengage/coordination/claim.h"

#include "greengage/coordination/claim_machine.h"
#include "greengage/coordination/claim_sweep.h"
#include "greengage/protocol/claim_codec.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

constexpr ClaimLimits kLimits{};
constexpr std::chrono::milliseconds kRequestTime{1764814254000};
const WallTime kRequestWallTime = FromEpoch(kRequestTime);

ClaimMachine MakeMachine() {
  return ClaimMachine(kRequestWallTime, kLimits, "token", "entry-1");
}

const ReplyToCaller* FindReply(const std::vector<ClaimAction>& actions) {
  for (const ClaimAction& action : actions) {
    if (const auto* reply = std::get_if<ReplyToCaller>(&action)) {
      return reply;
    }
  }
  return nullptr;
}

Test(Claim, RequestIdNeedsATimeAndASuffix) {
  cr_assert(RequestIdTime("1764814254000-7f3a").ok());
  for (const char* id :
       {"", "-a", "17", "17-", "x7-a", "17x-a", "99999999999999999999-a"}) {
    cr_assert(!RequestIdTime(id).ok());
  }
}

Test(Claim, NameContainsTheRequestTime) {
  const std::string name = ClaimName("order.desk", "1764814254000-a.b-c");
  const Result<WallTime> time = ClaimNameTime(name);
  cr_assert(time.ok());
  cr_assert(*time == kRequestWallTime);
}

Test(Claim, RoundTripsThroughJson) {
  const ClaimRecord record{
      .token = "t",
      .holder = "entry-1",
      .state = ClaimState::kAnswered,
      .answer = RecordedAnswer{12, {0, 100}, {{17, 5.0, "tea"}}}};
  const Result<ClaimRecord> read = ParseClaim(SerializeClaim(record));
  cr_assert(read.ok());
  cr_assert(read->token == "t");
  cr_assert(read->state == ClaimState::kAnswered);
  cr_assert(read->answer.has_value());
  cr_assert(read->answer->index_version == 12);
  cr_assert(read->answer->range == (KeyRange{0, 100}));
  cr_assert(read->answer->hits.at(0).text == "tea");
  for (const char* text : {"", "[]", "{}", R"({"token":"t","holder":"h"})"}) {
    cr_assert(!ParseClaim(text).ok());
  }
}

Test(ClaimMachine, RepeatGetsTheRecordedAnswer) {
  ClaimMachine machine = MakeMachine();
  machine.Start(kRequestWallTime);
  machine.OnWrite({ClaimWriteResult::Kind::kConflict, 7}, kRequestWallTime);
  const ClaimRecord record{.token = "other",
                           .holder = "entry-2",
                           .state = ClaimState::kAnswered,
                           .answer = RecordedAnswer{12, {0, 100}, {}}};
  const auto actions = machine.OnRead(
      {ClaimReadResult::Kind::kFound, 7, record}, kRequestWallTime);
  const ReplyToCaller* reply = FindReply(actions);
  cr_assert(reply != nullptr);
  cr_assert(reply->outcome == Outcome::kAnswered);
  cr_assert(reply->answer->index_version == 12);
  cr_assert(!machine.sent());
}

Test(ClaimMachine, RejectsAsNotRunWhileThePlatformIsUnavailable) {
  ClaimMachine machine = MakeMachine();
  machine.Start(kRequestWallTime);
  const auto actions =
      machine.OnWrite({ClaimWriteResult::Kind::kNotSent, 0}, kRequestWallTime);
  const ReplyToCaller* reply = FindReply(actions);
  cr_assert(reply != nullptr);
  cr_assert(reply->outcome == Outcome::kNotRun);
  cr_assert(reply->refusal == Refusal::kPlatformDown);
  cr_assert(reply->retry_after.count() > 0);
  cr_assert(machine.finished());
}

Test(ClaimMachine, ExpiredRequestIsUnknownAndFutureRequestNotRun) {
  ClaimMachine expired = MakeMachine();
  const auto expired_actions =
      expired.Start(kRequestWallTime + kLimits.retention);
  cr_assert(FindReply(expired_actions)->outcome == Outcome::kUnknown);
  ClaimMachine future = MakeMachine();
  const auto future_actions =
      future.Start(kRequestWallTime - 2 * kLimits.clock_skew);
  cr_assert(FindReply(future_actions)->outcome == Outcome::kNotRun);
}

Test(ClaimSweep, DeletesOnlyClaimsExpiredOnAllClocks) {
  const auto id = [](std::chrono::milliseconds age) {
    return ClaimName("desk",
                     std::to_string((kRequestTime - age).count()) + "-a");
  };
  const auto limit = kLimits.retention + kLimits.clock_skew;
  const std::vector<ListedClaim> page = {
      {id(limit + std::chrono::milliseconds(1)), 1},
      {id(limit), 2},
      {"no-claim", 3}};
  const ClaimSweepStep step =
      PlanClaimSweep(page, 3, kLimits, kRequestWallTime);
  cr_assert(step.expired.size() == 1);
  cr_assert(step.expired[0].version == 1);
  cr_assert(step.next_after == "no-claim");
  cr_assert(
      PlanClaimSweep(page, 4, kLimits, kRequestWallTime).next_after.empty());
}

Test(ClaimSweep, LowestLiveInstanceSweeps) {
  std::vector<Instance> instances(2);
  instances[0].id = "a";
  instances[0].state = InstanceState::kGone;
  instances[1].id = "b";
  cr_assert(ShouldSweepClaims("b", instances));
  cr_assert(!ShouldSweepClaims("c", instances));
}

}  // namespace
}  // namespace greengage
