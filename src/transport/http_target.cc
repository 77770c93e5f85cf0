#include "transport/http_target.h"

#include <charconv>

namespace greengage {
namespace {

std::string DecodePercent(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16)
                .ptr == text.data() + i + 3) {
      decoded.push_back(static_cast<char>(value));
      i += 2;
    } else {
      decoded.push_back(text[i] == '+' ? ' ' : text[i]);
    }
  }
  return decoded;
}

}  // namespace

void ParseTarget(std::string_view target, HttpRequest& request) {
  const size_t mark = target.find('?');
  request.path = std::string(target.substr(0, mark));
  if (mark == std::string_view::npos) {
    return;
  }
  std::string_view rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    const size_t equals = pair.find('=');
    const std::string_view value =
        equals == std::string_view::npos ? "" : pair.substr(equals + 1);
    request.parameters[DecodePercent(pair.substr(0, equals))] =
        DecodePercent(value);
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
  }
}

}  // namespace greengage
