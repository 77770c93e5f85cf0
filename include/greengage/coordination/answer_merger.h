// Merges the answers of a query's shards into one.
#ifndef GREENGAGE_COORDINATION_ANSWER_MERGER_H_
#define GREENGAGE_COORDINATION_ANSWER_MERGER_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "greengage/coordination/coverage.h"
#include "greengage/state/query.h"

namespace greengage {

enum class MergeResult : uint8_t {
  kAccepted,
  kWrongRequest,  // Another request's or sub-request's answer.
  kWrongVersion,  // From another index version than the pinned one.
  kWrongRange,    // Not exactly the range that was asked for.
  kDuplicate,     // The range is covered already.
};

// Keeps the best hits of one index version. An answer that does not fit its
// sub-request leaves no trace. Not thread-safe.
class AnswerMerger {
 public:
  // `index_version` 0 takes the version of the first answer accepted.
  AnswerMerger(uint64_t index_version, uint32_t limit);

  MergeResult Accept(const SubRequest& request, SubAnswer answer);

  // The best hits, highest score first and by key where scores are equal, at
  // most the limit.
  std::vector<Hit> TakeHits();

  const Coverage& coverage() const { return coverage_; }
  uint64_t index_version() const { return index_version_; }

 private:
  MergeResult Check(const SubRequest& request, const SubAnswer& answer) const;
  void Insert(Hit hit);

  uint64_t index_version_;
  size_t limit_;
  std::vector<Hit> hits_;  // A heap with the worst hit on top.
  Coverage coverage_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_ANSWER_MERGER_H_
