// Typed messages of one query, from the caller to the searchers and back.
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

// One record found. `key` is unique within a service's index version.
struct Hit {
  uint64_t key = 0;
  double score = 0;
  std::string text;
};

// What a caller asks for.
struct Query {
  std::string request_id;
  std::string service;
  std::string text;
  Rank rank = Rank::kUrgent;
  bool idempotent = true;
  std::optional<uint64_t>
      key;              // Names the one shard of a non-idempotent request.
  uint32_t limit = 20;  // Most hits wanted.
  TimePoint deadline;
};

// The part of a query for one shard, sent to one searcher. All that makes up
// the snapshot is pinned here, and echoed by the answer.
struct SubRequest {
  uint64_t id = 0;  // Unique among the sub-requests of one instance.
  std::string request_id;
  std::string service;
  std::string shard;
  Endpoint searcher;
  KeyRange range;
  uint64_t index_version = 0;  // 0: the newest that the searcher holds.
  uint64_t configuration_version = 0;
  Rank rank = Rank::kUrgent;
  bool idempotent = true;
  uint32_t limit = 20;
  std::string text;
  std::optional<uint64_t> key;  // Of a non-idempotent request.
  TimePoint deadline;
};

// What a searcher says of itself with each answer.
struct SearcherLoad {
  uint32_t running = 0;
  uint32_t queued = 0;
  uint64_t oldest_version = 0;
  uint64_t newest_version = 0;
  bool draining = false;
};

// What became of one sub-request.
struct SubAnswer {
  uint64_t id = 0;
  std::string request_id;
  Endpoint searcher;
  Outcome outcome = Outcome::kUnknown;
  Refusal refusal = Refusal::kNone;
  KeyRange range;  // The keys that were really searched.
  uint64_t index_version = 0;
  std::vector<Hit> hits;
  std::optional<SearcherLoad> load;
  Duration retry_after{};   // With kNotRun: when to come back.
  Duration service_time{};  // From sending to the whole answer.
  Duration queue_time{};    // Waiting at the owner before sending.
};

// One key range without an answer, and why.
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
  std::vector<KeyRange> covered;  // Ordered, adjacent ranges joined.
  std::vector<MissingRange> missing;
  Duration retry_after{};

  bool whole() const {
    return outcome == Outcome::kAnswered && missing.empty();
  }
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_QUERY_H_
