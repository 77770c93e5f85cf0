#include "greengage/transport/datagram_socket.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <mutex>
#include <utility>
#include <vector>

#include "greengage/transport/guard.h"
#include "transport/socket_address.h"

namespace greengage {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

// One byte above the limit, so that an oversized datagram can be detected.
constexpr size_t kReceiveBytes = kMaxDatagramBytes + 1;

class DatagramSocketImpl
    : public DatagramSocket,
      public std::enable_shared_from_this<DatagramSocketImpl> {
 public:
  DatagramSocketImpl(asio::io_context& context, Handler handler)
      : strand_(asio::make_strand(context)),
        socket_(strand_),
        handler_(std::move(handler)),
        buffer_(kReceiveBytes) {}

  Result<Done> Open(const Endpoint& endpoint) {
    const auto address = ToUdp(endpoint);
    if (!address) {
      return address.last_reason();
    }
    boost::system::error_code error;
    socket_.open(address->protocol(), error);
    if (!error) {
      socket_.bind(*address, error);
    }
    if (!error) {
      socket_.non_blocking(true, error);
    }
    if (error) {
      return BindFailure(endpoint, error);
    }
    endpoint_ = FromSocket(socket_.local_endpoint(error));
    Receive();
    return Done{};
  }

  Endpoint endpoint() const override { return endpoint_; }

  void Send(const Endpoint& receiver, std::string datagram) override {
    const auto address = ToUdp(receiver);
    if (!address || datagram.size() > kMaxDatagramBytes) {
      return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    boost::system::error_code ignored;
    socket_.send_to(asio::buffer(datagram), *address, 0, ignored);
  }

  void Close() override {
    closed_ = true;
    asio::post(strand_, [self = shared_from_this()] {
      const std::lock_guard<std::mutex> lock(self->mutex_);
      boost::system::error_code ignored;
      self->socket_.close(ignored);
    });
  }

 private:
  void Receive() {
    socket_.async_receive_from(
        asio::buffer(buffer_), sender_,
        asio::bind_executor(strand_,
                            [self = shared_from_this()](
                                boost::system::error_code error, size_t size) {
                              self->OnReceived(error, size);
                            }));
  }

  void OnReceived(const boost::system::error_code& error, size_t size) {
    if (closed_ || error == asio::error::operation_aborted) {
      return;
    }
    // Other errors concern datagrams sent earlier, for example to a closed
    // port.
    if (!error && size <= kMaxDatagramBytes) {
      RunGuarded("datagram", [this, size] {
        handler_(FromSocket(sender_), std::string(buffer_.data(), size));
      });
    }
    Receive();
  }

  const asio::strand<asio::io_context::executor_type> strand_;
  std::mutex mutex_;  // Serializes Send() and closing the socket.
  udp::socket socket_;
  const Handler handler_;
  std::vector<char> buffer_;
  udp::endpoint sender_;
  Endpoint endpoint_;
  std::atomic<bool> closed_ = false;
};

}  // namespace

Result<std::shared_ptr<DatagramSocket>> DatagramSocket::Bind(
    asio::io_context& context,
    const Endpoint& endpoint,
    Handler handler) {
  const auto socket =
      std::make_shared<DatagramSocketImpl>(context, std::move(handler));
  const Result<Done> opened = socket->Open(endpoint);
  if (!opened) {
    return opened.last_reason();
  }
  return std::shared_ptr<DatagramSocket>(socket);
}

}  // namespace greengage
