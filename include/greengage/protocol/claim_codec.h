// The JSON of claim objects.
#ifndef GREENGAGE_PROTOCOL_CLAIM_CODEC_H_
#define GREENGAGE_PROTOCOL_CLAIM_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "greengage/coordination/claim.h"
#include "greengage/state/result.h"

namespace greengage {

// Largest claim that is written with its answer; a larger one is written
// without, so that a repeat learns only that the request ran.
inline constexpr size_t kMaxClaimBytes = size_t{256} * 1024;

// {"token", "holder", "state", "answer": {"index_version", "range", "hits"}}.
std::string SerializeClaim(const ClaimRecord& record);

// Fails with kMalformedMessage.
Result<ClaimRecord> ParseClaim(std::string_view text);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_CLAIM_CODEC_H_
