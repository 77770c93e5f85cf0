// Identifies requests with the same content.
#ifndef GREENGAGE_STATE_REQUEST_DIGEST_H_
#define GREENGAGE_STATE_REQUEST_DIGEST_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace greengage {

// A 128-bit hash of a request's content. It is not a cryptographic one.
struct RequestDigest {
  uint64_t high = 0;
  uint64_t low = 0;

  auto operator<=>(const RequestDigest&) const = default;
};

// Formats the digest as 32 hexadecimal digits.
std::string ToString(const RequestDigest& digest);

// Parses what ToString() returns. Returns nothing for any other text.
std::optional<RequestDigest> ParseRequestDigest(std::string_view text);

struct RequestDigestHash {
  size_t operator()(const RequestDigest& digest) const {
    return std::hash<uint64_t>()(digest.low);
  }
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_REQUEST_DIGEST_H_
