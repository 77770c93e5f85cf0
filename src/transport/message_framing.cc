#include "transport/message_framing.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace greengage {
namespace {

// Limits the memory reserved from a length prefix alone; a larger message
// allocates memory as its bytes arrive.
constexpr size_t kMaxReserveBytes = size_t{64} * 1024;

std::array<uint8_t, kLengthPrefixBytes> EncodePrefix(size_t size) {
  return {static_cast<uint8_t>(size >> 24), static_cast<uint8_t>(size >> 16),
          static_cast<uint8_t>(size >> 8), static_cast<uint8_t>(size)};
}

size_t DecodePrefix(const std::array<uint8_t, kLengthPrefixBytes>& prefix) {
  size_t size = 0;
  for (const uint8_t byte : prefix) {
    size = size << 8 | byte;
  }
  return size;
}

}  // namespace

void MessageEncoder::Append(std::string message) {
  pending_bytes_ += kLengthPrefixBytes + message.size();
  messages_.push_back(std::move(message));
}

size_t MessageEncoder::Read(uint8_t* buffer, size_t capacity) {
  size_t copied = 0;
  while (copied < capacity && !messages_.empty()) {
    const std::string& message = messages_.front();
    size_t count = 0;
    if (front_offset_ < kLengthPrefixBytes) {
      const auto prefix = EncodePrefix(message.size());
      count = std::min(capacity - copied, kLengthPrefixBytes - front_offset_);
      std::memcpy(buffer + copied, prefix.data() + front_offset_, count);
    } else {
      const size_t offset = front_offset_ - kLengthPrefixBytes;
      count = std::min(capacity - copied, message.size() - offset);
      std::memcpy(buffer + copied, message.data() + offset, count);
    }
    copied += count;
    front_offset_ += count;
    if (front_offset_ == kLengthPrefixBytes + message.size()) {
      messages_.pop_front();
      front_offset_ = 0;
    }
  }
  pending_bytes_ -= copied;
  return copied;
}

bool MessageDecoder::Feed(std::string_view bytes, const Hook& on_message) {
  while (!bytes.empty()) {
    if (prefix_bytes_ < kLengthPrefixBytes) {
      bytes = FeedPrefix(bytes);
      if (prefix_bytes_ < kLengthPrefixBytes) {
        return true;
      }
      message_bytes_ = DecodePrefix(prefix_);
      if (message_bytes_ > max_message_bytes_) {
        return false;
      }
      message_.reserve(std::min(message_bytes_, kMaxReserveBytes));
    }
    const size_t count =
        std::min(bytes.size(), message_bytes_ - message_.size());
    message_.append(bytes.substr(0, count));
    bytes.remove_prefix(count);
    if (message_.size() == message_bytes_) {
      prefix_bytes_ = 0;
      on_message(std::exchange(message_, {}));
    }
  }
  return true;
}

std::string_view MessageDecoder::FeedPrefix(std::string_view bytes) {
  const size_t count =
      std::min(bytes.size(), kLengthPrefixBytes - prefix_bytes_);
  std::memcpy(prefix_.data() + prefix_bytes_, bytes.data(), count);
  prefix_bytes_ += count;
  return bytes.substr(count);
}

}  // namespace greengage
