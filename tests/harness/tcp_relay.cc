#include "tests/harness/tcp_relay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace greengage {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr size_t kBufferBytes = 16384;

tcp::endpoint Address(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.host), endpoint.port};
}

}  // namespace

// A connection from a client and the one to the target, with both directions.
class TcpRelay::Pipe : public std::enable_shared_from_this<Pipe> {
 public:
  Pipe(tcp::socket client, tcp::socket server)
      : ends_{std::move(client), std::move(server)} {}

  void Start(const tcp::endpoint& target) {
    ends_[1].async_connect(target,
                           [self = shared_from_this()](auto connect_error) {
                             if (connect_error) {
                               self->Close();
                               return;
                             }
                             self->Forward(0);
                             self->Forward(1);
                           });
  }

  void Silence() { silent_ = true; }

  void PostClose() {
    asio::post(ends_[0].get_executor(),
               [self = shared_from_this()] { self->Close(); });
  }

 private:
  void Forward(size_t from) {
    ends_[from].async_read_some(
        asio::buffer(buffers_[from]),
        [self = shared_from_this(), from](auto error, size_t size) {
          if (self->silent_) {
            return;
          }
          if (error) {
            self->Close();
            return;
          }
          self->Write(from, size);
        });
  }

  void Write(size_t from, size_t size) {
    asio::async_write(ends_[1 - from], asio::buffer(buffers_[from], size),
                      [self = shared_from_this(), from](auto error, size_t) {
                        if (!error) {
                          self->Forward(from);
                        }
                      });
  }

  void Close() {
    boost::system::error_code ignored;
    ends_[0].close(ignored);
    ends_[1].close(ignored);
  }

  std::array<tcp::socket, 2> ends_;
  std::array<std::array<char, kBufferBytes>, 2> buffers_{};
  std::atomic<bool> silent_ = false;
};

TcpRelay::TcpRelay(asio::io_context& context, const Endpoint& target)
    : context_(context),
      target_(target),
      acceptor_(asio::make_strand(context),
                tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {}

std::shared_ptr<TcpRelay> TcpRelay::Start(asio::io_context& context,
                                          const Endpoint& target) {
  std::shared_ptr<TcpRelay> relay(new TcpRelay(context, target));
  relay->Accept();
  return relay;
}

Endpoint TcpRelay::endpoint() const {
  return {"127.0.0.1", acceptor_.local_endpoint().port()};
}

void TcpRelay::Accept() {
  const asio::any_io_executor strand = asio::make_strand(context_);
  acceptor_.async_accept(strand, [self = shared_from_this(), strand](
                                     auto error, tcp::socket client) {
    if (error) {
      return;
    }
    const auto pipe =
        std::make_shared<Pipe>(std::move(client), tcp::socket(strand));
    {
      const std::lock_guard<std::mutex> lock(self->mutex_);
      self->pipes_.push_back(pipe);
    }
    ++self->accepted_;
    pipe->Start(Address(self->target_));
    self->Accept();
  });
}

void TcpRelay::SilenceConnections() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& pipe : pipes_) {
    pipe->Silence();
  }
}

void TcpRelay::StopAccepting() {
  asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
    boost::system::error_code ignored;
    self->acceptor_.close(ignored);
  });
}

void TcpRelay::CloseConnections() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& pipe : pipes_) {
    pipe->PostClose();
  }
  pipes_.clear();
}

}  // namespace greengage
