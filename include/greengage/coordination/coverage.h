// The key ranges that an answer covers.
#ifndef GREENGAGE_COORDINATION_COVERAGE_H_
#define GREENGAGE_COORDINATION_COVERAGE_H_

#include <vector>

#include "greengage/state/key_range.h"

namespace greengage {

// A set of disjoint key ranges, built from accepted answers only. Not
// thread-safe.
class Coverage {
 public:
  // Adds a range. Returns false, without effect, if it is empty or overlaps a
  // covered range, since an answer must not contain a record twice.
  bool Add(const KeyRange& range);

  bool Covers(const KeyRange& range) const;

  // Sorted, with adjacent ranges merged.
  const std::vector<KeyRange>& ranges() const { return ranges_; }

 private:
  std::vector<KeyRange> ranges_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_COVERAGE_H_
