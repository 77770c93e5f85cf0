// The headers of a message.
#ifndef GREENGAGE_PROTOCOL_HEADER_LIST_H_
#define GREENGAGE_PROTOCOL_HEADER_LIST_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace greengage {

// Names and values in the order of the message; names may repeat.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

// Whether two names are the same; case does not matter.
bool IsSameHeader(std::string_view a, std::string_view b);

// The value of the first header `name`; nothing if there is none.
std::optional<std::string_view> FindHeader(const HeaderList& headers,
                                           std::string_view name);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_HEADER_LIST_H_
