// Merging of the answers of a query's shards into one.
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
  kWrongRequest,  // Answers another request or sub-request.
  kWrongVersion,  // Not from the pinned index version.
  kWrongRange,    // Not exactly the requested range.
  kDuplicate,     // The range is already covered.
};

// Keeps the best hits of one index version. An answer that does not match its
// sub-request is rejected and changes nothing. Not thread-safe.
class AnswerMerger {
 public:
  // With `index_version` 0, the first accepted answer pins the version.
  AnswerMerger(uint64_t index_version, uint32_t limit);

  MergeResult Accept(const SubRequest& request, SubAnswer answer);

  // Returns the best hits, at most the limit, by descending score and, for
  // equal scores, by ascending key. Leaves the merger without hits.
  std::vector<Hit> TakeHits();

  const Coverage& coverage() const { return coverage_; }
  uint64_t index_version() const { return index_version_; }

 private:
  MergeResult Validate(const SubRequest& request,
                       const SubAnswer& answer) const;
  void Insert(Hit hit);

  uint64_t index_version_;
  size_t limit_;
  std::vector<Hit> hits_;  // A heap with the worst hit on top.
  Coverage coverage_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_ANSWER_MERGER_H_
