// Checks where an HTTP/1.1 message ends.
#ifndef GREENGAGE_SRC_TRANSPORT_HTTP_FRAMING_H_
#define GREENGAGE_SRC_TRANSPORT_HTTP_FRAMING_H_

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

#include <algorithm>
#include <cstddef>

namespace greengage {

// Returns how many bytes a message may take up on its connection. The lines of
// chunks come on top of the body; without a limit, a sender could spread a
// small body over endless lines.
constexpr size_t MaxMessageBytes(size_t header_bytes, size_t body_bytes) {
  return header_bytes + 2 * body_bytes;
}

// Returns whether the message has a transfer coding other than "chunked". Beast
// ignores those that it does not know, and takes the body for the next message.
template <typename Fields>
bool HasUnknownTransferCoding(const Fields& fields) {
  return std::any_of(fields.begin(), fields.end(), [](const auto& field) {
    return field.name() == boost::beast::http::field::transfer_encoding &&
           !boost::beast::iequals(field.value(), "chunked");
  });
}

}  // namespace greengage

#endif  // GREENGAGE_SRC_TRANSPORT_HTTP_FRAMING_H_
