#include "greengage/coordination/coverage.h"

#include <algorithm>

namespace greengage {

namespace {

bool EndsAtOrBefore(const KeyRange& range, uint64_t key) {
  return range.end <= key;
}

}  // namespace

bool Coverage::Add(const KeyRange& range) {
  if (range.empty()) {
    return false;
  }
  auto next = std::lower_bound(ranges_.begin(), ranges_.end(), range.begin,
                               EndsAtOrBefore);
  if (next != ranges_.end() && next->Overlaps(range)) {
    return false;
  }
  const bool joins_next = next != ranges_.end() && next->begin == range.end;
  const bool joins_previous =
      next != ranges_.begin() && std::prev(next)->end == range.begin;
  if (joins_previous && joins_next) {
    std::prev(next)->end = next->end;
    ranges_.erase(next);
  } else if (joins_previous) {
    std::prev(next)->end = range.end;
  } else if (joins_next) {
    next->begin = range.begin;
  } else {
    ranges_.insert(next, range);
  }
  return true;
}

bool Coverage::Covers(const KeyRange& range) const {
  const auto it = std::lower_bound(ranges_.begin(), ranges_.end(), range.begin,
                                   EndsAtOrBefore);
  return it != ranges_.end() && it->Covers(range);
}

}  // namespace greengage
