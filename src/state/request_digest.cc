#include "greengage/state/request_digest.h"

#include <array>
#include <charconv>
#include <system_error>

namespace greengage {
namespace {

constexpr size_t kHexDigits = 16;  // Of one half.

std::string FormatHex(uint64_t number) {
  std::array<char, kHexDigits> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), number, 16);
  const std::string_view text(digits.data(),
                              static_cast<size_t>(end.ptr - digits.data()));
  return std::string(kHexDigits - text.size(), '0') + std::string(text);
}

std::optional<uint64_t> ParseHex(std::string_view text) {
  uint64_t number = 0;
  const auto end =
      std::from_chars(text.data(), text.data() + text.size(), number, 16);
  return end.ec == std::errc() && end.ptr == text.data() + text.size()
             ? std::optional(number)
             : std::nullopt;
}

}  // namespace

std::string ToString(const RequestDigest& digest) {
  return FormatHex(digest.high) + FormatHex(digest.low);
}

std::optional<RequestDigest> ParseRequestDigest(std::string_view text) {
  if (text.size() != 2 * kHexDigits) {
    return std::nullopt;
  }
  const auto high = ParseHex(text.substr(0, kHexDigits));
  const auto low = ParseHex(text.substr(kHexDigits));
  return high && low ? std::optional(RequestDigest{*high, *low}) : std::nullopt;
}

}  // namespace greengage
