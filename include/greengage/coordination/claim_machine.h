// The decisions of one attempt at a non-idempotent request, without I/O.
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

// What became of a conditional write of the claim object.
struct ClaimWriteResult {
  enum class Kind : uint8_t {
    kWritten,    // It took effect; `version` is the new version.
    kConflict,   // Another version is present; it took no effect.
    kNotSent,    // It never left the instance, so it took no effect.
    kAmbiguous,  // It may have taken effect, or still may.
  };
  Kind kind = Kind::kAmbiguous;
  uint64_t version = 0;
};

// What a read of the claim object gave.
struct ClaimReadResult {
  enum class Kind : uint8_t { kFound, kAbsent, kFailed };
  Kind kind = Kind::kFailed;
  uint64_t version = 0;
  ClaimRecord record;
};

// Write `record` if the object's version is `expected` (0: it does not exist),
// after waiting for `delay`; the result goes to OnWrite().
struct WriteClaim {
  uint64_t expected = 0;
  ClaimRecord record;
  std::chrono::milliseconds delay{0};
};

// Read the object after waiting for `delay`; the result goes to OnRead().
struct ReadClaim {
  std::chrono::milliseconds delay{0};
};

// Send the request to the searcher, which happens at most once; what became of
// it goes to OnSubAnswer().
struct SendRequest {};

// Answer the caller, which happens exactly once. With kAnswered, `answer` is
// the searcher's or the recorded one.
struct ReplyToCaller {
  Outcome outcome = Outcome::kUnknown;
  Refusal refusal = Refusal::kNone;
  std::optional<RecordedAnswer> answer;
  std::chrono::milliseconds retry_after{0};
};

using ClaimAction =
    std::variant<WriteClaim, ReadClaim, SendRequest, ReplyToCaller>;

// One attempt at one instance. Events go in, actions come out; at most one
// platform call is under way at a time. A value type, so that a checker can
// copy it. Not thread-safe.
//
// A claim that another attempt holds is never taken over, however old it is: a
// paused holder can only ever find that it is still the holder. The age of the
// request id is checked again after the claim was won, because the claim of
// an earlier attempt may have been deleted during a pause before.
class ClaimMachine {
 public:
  // `request_id` must have a time, see RequestIdTime(). `token` must be unique
  // among all attempts of all instances.
  ClaimMachine(WallTime request_time,
               ClaimLimits limits,
               std::string token,
               std::string holder);

  std::vector<ClaimAction> Start(WallTime now);
  std::vector<ClaimAction> OnWrite(const ClaimWriteResult& result,
                                   WallTime now);
  std::vector<ClaimAction> OnRead(const ClaimReadResult& result, WallTime now);
  std::vector<ClaimAction> OnSubAnswer(const SubAnswer& answer, WallTime now);

  // The caller's deadline has passed. The machine still ends its claim.
  std::vector<ClaimAction> OnDeadline(WallTime now);

  // No further action will come but from the events that are still awaited.
  bool finished() const { return phase_ == Phase::kFinished; }

  // Whether SendRequest was given out.
  bool sent() const { return sent_; }

  // The whole state in one line, for logs and checkers.
  std::string Describe() const;

 private:
  enum class Phase : uint8_t {
    kStarting,
    kAcquiring,   // A write of the own token is under way.
    kInspecting,  // A read tells who holds the claim.
    kSending,     // The searcher has the request.
    kSettling,    // The final state is being written.
    kReleasing,   // A claim that may be held unused is looked for.
    kFinished,
  };
  using Actions = std::vector<ClaimAction>;

  Actions Acquire(uint64_t expected);
  Actions Inspect(std::chrono::milliseconds delay);
  Actions OnClaimFound(const ClaimReadResult& result, WallTime now);
  Actions OnClaimWon(uint64_t version, WallTime now);
  Actions OnSettled(const ClaimWriteResult& result);
  Actions OnReleaseRead(const ClaimReadResult& result);
  Actions Settle(ClaimState state, std::optional<RecordedAnswer> answer);
  Actions RefuseForPlatform();
  Actions Refuse(Outcome outcome, Refusal refusal);
  void Give(ReplyToCaller verdict, Actions& actions);
  ClaimRecord Record(ClaimState state) const;

  WallTime request_time_;
  ClaimLimits limits_;
  std::string token_;
  std::string holder_;
  Phase phase_ = Phase::kStarting;
  uint64_t held_version_ = 0;
  uint32_t calls_left_;
  bool sent_ = false;
  bool verdict_given_ = false;
  bool may_hold_ = false;
  std::optional<ReplyToCaller> pending_verdict_;
  ClaimRecord final_record_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_CLAIM_MACHINE_H_
