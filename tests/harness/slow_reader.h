// A client of which little of an answer is on its way at a time.
#ifndef GREENGAGE_TESTS_HARNESS_SLOW_READER_H_
#define GREENGAGE_TESTS_HARNESS_SLOW_READER_H_

#include <netinet/tcp.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cstddef>
#include <limits>
#include <string>
#include <string_view>

#include "greengage/state/endpoint.h"

namespace greengage {

// Receives nothing beyond a small buffer unless it reads. Small segments keep
// the send buffer of the server small, too: with those of loopback, the system
// takes some MB at once.
class SlowReader {
 public:
  explicit SlowReader(const Endpoint& server) {
    using SegmentSize =
        boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;
    socket_.open(boost::asio::ip::tcp::v4());
    socket_.set_option(SegmentSize(kSegmentBytes));
    socket_.set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBuffer));
    socket_.connect({boost::asio::ip::make_address(server.host), server.port});
  }

  void Send(std::string_view request) {
    boost::asio::write(socket_, boost::asio::buffer(request));
  }

  // Reads until the end of the stream or at least `size` bytes.
  std::string Read(size_t size = std::numeric_limits<size_t>::max()) {
    std::string answer;
    std::array<char, kReadBytes> buffer{};
    boost::system::error_code error;
    while (!error && answer.size() < size) {
      const size_t read = socket_.read_some(boost::asio::buffer(buffer), error);
      answer.append(buffer.data(), read);
    }
    return answer;
  }

 private:
  static constexpr int kSegmentBytes = 536;
  static constexpr int kReceiveBuffer = 4096;
  static constexpr size_t kReadBytes = size_t{16} * 1024;

  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_{context_};
};

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_SLOW_READER_H_
