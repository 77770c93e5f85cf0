// Merges the answers of several shards into the greatest records of all.
#ifndef GREENGAGE_COORDINATION_RECORD_MERGER_H_
#define GREENGAGE_COORDINATION_RECORD_MERGER_H_

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace greengage {

inline constexpr size_t kRecordBytes = 16;

// Keeps the `top_records` greatest records in lexicographic byte order.
// Duplicates are kept. Trailing bytes that do not form a whole record are
// ignored. Not thread-safe.
class RecordMerger {
 public:
  explicit RecordMerger(size_t top_records) : top_records_(top_records) {}

  void Add(std::string_view part);

  // Returns the records in descending order and removes them.
  std::string Take();

 private:
  using Record = std::array<unsigned char, kRecordBytes>;

  const size_t top_records_;
  std::vector<Record> heap_;  // Min-heap once it is full.
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_RECORD_MERGER_H_
