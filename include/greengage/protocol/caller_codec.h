// Parses callers' JSON queries and serializes the answers.
#ifndef GREENGAGE_PROTOCOL_CALLER_CODEC_H_
#define GREENGAGE_PROTOCOL_CALLER_CODEC_H_

#include <functional>
#include <string>
#include <string_view>

#include "greengage/state/configuration.h"
#include "greengage/state/failure.h"
#include "greengage/state/query.h"
#include "greengage/state/result.h"
#include "greengage/state/time.h"

namespace greengage {

inline constexpr size_t kMaxRequestIdBytes = 128;
inline constexpr size_t kMaxQueryTextBytes = 4096;
inline constexpr uint32_t kMaxHits = 1000;
inline constexpr std::chrono::milliseconds kMaxDeadline{60000};

// Parses a query and validates it against `configuration`. An idempotent query
// without a request id gets one from `make_request_id`. Fails with
// kInvalidSyntax, kMissingKey, kInvalidArgument, kOutOfRange or kNotFound
// (unknown service); the subject is the JSON member.
Result<Query> ParseQuery(std::string_view body,
                         const Configuration& configuration,
                         TimePoint now,
                         const std::function<std::string()>& make_request_id);

// `configuration` supplies the names of ranks.
std::string SerializeAnswer(const Answer& answer,
                            const Configuration& configuration);

// Format: {"error": {"kind", "subject", "detail"}}.
std::string SerializeFailure(const Failure& failure);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_CALLER_CODEC_H_
