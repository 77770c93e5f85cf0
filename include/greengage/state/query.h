// The messages of one query between caller, instance and searchers.
#ifndef GREENGAGE_STATE_QUERY_H_
#define GREENGAGE_STATE_QUERY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "greengage/state/endpoint.h"
#include "greengage/state/key_range.h"
#include "greengage/state/outcome.h"
#include "greengage/state/rank.h"
#include "greengage/state/time.h"

namespace greengage {

// A matching record. `key` is unique within an index version of a service.
struct Hit {
  uint64_t key = 0;
  double score = 0;
  std::string text;
};

// The request of a caller.
struct Query {
  std::string request_id;
  std::string service;
  std::string text;
  Rank rank = Rank::kUrgent;
  bool idempotent = true;
  std::optional<uint64_t>
      key;              // Selects the one shard of a non-idempotent request.
  uint32_t limit = 20;  // Maximum number of hits.
  TimePoint deadline;
};

// The part of a query for one shard, sent to one searcher. It pins everything
// that defines the snapshot; the answer echoes these values.
struct SubRequest {
  uint64_t id = 0;  // Unique among the sub-requests of one instance.
  std::string request_id;
  std::string service;
  std::string shard;
  Endpoint searcher;
  KeyRange range;
  uint64_t index_version = 0;  // 0 selects the newest that the searcher holds.
  uint64_t configuration_version = 0;
  Rank rank = Rank::kUrgent;
  bool idempotent = true;
  uint32_t limit = 20;
  std::string text;
  std::optional<uint64_t> key;  // Set for a non-idempotent request.
  TimePoint deadline;
};

// The state that a searcher reports with each answer.
struct SearcherLoad {
  uint32_t running = 0;
  uint32_t queued = 0;
  uint64_t oldest_version = 0;
  uint64_t newest_version = 0;
  bool draining = false;
};

// The outcome of one sub-request.
struct SubAnswer {
  uint64_t id = 0;
  std::string request_id;
  Endpoint searcher;
  Outcome outcome = Outcome::kUnknown;
  Refusal refusal = Refusal::kNone;
  KeyRange range;  // The keys that were actually searched.
  uint64_t index_version = 0;
  std::vector<Hit> hits;
  std::optional<SearcherLoad> load;
  Duration retry_after{};   // Retry delay, with kNotRun.
  Duration service_time{};  // From sending to the complete answer.
  Duration queue_time{};    // In the owner's queue before sending.
};

// A key range without an answer and the reason.
struct MissingRange {
  std::string shard;
  KeyRange range;
  Refusal refusal = Refusal::kNone;
};

// The answer to a caller.
struct Answer {
  std::string request_id;
  std::string service;
  Rank rank = Rank::kUrgent;
  Outcome outcome = Outcome::kUnknown;
  Refusal refusal = Refusal::kNone;
  uint64_t index_version = 0;
  uint64_t configuration_version = 0;
  std::vector<Hit> hits;
  std::vector<KeyRange> covered;  // Ordered; adjacent ranges are merged.
  std::vector<MissingRange> missing;
  Duration retry_after{};

  bool whole() const {
    return outcome == Outcome::kAnswered && missing.empty();
  }
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_QUERY_H_
