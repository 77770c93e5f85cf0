#include "greengage/coordination/claim_machine.h"

#include <utility>

namespace greengage {

namespace {

// Maximum number of platform calls to acquire the claim, and to record its
// outcome or release it.
constexpr uint32_t kMaxAcquireCalls = 6;
constexpr uint32_t kMaxFinalCalls = 6;

constexpr std::chrono::milliseconds kReadRetryDelay{20};
constexpr std::chrono::milliseconds kRecordRetryDelay{200};
constexpr std::chrono::milliseconds kReleasePollInterval{1000};
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
      platform_calls_left_(kMaxAcquireCalls) {}

// A request id beyond the permitted skew in the future is accepted by no
// instance with a correct clock, so the request has not run. An expired request
// may have run, since its claim may have been deleted.
std::vector<ClaimAction> ClaimMachine::Start(WallTime now) {
  switch (ClassifyRequestAge(request_time_, limits_, now)) {
    case RequestAge::kInFuture:
      return Reject(Outcome::kNotRun, Refusal::kRequestExpired);
    case RequestAge::kExpired:
      return Reject(Outcome::kUnknown, Refusal::kRequestExpired);
    case RequestAge::kAccepted:
      break;
  }
  return Acquire(0);
}

std::vector<ClaimAction> ClaimMachine::OnWrite(const ClaimWriteResult& result,
                                               WallTime now) {
  if (phase_ == Phase::kRecordingOutcome) {
    return OnOutcomeRecorded(result);
  }
  if (phase_ != Phase::kAcquiring) {
    return {};
  }
  switch (result.kind) {
    case ClaimWriteResult::Kind::kWritten:
      return OnClaimAcquired(result.version, now);
    case ClaimWriteResult::Kind::kNotSent:
      return RejectPlatformUnavailable();
    case ClaimWriteResult::Kind::kAmbiguous:
      may_hold_claim_ = true;
      return ReadCurrentClaim(std::chrono::milliseconds(0));
    case ClaimWriteResult::Kind::kConflict:
      return ReadCurrentClaim(std::chrono::milliseconds(0));
  }
  return {};
}

std::vector<ClaimAction> ClaimMachine::OnRead(const ClaimReadResult& result,
                                              WallTime now) {
  if (phase_ == Phase::kReleasing) {
    return OnReleaseRead(result);
  }
  if (phase_ != Phase::kReadingClaim) {
    return {};
  }
  switch (result.kind) {
    case ClaimReadResult::Kind::kFound:
      return OnClaimFound(result, now);
    case ClaimReadResult::Kind::kAbsent:
      return Acquire(0);
    case ClaimReadResult::Kind::kFailed:
      return ReadCurrentClaim(kReadRetryDelay);
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
  ReplyToCaller reply{.outcome = answer.outcome, .refusal = answer.refusal};
  reply.retry_after = ToMilliseconds(answer.retry_after);
  switch (answer.outcome) {
    case Outcome::kAnswered: {
      const RecordedAnswer recorded{answer.index_version, answer.range,
                                    answer.hits};
      reply.answer = recorded;
      ReplyOnce(std::move(reply), actions);
      for (ClaimAction& action :
           RecordOutcome(ClaimState::kAnswered, recorded)) {
        actions.push_back(std::move(action));
      }
      return actions;
    }
    case Outcome::kNotRun:
      // Reply only after the claim was released, so that a retry by the caller
      // can acquire it.
      pending_reply_ = std::move(reply);
      return RecordOutcome(ClaimState::kNotRun, std::nullopt);
    case Outcome::kUnknown:
      phase_ = Phase::kFinished;
      ReplyOnce(std::move(reply), actions);
      return actions;
  }
  return actions;
}

std::vector<ClaimAction> ClaimMachine::OnDeadline(WallTime now) {
  (void)now;
  Actions actions;
  if (pending_reply_) {
    ReplyOnce(*std::exchange(pending_reply_, std::nullopt), actions);
    return actions;
  }
  ReplyToCaller reply;
  reply.outcome = sent_ ? Outcome::kUnknown : Outcome::kNotRun;
  reply.refusal = Refusal::kDeadline;
  reply.retry_after = RetryAfter(reply.refusal);
  ReplyOnce(std::move(reply), actions);
  return actions;
}

std::vector<ClaimAction> ClaimMachine::Acquire(uint64_t expected) {
  if (replied_ || platform_calls_left_ == 0) {
    return RejectPlatformUnavailable();
  }
  --platform_calls_left_;
  phase_ = Phase::kAcquiring;
  return {WriteClaim{.expected = expected,
                     .record = MakeRecord(ClaimState::kClaimed)}};
}

std::vector<ClaimAction> ClaimMachine::ReadCurrentClaim(
    std::chrono::milliseconds delay) {
  if (platform_calls_left_ == 0) {
    return RejectPlatformUnavailable();
  }
  --platform_calls_left_;
  phase_ = Phase::kReadingClaim;
  return {ReadClaim{.delay = delay}};
}

std::vector<ClaimAction> ClaimMachine::OnClaimFound(
    const ClaimReadResult& result,
    WallTime now) {
  const ClaimRecord& record = result.record;
  if (record.token == token_ && record.state == ClaimState::kClaimed) {
    return OnClaimAcquired(result.version, now);
  }
  if (record.state == ClaimState::kNotRun) {
    return Acquire(result.version);
  }
  if (record.state == ClaimState::kAnswered && record.answer) {
    phase_ = Phase::kFinished;
    Actions actions;
    ReplyOnce({.outcome = Outcome::kAnswered, .answer = record.answer},
              actions);
    return actions;
  }
  return Reject(Outcome::kUnknown, Refusal::kAlreadyClaimed);
}

std::vector<ClaimAction> ClaimMachine::OnClaimAcquired(uint64_t version,
                                                       WallTime now) {
  claim_version_ = version;
  if (replied_) {
    return RecordOutcome(ClaimState::kNotRun, std::nullopt);
  }
  if (ClassifyRequestAge(request_time_, limits_, now) !=
      RequestAge::kAccepted) {
    return Reject(Outcome::kUnknown, Refusal::kRequestExpired);
  }
  phase_ = Phase::kSending;
  sent_ = true;
  return {SendRequest{}};
}

std::vector<ClaimAction> ClaimMachine::RecordOutcome(
    ClaimState state,
    std::optional<RecordedAnswer> answer) {
  phase_ = Phase::kRecordingOutcome;
  platform_calls_left_ = kMaxFinalCalls;
  final_record_ = MakeRecord(state);
  final_record_.answer = std::move(answer);
  return {WriteClaim{.expected = claim_version_, .record = final_record_}};
}

// A conflict means that an earlier write took effect, or that the claim expired
// and was deleted. In both cases no further write is needed.
std::vector<ClaimAction> ClaimMachine::OnOutcomeRecorded(
    const ClaimWriteResult& result) {
  Actions actions;
  if (pending_reply_) {
    ReplyOnce(*std::exchange(pending_reply_, std::nullopt), actions);
  }
  const bool recorded = result.kind == ClaimWriteResult::Kind::kWritten ||
                        result.kind == ClaimWriteResult::Kind::kConflict;
  if (recorded || platform_calls_left_ == 0) {
    phase_ = Phase::kFinished;
    return actions;
  }
  --platform_calls_left_;
  actions.push_back(WriteClaim{.expected = claim_version_,
                               .record = final_record_,
                               .delay = kRecordRetryDelay});
  return actions;
}

// A claim that is held but never used makes every repeated request end as
// kUnknown. An attempt that gave up therefore checks if its ambiguous write
// took effect and, if so, releases the claim.
std::vector<ClaimAction> ClaimMachine::OnReleaseRead(
    const ClaimReadResult& result) {
  const bool holds_claim = result.kind == ClaimReadResult::Kind::kFound &&
                           result.record.token == token_ &&
                           result.record.state == ClaimState::kClaimed;
  if (holds_claim) {
    claim_version_ = result.version;
    return RecordOutcome(ClaimState::kNotRun, std::nullopt);
  }
  const bool found = result.kind == ClaimReadResult::Kind::kFound;
  if (found || platform_calls_left_ == 0) {
    phase_ = Phase::kFinished;
    return {};
  }
  --platform_calls_left_;
  return {ReadClaim{.delay = kReleasePollInterval}};
}

std::vector<ClaimAction> ClaimMachine::RejectPlatformUnavailable() {
  Actions actions = Reject(Outcome::kNotRun, Refusal::kPlatformDown);
  if (may_hold_claim_) {
    phase_ = Phase::kReleasing;
    platform_calls_left_ = kMaxFinalCalls;
    actions.push_back(ReadClaim{.delay = kReleasePollInterval});
  }
  return actions;
}

std::vector<ClaimAction> ClaimMachine::Reject(Outcome outcome,
                                              Refusal refusal) {
  phase_ = Phase::kFinished;
  Actions actions;
  ReplyOnce({.outcome = outcome,
             .refusal = refusal,
             .answer = std::nullopt,
             .retry_after = RetryAfter(refusal)},
            actions);
  return actions;
}

void ClaimMachine::ReplyOnce(ReplyToCaller reply, Actions& actions) {
  if (!std::exchange(replied_, true)) {
    actions.emplace_back(std::move(reply));
  }
}

ClaimRecord ClaimMachine::MakeRecord(ClaimState state) const {
  return {.token = token_, .holder = holder_, .state = state};
}

std::string ClaimMachine::Describe() const {
  std::string text = token_;
  text += " phase " + std::to_string(static_cast<int>(phase_));
  text += " held " + std::to_string(claim_version_);
  text += " calls " + std::to_string(platform_calls_left_);
  text += sent_ ? " sent" : "";
  text += replied_ ? " replied" : "";
  text += may_hold_claim_ ? " may_hold" : "";
  text += pending_reply_ ? " pending" : "";
  text += " final " + std::string(ClaimStateName(final_record_.state));
  return text;
}

}  // namespace greengage
