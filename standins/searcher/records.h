// Generates the records that the searcher stand-in finds. They are a pure
// function of the request, so that a test can compute the expected content of
// each answer.
#ifndef STANDINS_SEARCHER_RECORDS_H_
#define STANDINS_SEARCHER_RECORDS_H_

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "greengage/state/key_range.h"
#include "greengage/state/query.h"

namespace greengage::standins {

// The key space is divided into blocks of this many keys. Each block has
// at most one record that matches a given query text.
inline constexpr uint64_t kKeysPerBlock = 16;

// Scores are integers below this limit, which JSON represents exactly.
inline constexpr uint64_t kScoreLimit = 1000000;

// The order of hits in answers: by descending score, then by ascending key.
inline bool RanksBefore(const Hit& left, const Hit& right) {
  return left.score != right.score ? left.score > right.score
                                   : left.key < right.key;
}

// Returns all records of `service` at `index_version` with a key in `range`
// that match `text`, ordered by key. The text of a record contains the index
// version, so that a test can detect an answer that mixes two versions.
inline std::vector<Hit> MatchingRecords(std::string_view service,
                                        uint64_t index_version,
                                        const KeyRange& range,
                                        std::string_view text) {
  const uint64_t query = XXH3_64bits_withSeed(
      text.data(), text.size(),
      XXH3_64bits_withSeed(service.data(), service.size(), index_version));
  std::vector<Hit> hits;
  const uint64_t first_block = range.begin / kKeysPerBlock;
  for (uint64_t block = first_block; block * kKeysPerBlock < range.end;
       ++block) {
    const uint64_t hash = XXH3_64bits_withSeed(&block, sizeof(block), query);
    const uint64_t key = block * kKeysPerBlock + hash % kKeysPerBlock;
    if (!range.Contains(key)) {
      continue;
    }
    hits.push_back({.key = key,
                    .score = static_cast<double>((hash >> 8) % kScoreLimit),
                    .text = std::string(service) + "/" + std::to_string(key) +
                            "@" + std::to_string(index_version)});
  }
  return hits;
}

// Returns the `limit` hits that rank first, in the order of RanksBefore.
inline std::vector<Hit> TopHits(std::vector<Hit> hits, size_t limit) {
  std::sort(hits.begin(), hits.end(), RanksBefore);
  if (hits.size() > limit) {
    hits.resize(limit);
  }
  return hits;
}

}  // namespace greengage::standins

#endif  // STANDINS_SEARCHER_RECORDS_H_
