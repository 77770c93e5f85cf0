#include "tests/harness/tcp_relay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <optional>
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

  void PostReset() {
    asio::post(ends_[0].get_executor(), [self = shared_from_this()] {
      boost::system::error_code ignored;
      for (tcp::socket& end : self->ends_) {
        end.set_option(asio::socket_base::linger(true, 0), ignored);
      }
      self->Close();
    });
  }

  // While `hung` is set, what arrives is kept and not forwarded.
  void PostHung(bool hung) {
    asio::post(ends_[0].get_executor(), [self = shared_from_this(), hung] {
      self->hung_ = hung;
      if (!hung) {
        self->ForwardKept();
      }
    });
  }

 private:
  void Forward(size_t from) {
    ends_[from].async_read_some(
        asio::buffer(buffers_[from]),
        [self = shared_from_this(), from](auto error, size_t size) {
          if (self->silent_) {
            return;
          }
          if (self->hung_) {
            self->kept_[from] = error ? 0 : size;
          } else if (error) {
            self->Close();
          } else {
            self->Write(from, size);
          }
        });
  }

  void ForwardKept() {
    for (size_t from = 0; from < ends_.size(); ++from) {
      const std::optional<size_t> size = std::exchange(kept_[from], {});
      if (size == 0) {
        Close();
      } else if (size) {
        Write(from, *size);
      }
    }
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
  // Bytes that were read while hung; zero for the end of the connection.
  std::array<std::optional<size_t>, 2> kept_;
  bool hung_ = false;
  std::atomic<bool> silent_ = false;
};

TcpRelay::TcpRelay(asio::io_context& context, const Endpoint& target)
    : context_(context),
      target_(target),
      acceptor_(asio::make_strand(context),
                tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      address_(acceptor_.local_endpoint()) {}

std::shared_ptr<TcpRelay> TcpRelay::Start(asio::io_context& context,
                                          const Endpoint& target) {
  std::shared_ptr<TcpRelay> relay(new TcpRelay(context, target));
  relay->Accept();
  return relay;
}

Endpoint TcpRelay::endpoint() const {
  return {"127.0.0.1", address_.port()};
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
    if (self->cut_ == RelayCut::kReset) {
      ++self->accepted_;
      pipe->PostReset();
      self->Accept();
      return;
    }
    if (self->cut_ == RelayCut::kHang) {
      pipe->PostHung(true);
    }
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

void TcpRelay::Cut(RelayCut cut) {
  asio::post(acceptor_.get_executor(),
             [self = shared_from_this(), cut] { self->ApplyCut(cut); });
}

void TcpRelay::ApplyCut(RelayCut cut) {
  const RelayCut previous = std::exchange(cut_, cut);
  if (previous == RelayCut::kRefuseNew && cut != RelayCut::kRefuseNew) {
    ListenAgain();
  } else if (previous != RelayCut::kRefuseNew && cut == RelayCut::kRefuseNew) {
    RefuseConnections();
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& pipe : pipes_) {
    pipe->PostHung(cut == RelayCut::kHang);
    if (cut == RelayCut::kReset) {
      pipe->PostReset();
    }
  }
  if (cut == RelayCut::kReset) {
    pipes_.clear();
  }
}

// A socket that is bound and does not listen refuses connections, and no other
// process can be given its port meanwhile.
void TcpRelay::RefuseConnections() {
  acceptor_.close();
  acceptor_.open(address_.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(address_);
}

void TcpRelay::ListenAgain() {
  acceptor_.listen();
  Accept();
}

}  // namespace greengage
