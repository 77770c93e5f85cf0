// Differences between two INI documents.
#ifndef GREENGAGE_PROTOCOL_INI_DIFFERENCE_H_
#define GREENGAGE_PROTOCOL_INI_DIFFERENCE_H_

#include <optional>
#include <string>
#include <vector>

#include "greengage/protocol/ini_document.h"

namespace greengage {

// One key that was added, removed or changed.
struct IniDifference {
  std::string section;
  std::string key;
  std::optional<std::string> before;  // Empty if the key was added.
  std::optional<std::string> after;   // Empty if the key was removed.
};

// Returns the differences in the order of `before`, followed by the keys that
// only `after` has. Ignores the order of keys and comments.
std::vector<IniDifference> Compare(const IniDocument& before,
                                   const IniDocument& after);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_INI_DIFFERENCE_H_
