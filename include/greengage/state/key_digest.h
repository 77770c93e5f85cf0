// Digests of the keys with which callers identify their organisation.
#ifndef GREENGAGE_STATE_KEY_DIGEST_H_
#define GREENGAGE_STATE_KEY_DIGEST_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengage {

// The SHA-256 digest of a key. Instances keep and exchange digests only, so
// that no log, message or core dump of an idle process reveals a key.
struct KeyDigest {
  static constexpr size_t kBytes = 32;

  std::array<uint8_t, kBytes> bytes{};

  // Takes the same time for equal and different digests.
  bool operator==(const KeyDigest& other) const;
};

KeyDigest DigestOfKey(std::string_view key);

// Formats the digest as 64 hexadecimal digits.
std::string ToString(const KeyDigest& digest);

// Parses what ToString() returns. Returns nothing for any other text.
std::optional<KeyDigest> ParseKeyDigest(std::string_view text);

struct KeyDigestHash {
  size_t operator()(const KeyDigest& digest) const;
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_KEY_DIGEST_H_
