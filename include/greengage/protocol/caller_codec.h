// The callers' JSON: queries in, answers out.
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

// Reads a query and checks it against the configuration in force. A request id
// is made by `make_request_id` where an idempotent query has none. Fails with
// kInvalidSyntax, kMissingKey, kInvalidArgument, kOutOfRange or kNotFound
// (no such service); the subject is the JSON member.
Result<Query> ParseQuery(std::string_view body,
                         const Configuration& configuration,
                         TimePoint now,
                         const std::function<std::string()>& make_request_id);

// Writes the answer; `configuration` gives the names of ranks.
std::string SerializeAnswer(const Answer& answer,
                            const Configuration& configuration);

// {"error": {"kind", "subject", "detail"}}.
std::string SerializeFailure(const Failure& failure);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_CALLER_CODEC_H_
