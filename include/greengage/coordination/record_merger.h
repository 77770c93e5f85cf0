// The greatest records of many parts.
#ifndef GREENGAGE_COORDINATION_RECORD_MERGER_H_
#define GREENGAGE_COORDINATION_RECORD_MERGER_H_

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace greengage {

inline constexpr size_t kRecordBytes = 16;

// Keeps the greatest records, compared byte by byte; equal ones all count. The
// bytes behind a part's last whole record are not a record. Not thread-safe.
class RecordMerger {
 public:
  explicit RecordMerger(size_t top_records) : top_records_(top_records) {}

  void Add(std::string_view part);

  // The records, the greatest first.
  std::string Take();

 private:
  using Record = std::array<unsigned char, kRecordBytes>;

  const size_t top_records_;
  std::vector<Record> heap_;  // The least on top, once it is full.
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_RECORD_MERGER_H_
