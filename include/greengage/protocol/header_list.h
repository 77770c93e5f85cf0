// The header fields of an HTTP message.
#ifndef GREENGAGE_PROTOCOL_HEADER_LIST_H_
#define GREENGAGE_PROTOCOL_HEADER_LIST_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace greengage {

// Name and value pairs in the order of the message; names may repeat.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

// Compares two header names without regard to case.
bool IsSameHeader(std::string_view a, std::string_view b);

// Returns the value of the first header named `name`, if there is one.
std::optional<std::string_view> FindHeader(const HeaderList& headers,
                                           std::string_view name);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_HEADER_LIST_H_
