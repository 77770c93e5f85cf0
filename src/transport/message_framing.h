// Messages in a byte stream: each follows its length in four bytes, big endian.
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

// Messages that wait to be written, read out in pieces of any size.
class MessageEncoder {
 public:
  void Append(std::string message);

  // Copies up to `capacity` bytes of the stream and drops them here.
  size_t Read(uint8_t* buffer, size_t capacity);

  // Bytes that Read() can still give, prefixes included.
  size_t pending_bytes() const { return pending_bytes_; }

 private:
  std::deque<std::string> messages_;
  size_t front_offset_ = 0;  // Within the first message with its prefix.
  size_t pending_bytes_ = 0;
};

// Rebuilds messages from pieces of the stream. Holds one message at most.
class MessageDecoder {
 public:
  using Hook = std::function<void(std::string message)>;

  explicit MessageDecoder(size_t max_message_bytes)
      : max_message_bytes_(max_message_bytes) {}

  // Runs `on_message` for each message completed by `bytes`. False if a
  // message is over the limit; nothing may be fed after that.
  bool Feed(std::string_view bytes, const Hook& on_message);

  // Whether the stream may end here.
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
