// Claims: objects in the platform that make a non-idempotent request run at
// most once in the whole system.
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

// Kind of the claim objects in the platform.
inline constexpr std::string_view kClaimKind = "claims";

enum class ClaimState : uint8_t {
  kClaimed = 0,   // The holder may send, has sent, or has failed.
  kAnswered = 1,  // It ran, and the answer is recorded.
  kNotRun = 2,    // The holder has proved that it did not run and never will.
};

// Name in snake_case, as in JSON.
std::string_view ClaimStateName(ClaimState state);

// What a recorded answer keeps, so that a repeat gets the same one.
struct RecordedAnswer {
  uint64_t index_version = 0;
  KeyRange range;
  std::vector<Hit> hits;
};

// The value of a claim object. `token` is unique to one attempt of one
// instance; whoever wrote the token holds the claim. `answer` is empty for an
// answer that was too large to keep.
struct ClaimRecord {
  std::string token;
  std::string holder;
  ClaimState state = ClaimState::kClaimed;
  std::optional<RecordedAnswer> answer;
};

// How long repeats of a request are told from new ones.
struct ClaimLimits {
  // Age of a request id up to which its claim is kept.
  std::chrono::milliseconds retention{3600000};
  // Largest difference of any instance's clock from the true time, and the
  // furthest that a request id may lie in the future.
  std::chrono::milliseconds clock_skew{30000};
};

// Time in a request id of the form MILLISECONDS-SUFFIX. Fails with
// kInvalidArgument.
Result<WallTime> RequestIdTime(std::string_view request_id);

enum class RequestAge : uint8_t { kAccepted, kExpired, kInFuture };

// Whether a request id can still be told from a repeat at `now`. Claims are
// deleted only after every instance answers kExpired, see ClaimMayBeDeleted().
RequestAge ClassifyRequestAge(WallTime request_time,
                              const ClaimLimits& limits,
                              WallTime now);

// Whether no instance can still accept the request id, on any clock.
bool ClaimMayBeDeleted(WallTime request_time,
                       const ClaimLimits& limits,
                       WallTime now);

// Name of the claim object: SERVICE.REQUEST-ID.
std::string ClaimName(std::string_view service, std::string_view request_id);

// Time of the request id at the end of a claim's name. Fails with
// kInvalidArgument.
Result<WallTime> ClaimNameTime(std::string_view claim_name);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_CLAIM_H_
