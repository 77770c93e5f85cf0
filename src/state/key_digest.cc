#include "greengage/state/key_digest.h"

#include <nettle/memops.h>
#include <nettle/sha2.h>

#include <cstring>

namespace greengage {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr unsigned kBitsPerDigit = 4;

static_assert(KeyDigest::kBytes == SHA256_DIGEST_SIZE);

}  // namespace

bool KeyDigest::operator==(const KeyDigest& other) const {
  return nettle_memeql_sec(bytes.data(), other.bytes.data(), kBytes) != 0;
}

KeyDigest DigestOfKey(std::string_view key) {
  KeyDigest digest;
  sha256_ctx context;
  nettle_sha256_init(&context);
  nettle_sha256_update(&context, key.size(),
                       reinterpret_cast<const uint8_t*>(key.data()));
  nettle_sha256_digest(&context, digest.bytes.size(), digest.bytes.data());
  return digest;
}

std::string ToString(const KeyDigest& digest) {
  std::string text;
  text.reserve(2 * KeyDigest::kBytes);
  for (const uint8_t byte : digest.bytes) {
    text += kHexDigits[byte >> kBitsPerDigit];
    text += kHexDigits[byte % kHexDigits.size()];
  }
  return text;
}

std::optional<KeyDigest> ParseKeyDigest(std::string_view text) {
  if (text.size() != 2 * KeyDigest::kBytes) {
    return std::nullopt;
  }
  KeyDigest digest;
  for (size_t i = 0; i < text.size(); ++i) {
    const size_t digit = kHexDigits.find(text[i]);
    if (digit == std::string_view::npos) {
      return std::nullopt;
    }
    digest.bytes[i / 2] =
        static_cast<uint8_t>(digest.bytes[i / 2] << kBitsPerDigit | digit);
  }
  return digest;
}

size_t KeyDigestHash::operator()(const KeyDigest& digest) const {
  size_t hash = 0;
  std::memcpy(&hash, digest.bytes.data(), sizeof(hash));
  return hash;
}

}  // namespace greengage
