#include "greengage/state/key_range.h"

namespace greengage {

std::string ToString(const KeyRange& range) {
  if (range.empty()) {
    return "empty";
  }
  return std::to_string(range.begin) + "-" + std::to_string(range.end - 1);
}

}  // namespace greengage
