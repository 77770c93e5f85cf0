// The instances' protobuf: batches of sub-requests and their answers.
#ifndef GREENGAGE_PROTOCOL_PEER_CODEC_H_
#define GREENGAGE_PROTOCOL_PEER_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "greengage/state/hybrid_clock.h"
#include "greengage/state/query.h"
#include "greengage/state/result.h"
#include "greengage/state/time.h"

namespace greengage {

// Sub-requests of one query for searchers that one instance owns.
struct SubBatch {
  HybridTime stamp;
  std::vector<SubRequest> requests;
};

struct StampedSubAnswer {
  HybridTime stamp;
  SubAnswer answer;
};

// Writes `batch`, which must not be empty and must be of one query.
std::string SerializeSubBatch(const SubBatch& batch, TimePoint now);

// Fails with kMalformedMessage.
Result<SubBatch> ParseSubBatch(std::string_view message, TimePoint now);

std::string SerializeSubAnswer(const SubAnswer& answer, HybridTime stamp);

// Fails with kMalformedMessage.
Result<StampedSubAnswer> ParseSubAnswer(std::string_view message);

// Searchers that are leaving, as told to their owners.
std::string SerializeLeavingSearchers(const std::vector<Endpoint>& searchers,
                                      HybridTime stamp);

// Fails with kMalformedMessage.
Result<std::vector<Endpoint>> ParseLeavingSearchers(std::string_view message);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_PEER_CODEC_H_
