// Protobuf serialization of the messages between instances: batches of
// sub-requests, their answers and lists of leaving searchers.
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

// The sub-requests of one query whose searchers are owned by one instance.
struct SubBatch {
  HybridTime stamp;
  std::vector<SubRequest> requests;
};

struct StampedSubAnswer {
  HybridTime stamp;
  SubAnswer answer;
};

// `batch` must not be empty, and its sub-requests must belong to one query.
std::string SerializeSubBatch(const SubBatch& batch, TimePoint now);

// Fails with kMalformedMessage.
Result<SubBatch> ParseSubBatch(std::string_view message, TimePoint now);

std::string SerializeSubAnswer(const SubAnswer& answer, HybridTime stamp);

// Fails with kMalformedMessage.
Result<StampedSubAnswer> ParseSubAnswer(std::string_view message);

// Serializes a list of leaving searchers for the instances that own them.
std::string SerializeLeavingSearchers(const std::vector<Endpoint>& searchers,
                                      HybridTime stamp);

// Fails with kMalformedMessage.
Result<std::vector<Endpoint>> ParseLeavingSearchers(std::string_view message);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_PEER_CODEC_H_
