#include "greengage/coordination/record_merger.h"

#include <algorithm>
#include <cstring>
#include <functional>

namespace greengage {

void RecordMerger::Add(std::string_view part) {
  if (top_records_ == 0) {
    return;
  }
  for (size_t offset = 0; offset + kRecordBytes <= part.size();
       offset += kRecordBytes) {
    Record record;
    std::memcpy(record.data(), part.data() + offset, kRecordBytes);
    if (heap_.size() == top_records_) {
      if (record <= heap_.front()) {
        continue;
      }
      std::pop_heap(heap_.begin(), heap_.end(), std::greater<>());
      heap_.back() = record;
    } else {
      heap_.push_back(record);
    }
    std::push_heap(heap_.begin(), heap_.end(), std::greater<>());
  }
}

std::string RecordMerger::Take() {
  std::sort(heap_.begin(), heap_.end(), std::greater<>());
  std::string records;
  records.reserve(heap_.size() * kRecordBytes);
  for (const Record& record : heap_) {
    records.append(record.begin(), record.end());
  }
  heap_.clear();
  return records;
}

}  // namespace greengage
