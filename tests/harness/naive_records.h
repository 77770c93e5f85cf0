// A naive reference implementation of the record merger.
#ifndef GREENGAGE_TESTS_HARNESS_NAIVE_RECORDS_H_
#define GREENGAGE_TESTS_HARNESS_NAIVE_RECORDS_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "greengage/coordination/record_merger.h"

namespace greengage {

// Returns the `top` greatest records of `parts` in descending order.
inline std::string NaiveTop(const std::vector<std::string>& parts, size_t top) {
  std::vector<std::string> records;
  for (const std::string& part : parts) {
    for (size_t at = 0; at + kRecordBytes <= part.size(); at += kRecordBytes) {
      records.push_back(part.substr(at, kRecordBytes));
    }
  }
  std::sort(records.begin(), records.end(), std::greater<>());
  records.resize(std::min(top, records.size()));
  std::string joined;
  for (const std::string& record : records) {
    joined += record;
  }
  return joined;
}

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_NAIVE_RECORDS_H_
