// JSON serialization of claim objects.
#ifndef GREENGAGE_PROTOCOL_CLAIM_CODEC_H_
#define GREENGAGE_PROTOCOL_CLAIM_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "greengage/coordination/claim.h"
#include "greengage/state/result.h"

namespace greengage {

// Size limit of a claim with its answer. A larger claim is written without the
// answer, so that a repeated request can only learn that the first one ran.
inline constexpr size_t kMaxClaimBytes = size_t{256} * 1024;

// Format: {"token", "holder", "state", "answer": {"index_version", "range",
// "hits"}}.
std::string SerializeClaim(const ClaimRecord& record);

// Fails with kMalformedMessage.
Result<ClaimRecord> ParseClaim(std::string_view text);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_CLAIM_CODEC_H_
