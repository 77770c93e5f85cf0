// The records that the searcher stand-in finds: a pure function of what is
// asked for, so that a test can tell what every answer must hold.
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

// Keys of one block hold at most one record that matches a given query text.
inline constexpr uint64_t kKeysPerBlock = 16;

// Scores are whole numbers below this, so that JSON keeps them exactly.
inline constexpr uint64_t kScoreLimit = 1000000;

// Orders hits as answers list them: best score first, then lowest key.
inline bool RanksBefore(const Hit& left, const Hit& right) {
  return left.score != right.score ? left.score > right.score
                                   : left.key < right.key;
}

// All records of `service` at `index_version` with a key in `range` that match
// `text`, ordered by key. Texts name the index version, so that a mix of two
// versions can be seen.
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

// The best `limit` of `hits`, as answers list them.
inline std::vector<Hit> TopHits(std::vector<Hit> hits, size_t limit) {
  std::sort(hits.begin(), hits.end(), RanksBefore);
  if (hits.size() > limit) {
    hits.resize(limit);
  }
  return hits;
}

}  // namespace greengage::standins

#endif  // STANDINS_SEARCHER_RECORDS_H_
