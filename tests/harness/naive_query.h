// The naive version of the tier: one thread, one searcher after the other, no
// check of what comes back.
#ifndef GREENGAGE_TESTS_HARNESS_NAIVE_QUERY_H_
#define GREENGAGE_TESTS_HARNESS_NAIVE_QUERY_H_

#include <boost/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "greengage/state/key_range.h"
#include "greengage/state/query.h"
#include "tests/harness/deployment.h"

namespace greengage {

// What a correct answer over `covered` at `index_version` holds, computed
// without any process.
std::vector<Hit> ExpectedHits(uint64_t index_version,
                              const std::vector<KeyRange>& covered,
                              const std::string& text,
                              size_t limit);

// What an answer of the tier holds.
std::vector<Hit> HitsOf(const JsonReply& reply);
std::vector<KeyRange> CoveredBy(const JsonReply& reply);
bool SameHits(const std::vector<Hit>& left, const std::vector<Hit>& right);

// Whether a reply with outcome "answered" holds exactly what its own statement
// of version and coverage promises.
bool IsTruthful(const JsonReply& reply, const std::string& text, size_t limit);

// Hits by index version that the naive way has put into one answer.
struct NaiveAnswer {
  std::vector<Hit> hits;
  std::set<uint64_t> index_versions;
  size_t answered = 0;  // Searchers that answered with status 200.
};

// Asks replica 0 of each shard for its newest index version.
NaiveAnswer NaiveQuery(Deployment& deployment,
                       size_t shards,
                       const std::string& request_id,
                       const std::string& text,
                       size_t limit);

// The body of one POST /search for a whole shard.
std::string SearchBody(size_t shard,
                       const std::string& request_id,
                       const std::string& text,
                       size_t limit,
                       bool idempotent);

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_NAIVE_QUERY_H_
