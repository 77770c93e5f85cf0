// Outcomes of requests, as far as they can be proved.
#ifndef GREENGAGE_STATE_OUTCOME_H_
#define GREENGAGE_STATE_OUTCOME_H_

#include <cstdint>
#include <string_view>

namespace greengage {

// kNotRun requires proof: no byte of the request can have reached an upstream,
// or the upstream or peer has reported that it did not run the request. Every
// other request without an answer is kUnknown.
enum class Outcome : uint8_t { kAnswered = 0, kNotRun = 1, kUnknown = 2 };

// The reason why a request or sub-request has no answer.
enum class Refusal : uint8_t {
  kNone = 0,
  kOverloaded,       // A queue or limit is full.
  kDeadline,         // The deadline passed or can no longer be met.
  kNoReplica,        // No replica of the shard can be used.
  kVersionNotHeld,   // The searcher does not hold the requested index version.
  kRangeNotHeld,     // The searcher does not hold the whole key range.
  kShed,             // The searcher rejected the work because of load.
  kDraining,         // The searcher or instance is leaving.
  kConnectionLost,   // The connection ended or stalled after sending.
  kMalformedAnswer,  // The answer belongs to another request or violates
                     // the protocol.
  kCancelled,        // Another answer made this one redundant.
  kPlatformDown,     // A claim is required and the platform is unavailable.
  kAlreadyClaimed,   // The same request id has been claimed before.
  kRequestExpired,   // The request id is too old to detect a duplicate.
  kNotReady,         // The instance has no configuration yet.
};

// Return names in snake_case, as used in JSON, logs and metrics.
std::string_view OutcomeName(Outcome outcome);
std::string_view RefusalName(Refusal refusal);

}  // namespace greengage

#endif  // GREENGAGE_STATE_OUTCOME_H_
