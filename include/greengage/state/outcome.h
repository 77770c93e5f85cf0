// What became of a request, as far as can be proved.
#ifndef GREENGAGE_STATE_OUTCOME_H_
#define GREENGAGE_STATE_OUTCOME_H_

#include <cstdint>
#include <string_view>

namespace greengage {

// kNotRun is used only with proof: no byte of the request can have reached an
// upstream, or the upstream or peer has said that it did not run the request.
// Everything else without an answer is kUnknown.
enum class Outcome : uint8_t { kAnswered = 0, kNotRun = 1, kUnknown = 2 };

// Why a request or sub-request has no answer.
enum class Refusal : uint8_t {
  kNone = 0,
  kOverloaded,       // A queue or limit is full.
  kDeadline,         // The deadline passed, or cannot be met any more.
  kNoReplica,        // No replica of the shard can be used.
  kVersionNotHeld,   // The searcher does not hold the index version asked for.
  kRangeNotHeld,     // The searcher does not hold the whole key range.
  kShed,             // The searcher turned the work away.
  kDraining,         // The searcher or instance is leaving.
  kConnectionLost,   // The connection ended or went silent after sending.
  kMalformedAnswer,  // The answer did not belong to the request or protocol.
  kCancelled,        // Another answer made this one unnecessary.
  kPlatformDown,     // A claim is needed and the platform cannot give one.
  kAlreadyClaimed,   // The same request id has been claimed before.
  kRequestExpired,   // The request id is too old to be told from a repeat.
  kNotReady,         // The instance has no configuration yet.
};

// Names in snake_case, as used in JSON, logs and metrics.
std::string_view OutcomeName(Outcome outcome);
std::string_view RefusalName(Refusal refusal);

}  // namespace greengage

#endif  // GREENGAGE_STATE_OUTCOME_H_
