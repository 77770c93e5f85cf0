#include "greengage/transport/http_message.h"

#include <boost/beast/core/string.hpp>

namespace greengage {

std::optional<std::string_view> FindHeader(const HttpHeaders& headers,
                                           std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (boost::beast::iequals({key.data(), key.size()},
                              {name.data(), name.size()})) {
      return value;
    }
  }
  return std::nullopt;
}

}  // namespace greengage
