#include "greengage/coordination/claim_machine.h"

#include <utility>

namespace greengage {

namespace {

// Platform calls that an attempt may make to win its claim, and to end it.
constexpr uint32_t kCallsToAcquire = 6;
constexpr uint32_t kCallsToEnd = 6;

constexpr std::chrono::milliseconds kReadRetryDelay{20};
constexpr std::chrono::milliseconds kSettleRetryDelay{200};
constexpr std::chrono::milliseconds kReleaseDelay{1000};
constexpr std::chrono::milliseconds kPlatformRetryAfter{2000};
constexpr std::chrono::milliseconds kClaimedRetryAfter{500};
constexpr std::chrono::milliseconds kDeadlineRetryAfter{100};

std::chrono::milliseconds RetryAfter(Refusal refusal) {
  switch (refusal) {
    case Refusal::kPlatformDown:
      return kPlatformRetryAfter;
    case Refusal::kAlreadyClaimed:
      return kClaimedRetryAfter;
    case Refusal::kDeadline:
      return kDeadlineRetryAfter;
    default:
      return std::chrono::milliseconds(0);
  }
}

}  // namespace

ClaimMachine::ClaimMachine(WallTime request_time,
                           ClaimLimits limits,
                           std::string token,
                           std::string holder)
    : request_time_(request_time),
      limits_(limits),
      token_(std::move(token)),
      holder_(std::move(holder)),
      calls_left_(kCallsToAcquire) {}

// A request id in the future cannot have run anywhere yet on a clock that is
// right. One that has expired may have run before, which nobody can tell.
std::vector<ClaimAction> ClaimMachine::Start(WallTime now) {
  switch (ClassifyRequestAge(request_time_, limits_, now)) {
    case RequestAge::kInFuture:
      return Refuse(Outcome::kNotRun, Refusal::kRequestExpired);
    case RequestAge::kExpired:
      return Refuse(Outcome::kUnknown, Refusal::kRequestExpired);
    case RequestAge::kAccepted:
      break;
  }
  return Acquire(0);
}

std::vector<ClaimAction> ClaimMachine::OnWrite(const ClaimWriteResult& result,
                                               WallTime now) {
  if (phase_ == Phase::kSettling) {
    return OnSettled(result);
  }
  if (phase_ != Phase::kAcquiring) {
    return {};
  }
  switch (result.kind) {
    case ClaimWriteResult::Kind::kWritten:
      return OnClaimWon(result.version, now);
    case ClaimWriteResult::Kind::kNotSent:
      return RefuseForPlatform();
    case ClaimWriteResult::Kind::kAmbiguous:
      may_hold_ = true;
      return Inspect(std::chrono::milliseconds(0));
    case ClaimWriteResult::Kind::kConflict:
      return Inspect(std::chrono::milliseconds(0));
  }
  return {};
}

std::vector<ClaimAction> ClaimMachine::OnRead(const ClaimReadResult& result,
                                              WallTime now) {
  if (phase_ == Phase::kReleasing) {
    return OnReleaseRead(result);
  }
  if (phase_ != Phase::kInspecting) {
    return {};
  }
  switch (result.kind) {
    case ClaimReadResult::Kind::kFound:
      return OnClaimFound(result, now);
    case ClaimReadResult::Kind::kAbsent:
      return Acquire(0);
    case ClaimReadResult::Kind::kFailed:
      return Inspect(kReadRetryDelay);
  }
  return {};
}

std::vector<ClaimAction> ClaimMachine::OnSubAnswer(const SubAnswer& answer,
                                                   WallTime now) {
  (void)now;
  if (phase_ != Phase::kSending) {
    return {};
  }
  Actions actions;
  ReplyToCaller verdict{.outcome = answer.outcome, .refusal = answer.refusal};
  verdict.retry_after = ToMilliseconds(answer.retry_after);
  switch (answer.outcome) {
    case Outcome::kAnswered: {
      const RecordedAnswer recorded{answer.index_version, answer.range,
                                    answer.hits};
      verdict.answer = recorded;
      Give(std::move(verdict), actions);
      for (ClaimAction& action : Settle(ClaimState::kAnswered, recorded)) {
        actions.push_back(std::move(action));
      }
      return actions;
    }
    case Outcome::kNotRun:
      // A repeat must find the claim free, so the caller hears of it after.
      pending_verdict_ = std::move(verdict);
      return Settle(ClaimState::kNotRun, std::nullopt);
    case Outcome::kUnknown:
      phase_ = Phase::kFinished;
      Give(std::move(verdict), actions);
      return actions;
  }
  return actions;
}

std::vector<ClaimAction> ClaimMachine::OnDeadline(WallTime now) {
  (void)now;
  Actions actions;
  if (pending_verdict_) {
    Give(*std::exchange(pending_verdict_, std::nullopt), actions);
    return actions;
  }
  ReplyToCaller verdict;
  verdict.outcome = sent_ ? Outcome::kUnknown : Outcome::kNotRun;
  verdict.refusal = Refusal::kDeadline;
  verdict.retry_after = RetryAfter(verdict.refusal);
  Give(std::move(verdict), actions);
  return actions;
}

std::vector<ClaimAction> ClaimMachine::Acquire(uint64_t expected) {
  if (verdict_given_ || calls_left_ == 0) {
    return RefuseForPlatform();
  }
  --calls_left_;
  phase_ = Phase::kAcquiring;
  return {
      WriteClaim{.expected = expected, .record = Record(ClaimState::kClaimed)}};
}

std::vector<ClaimAction> ClaimMachine::Inspect(
    std::chrono::milliseconds delay) {
  if (calls_left_ == 0) {
    return RefuseForPlatform();
  }
  --calls_left_;
  phase_ = Phase::kInspecting;
  return {ReadClaim{.delay = delay}};
}

std::vector<ClaimAction> ClaimMachine::OnClaimFound(
    const ClaimReadResult& result,
    WallTime now) {
  const ClaimRecord& record = result.record;
  if (record.token == token_ && record.state == ClaimState::kClaimed) {
    return OnClaimWon(result.version, now);
  }
  if (record.state == ClaimState::kNotRun) {
    return Acquire(result.version);
  }
  if (record.state == ClaimState::kAnswered && record.answer) {
    phase_ = Phase::kFinished;
    Actions actions;
    Give({.outcome = Outcome::kAnswered, .answer = record.answer}, actions);
    return actions;
  }
  return Refuse(Outcome::kUnknown, Refusal::kAlreadyClaimed);
}

std::vector<ClaimAction> ClaimMachine::OnClaimWon(uint64_t version,
                                                  WallTime now) {
  held_version_ = version;
  if (verdict_given_) {
    return Settle(ClaimState::kNotRun, std::nullopt);
  }
  if (ClassifyRequestAge(request_time_, limits_, now) !=
      RequestAge::kAccepted) {
    return Refuse(Outcome::kUnknown, Refusal::kRequestExpired);
  }
  phase_ = Phase::kSending;
  sent_ = true;
  return {SendRequest{}};
}

std::vector<ClaimAction> ClaimMachine::Settle(
    ClaimState state,
    std::optional<RecordedAnswer> answer) {
  phase_ = Phase::kSettling;
  calls_left_ = kCallsToEnd;
  final_record_ = Record(state);
  final_record_.answer = std::move(answer);
  return {WriteClaim{.expected = held_version_, .record = final_record_}};
}

// A conflict means that an earlier try took effect, or that the claim was
// deleted for its age; neither leaves anything to do.
std::vector<ClaimAction> ClaimMachine::OnSettled(
    const ClaimWriteResult& result) {
  Actions actions;
  if (pending_verdict_) {
    Give(*std::exchange(pending_verdict_, std::nullopt), actions);
  }
  const bool ended = result.kind == ClaimWriteResult::Kind::kWritten ||
                     result.kind == ClaimWriteResult::Kind::kConflict;
  if (ended || calls_left_ == 0) {
    phase_ = Phase::kFinished;
    return actions;
  }
  --calls_left_;
  actions.push_back(WriteClaim{.expected = held_version_,
                               .record = final_record_,
                               .delay = kSettleRetryDelay});
  return actions;
}

// A claim that nobody will use makes every repeat of the request "unknown", so
// an attempt that gave up looks whether its write took effect after all.
std::vector<ClaimAction> ClaimMachine::OnReleaseRead(
    const ClaimReadResult& result) {
  const bool own = result.kind == ClaimReadResult::Kind::kFound &&
                   result.record.token == token_ &&
                   result.record.state == ClaimState::kClaimed;
  if (own) {
    held_version_ = result.version;
    return Settle(ClaimState::kNotRun, std::nullopt);
  }
  const bool settled = result.kind == ClaimReadResult::Kind::kFound;
  if (settled || calls_left_ == 0) {
    phase_ = Phase::kFinished;
    return {};
  }
  --calls_left_;
  return {ReadClaim{.delay = kReleaseDelay}};
}

std::vector<ClaimAction> ClaimMachine::RefuseForPlatform() {
  Actions actions = Refuse(Outcome::kNotRun, Refusal::kPlatformDown);
  if (may_hold_) {
    phase_ = Phase::kReleasing;
    calls_left_ = kCallsToEnd;
    actions.push_back(ReadClaim{.delay = kReleaseDelay});
  }
  return actions;
}

std::vector<ClaimAction> ClaimMachine::Refuse(Outcome outcome,
                                              Refusal refusal) {
  phase_ = Phase::kFinished;
  Actions actions;
  Give({.outcome = outcome,
        .refusal = refusal,
        .answer = std::nullopt,
        .retry_after = RetryAfter(refusal)},
       actions);
  return actions;
}

void ClaimMachine::Give(ReplyToCaller verdict, Actions& actions) {
  if (!std::exchange(verdict_given_, true)) {
    actions.emplace_back(std::move(verdict));
  }
}

ClaimRecord ClaimMachine::Record(ClaimState state) const {
  return {.token = token_, .holder = holder_, .state = state};
}

std::string ClaimMachine::Describe() const {
  std::string text = token_;
  text += " phase " + std::to_string(static_cast<int>(phase_));
  text += " held " + std::to_string(held_version_);
  text += " calls " + std::to_string(calls_left_);
  text += sent_ ? " sent" : "";
  text += verdict_given_ ? " verdict" : "";
  text += may_hold_ ? " may_hold" : "";
  text += pending_verdict_ ? " pending" : "";
  text += " final " + std::string(ClaimStateName(final_record_.state));
  return text;
}

}  // namespace greengage
