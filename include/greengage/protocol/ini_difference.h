// What differs between two INI documents, for people.
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
  std::optional<std::string> before;  // Empty: added.
  std::optional<std::string> after;   // Empty: removed.
};

// In the order of `before`, then what only `after` has. Order and comments do
// not count as differences.
std::vector<IniDifference> Compare(const IniDocument& before,
                                   const IniDocument& after);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_INI_DIFFERENCE_H_
