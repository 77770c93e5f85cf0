// The key ranges that an answer really covers.
#ifndef GREENGAGE_COORDINATION_COVERAGE_H_
#define GREENGAGE_COORDINATION_COVERAGE_H_

#include <vector>

#include "greengage/state/key_range.h"

namespace greengage {

// Built from accepted answers only. Not thread-safe.
class Coverage {
 public:
  // Adds a range. False, without effect, if it is empty or overlaps one that
  // is already covered: a record must not stand in an answer twice.
  bool Add(const KeyRange& range);

  bool Covers(const KeyRange& range) const;

  // Ordered, with adjacent ranges joined.
  const std::vector<KeyRange>& ranges() const { return ranges_; }

 private:
  std::vector<KeyRange> ranges_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_COVERAGE_H_
