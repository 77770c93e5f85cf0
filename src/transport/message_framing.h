// Frames messages in a byte stream. Each message is preceded by its length as a
// 32-bit big-endian integer.
#ifndef GREENGAGE_TRANSPORT_MESSAGE_FRAMING_H_
#define GREENGAGE_TRANSPORT_MESSAGE_FRAMING_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

namespace greengage {

inline constexpr size_t kLengthPrefixBytes = 4;

// Encodes messages and returns the stream in chunks of any size.
class MessageEncoder {
 public:
  void Append(std::string message);

  // Copies up to `capacity` bytes of the stream to `buffer`, removes them from
  // the encoder and returns their number.
  size_t Read(uint8_t* buffer, size_t capacity);

  // Number of bytes that Read() can still return, including length prefixes.
  size_t pending_bytes() const { return pending_bytes_; }

 private:
  std::deque<std::string> messages_;
  size_t front_offset_ = 0;  // Offset in the first message, prefix included.
  size_t pending_bytes_ = 0;
};

// Decodes messages from chunks of the stream. Buffers at most one message.
class MessageDecoder {
 public:
  using Hook = std::function<void(std::string message)>;

  explicit MessageDecoder(size_t max_message_bytes)
      : max_message_bytes_(max_message_bytes) {}

  // Runs `on_message` for each message completed by `bytes`. Returns false if a
  // message exceeds the limit; Feed() must not be called again after that.
  bool Feed(std::string_view bytes, const Hook& on_message);

  // Returns true if the stream is not within a message.
  bool at_boundary() const { return prefix_bytes_ == 0; }

 private:
  std::string_view FeedPrefix(std::string_view bytes);

  const size_t max_message_bytes_;
  std::array<uint8_t, kLengthPrefixBytes> prefix_{};
  size_t prefix_bytes_ = 0;
  size_t message_bytes_ = 0;
  std::string message_;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_MESSAGE_FRAMING_H_
