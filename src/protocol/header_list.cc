#include "greengage/protocol/header_list.h"

#include <boost/beast/core/string.hpp>

namespace greengage {

bool IsSameHeader(std::string_view a, std::string_view b) {
  return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

std::optional<std::string_view> FindHeader(const HeaderList& headers,
                                           std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (IsSameHeader(key, name)) {
      return value;
    }
  }
  return std::nullopt;
}

}  // namespace greengage
