// State machine of one attempt at a non-idempotent request. Does no I/O.
#ifndef GREENGAGE_COORDINATION_CLAIM_MACHINE_H_
#define GREENGAGE_COORDINATION_CLAIM_MACHINE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "greengage/coordination/claim.h"
#include "greengage/state/outcome.h"
#include "greengage/state/query.h"
#include "greengage/state/time.h"

namespace greengage {

// Result of a conditional write of the claim object.
struct ClaimWriteResult {
  enum class Kind : uint8_t {
    kWritten,    // The write took effect; `version` is the new version.
    kConflict,   // The stored version differs; the write had no effect.
    kNotSent,    // The write was not sent, so it had no effect.
    kAmbiguous,  // The write may have taken effect, or may still do so.
  };
  Kind kind = Kind::kAmbiguous;
  uint64_t version = 0;
};

// Result of a read of the claim object.
struct ClaimReadResult {
  enum class Kind : uint8_t { kFound, kAbsent, kFailed };
  Kind kind = Kind::kFailed;
  uint64_t version = 0;
  ClaimRecord record;
};

// After `delay`, writes `record` if the object's version is `expected`; 0 means
// that the object must not exist. Pass the result to OnWrite().
struct WriteClaim {
  uint64_t expected = 0;
  ClaimRecord record;
  std::chrono::milliseconds delay{0};
};

// Reads the object after `delay`. Pass the result to OnRead().
struct ReadClaim {
  std::chrono::milliseconds delay{0};
};

// Sends the request to the searcher. Emitted at most once. Pass the result to
// OnSubAnswer().
struct SendRequest {};

// Replies to the caller. Emitted exactly once. For kAnswered, `answer` is the
// searcher's answer or the one recorded in the claim.
struct ReplyToCaller {
  Outcome outcome = Outcome::kUnknown;
  Refusal refusal = Refusal::kNone;
  std::optional<RecordedAnswer> answer;
  std::chrono::milliseconds retry_after{0};
};

using ClaimAction =
    std::variant<WriteClaim, ReadClaim, SendRequest, ReplyToCaller>;

// One attempt by one instance. Each event handler returns the actions to carry
// out; at most one platform call is in flight at a time. Copyable, so that a
// model checker can branch. Not thread-safe.
//
// A claim held by another attempt is never taken over, whatever its age,
// because the holder may be paused and still send the request when it resumes.
// The age of the request id is checked again after the claim was acquired,
// because the claim of an earlier attempt may have been deleted while this
// process was paused.
class ClaimMachine {
 public:
  // `request_time` is the time of the request id, see RequestIdTime(). `token`
  // must be unique among all attempts of all instances.
  ClaimMachine(WallTime request_time,
               ClaimLimits limits,
               std::string token,
               std::string holder);

  std::vector<ClaimAction> Start(WallTime now);
  std::vector<ClaimAction> OnWrite(const ClaimWriteResult& result,
                                   WallTime now);
  std::vector<ClaimAction> OnRead(const ClaimReadResult& result, WallTime now);
  std::vector<ClaimAction> OnSubAnswer(const SubAnswer& answer, WallTime now);

  // Call when the caller's deadline has passed. Later actions may still finish
  // or release the claim.
  std::vector<ClaimAction> OnDeadline(WallTime now);

  // Returns true if no platform call or searcher request is in flight any more.
  bool finished() const { return phase_ == Phase::kFinished; }

  // Returns true if SendRequest was emitted.
  bool sent() const { return sent_; }

  // Returns the complete state in one line, for logs and model checkers.
  std::string Describe() const;

 private:
  enum class Phase : uint8_t {
    kStarting,
    kAcquiring,         // A write of this attempt's token is in flight.
    kReadingClaim,      // A read that determines the holder is in flight.
    kSending,           // The request was sent to the searcher.
    kRecordingOutcome,  // The final state is being written.
    kReleasing,  // Checks whether an ambiguous write left a claim behind.
    kFinished,
  };
  using Actions = std::vector<ClaimAction>;

  Actions Acquire(uint64_t expected);
  Actions ReadCurrentClaim(std::chrono::milliseconds delay);
  Actions OnClaimFound(const ClaimReadResult& result, WallTime now);
  Actions OnClaimAcquired(uint64_t version, WallTime now);
  Actions OnOutcomeRecorded(const ClaimWriteResult& result);
  Actions OnReleaseRead(const ClaimReadResult& result);
  Actions RecordOutcome(ClaimState state, std::optional<RecordedAnswer> answer);
  Actions RejectPlatformUnavailable();
  Actions Reject(Outcome outcome, Refusal refusal);
  void ReplyOnce(ReplyToCaller reply, Actions& actions);
  ClaimRecord MakeRecord(ClaimState state) const;

  WallTime request_time_;
  ClaimLimits limits_;
  std::string token_;
  std::string holder_;
  Phase phase_ = Phase::kStarting;
  uint64_t claim_version_ = 0;
  uint32_t platform_calls_left_;
  bool sent_ = false;
  bool replied_ = false;
  bool may_hold_claim_ = false;
  std::optional<ReplyToCaller> pending_reply_;
  ClaimRecord final_record_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_CLAIM_MACHINE_H_
