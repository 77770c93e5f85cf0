// Claims are platform objects that ensure that a non-idempotent request is
// executed at most once across all instances.
#ifndef GREENGAGE_COORDINATION_CLAIM_H_
#define GREENGAGE_COORDINATION_CLAIM_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "greengage/state/key_range.h"
#include "greengage/state/query.h"
#include "greengage/state/result.h"
#include "greengage/state/time.h"

namespace greengage {

// Platform object kind of claims.
inline constexpr std::string_view kClaimKind = "claims";

enum class ClaimState : uint8_t {
  kClaimed = 0,   // The holder may still send, has sent, or has failed.
  kAnswered = 1,  // The request was executed and its answer is recorded.
  kNotRun = 2,    // The request was not executed and never will be.
};

// Returns the snake_case name used in JSON.
std::string_view ClaimStateName(ClaimState state);

// The part of an answer that is stored in the claim, so that a repeated request
// gets the same answer.
struct RecordedAnswer {
  uint64_t index_version = 0;
  KeyRange range;
  std::vector<Hit> hits;
};

// The value of a claim object. `token` is unique to one attempt of one
// instance; the attempt whose token is stored holds the claim. `answer` is
// empty if the answer was too large to store.
struct ClaimRecord {
  std::string token;
  std::string holder;
  ClaimState state = ClaimState::kClaimed;
  std::optional<RecordedAnswer> answer;
};

// Bounds on the time during which a repeated request is recognized.
struct ClaimLimits {
  // Claims are kept until their request id has this age.
  std::chrono::milliseconds retention{3600000};
  // Maximum difference between an instance's clock and the true time. Request
  // ids further in the future than this are rejected.
  std::chrono::milliseconds clock_skew{30000};
};

// Parses the time of a request id of the form MILLISECONDS-SUFFIX, in
// milliseconds since the Unix epoch. Fails with kInvalidArgument.
Result<WallTime> RequestIdTime(std::string_view request_id);

enum class RequestAge : uint8_t { kAccepted, kExpired, kInFuture };

// Checks the age of a request id at `now`. For kAccepted, the claim of an
// earlier attempt still exists, because claims are deleted only after this
// function returns kExpired on the clock of every instance; see
// ClaimMayBeDeleted().
RequestAge ClassifyRequestAge(WallTime request_time,
                              const ClaimLimits& limits,
                              WallTime now);

// Returns true if no instance can still accept the request id, whatever the
// skew of its clock within the limit.
bool ClaimMayBeDeleted(WallTime request_time,
                       const ClaimLimits& limits,
                       WallTime now);

// Returns the name of the claim object, SERVICE.REQUEST-ID.
std::string ClaimName(std::string_view service, std::string_view request_id);

// Parses the time of the request id at the end of a claim's name. Fails with
// kInvalidArgument.
Result<WallTime> ClaimNameTime(std::string_view claim_name);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_CLAIM_H_
