// A naive reference implementation of the query tier: it queries the searchers
// sequentially on one thread and does not validate their answers.
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

// Computes the hits of a correct answer over `covered` at `index_version`
// without calling a process.
std::vector<Hit> ExpectedHits(uint64_t index_version,
                              const std::vector<KeyRange>& covered,
                              const std::string& text,
                              size_t limit);

// Return the hits and the covered ranges of an answer.
std::vector<Hit> HitsOf(const JsonReply& reply);
std::vector<KeyRange> CoveredBy(const JsonReply& reply);
bool SameHits(const std::vector<Hit>& left, const std::vector<Hit>& right);

// Returns whether a reply with outcome "answered" contains exactly the hits of
// the index version and the ranges that it states.
bool IsTruthful(const JsonReply& reply, const std::string& text, size_t limit);

// A merged answer and the index versions of its parts.
struct NaiveAnswer {
  std::vector<Hit> hits;
  std::set<uint64_t> index_versions;
  size_t answered = 0;  // Searchers that answered with status 200.
};

// Queries replica 0 of each shard at its newest index version.
NaiveAnswer NaiveQuery(Deployment& deployment,
                       size_t shards,
                       const std::string& request_id,
                       const std::string& text,
                       size_t limit);

// Returns the body of a POST /search for a complete shard.
std::string SearchBody(size_t shard,
                       const std::string& request_id,
                       const std::string& text,
                       size_t limit,
                       bool idempotent);

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_NAIVE_QUERY_H_
