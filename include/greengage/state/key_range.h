// Ranges of the key space of a service; each shard holds one.
#ifndef GREENGAGE_STATE_KEY_RANGE_H_
#define GREENGAGE_STATE_KEY_RANGE_H_

#include <compare>
#include <cstdint>
#include <string>

namespace greengage {

// The half-open interval [begin, end).
struct KeyRange {
  uint64_t begin = 0;
  uint64_t end = 0;

  // clang-tidy 14 mistakes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const KeyRange&) const = default;

  bool empty() const { return begin >= end; }
  bool Contains(uint64_t key) const { return key >= begin && key < end; }
  bool Covers(const KeyRange& other) const {
    return begin <= other.begin && other.end <= end;
  }
  bool Overlaps(const KeyRange& other) const {
    return begin < other.end && other.begin < end;
  }
};

// Formats the range as in configuration files: "0-4999" for the keys 0 to 4999
// inclusive.
std::string ToString(const KeyRange& range);

}  // namespace greengage

#endif  // GREENGAGE_STATE_KEY_RANGE_H_
