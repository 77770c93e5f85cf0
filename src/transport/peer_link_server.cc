// Implements PeerServer: accepts connections and stops them together.
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <mutex>
#include <unordered_map>
#include <utility>

#include "greengage/transport/peer_link.h"
#include "transport/peer_server_connection.h"
#include "transport/socket_address.h"

namespace greengage {
namespace {

namespace asio = boost::asio;

// Delay after a failed accept, for example if file descriptors are exhausted.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

class PeerServerImpl : public PeerServer,
                       public std::enable_shared_from_this<PeerServerImpl> {
 public:
  PeerServerImpl(asio::io_context& context,
                 PeerLimits limits,
                 PeerHandler handler)
      : context_(context),
        limits_(limits),
        handler_(std::move(handler)),
        strand_(asio::make_strand(context)),
        acceptor_(strand_),
        accept_timer_(strand_) {}

  Result<Done> Open(const Endpoint& endpoint) {
    Result<Done> opened = OpenListener(acceptor_, endpoint);
    if (opened) {
      boost::system::error_code ignored;
      endpoint_ = FromSocket(acceptor_.local_endpoint(ignored));
      asio::post(strand_, [self = shared_from_this()] { self->Accept(); });
    }
    return opened;
  }

  Endpoint endpoint() const override { return endpoint_; }

  void Stop(std::function<void()> stopped) override {
    asio::post(strand_, [self = shared_from_this(),
                         stopped = std::move(stopped)]() mutable {
      self->StopOnStrand(std::move(stopped));
    });
  }

 private:
  void Accept() {
    if (!acceptor_.is_open()) {
      return;
    }
    const Http2Connection::Strand strand = asio::make_strand(context_);
    acceptor_.async_accept(
        asio::any_io_executor(strand),
        asio::bind_executor(strand_, [self = shared_from_this(), strand](
                                         boost::system::error_code error,
                                         asio::ip::tcp::socket socket) {
          self->OnAccepted(error, std::move(socket), strand);
        }));
  }

  void OnAccepted(const boost::system::error_code& error,
                  asio::ip::tcp::socket socket,
                  const Http2Connection::Strand& strand) {
    if (!acceptor_.is_open()) {
      return;
    }
    if (error) {
      ScheduleAccept();
      return;
    }
    StartConnection(std::move(socket), strand);
    Accept();
  }

  void ScheduleAccept() {
    accept_timer_.expires_after(kAcceptRetryDelay);
    accept_timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code error) {
          if (!error) {
            self->Accept();
          }
        });
  }

  void StartConnection(asio::ip::tcp::socket socket,
                       const Http2Connection::Strand& strand) {
    const auto connection = std::make_shared<PeerServerConnection>(
        std::move(socket), strand, limits_, handler_,
        [self = shared_from_this()](PeerServerConnection* closed) {
          asio::post(self->strand_, [self, closed] { self->Remove(closed); });
        });
    connections_.emplace(connection.get(), connection);
    connection->Start();
  }

  void Remove(PeerServerConnection* connection) {
    connections_.erase(connection);
    ReportStopped();
  }

  void StopOnStrand(std::function<void()> stopped) {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel();
    stopping_ = true;
    stopped_ = std::move(stopped);
    for (const auto& [key, connection] : connections_) {
      connection->Stop();
    }
    ReportStopped();
  }

  void ReportStopped() {
    if (!stopping_ || !connections_.empty()) {
      return;
    }
    if (const auto stopped = std::exchange(stopped_, nullptr)) {
      stopped();
    }
  }

  asio::io_context& context_;
  const PeerLimits limits_;
  const PeerHandler handler_;
  const Http2Connection::Strand strand_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  Endpoint endpoint_;
  std::unordered_map<PeerServerConnection*,
                     std::shared_ptr<PeerServerConnection>>
      connections_;
  std::function<void()> stopped_;
  bool stopping_ = false;
};

}  // namespace

Result<std::shared_ptr<PeerServer>> PeerServer::Listen(
    asio::io_context& context,
    const Endpoint& endpoint,
    PeerLimits limits,
    PeerHandler handler) {
  const auto server =
      std::make_shared<PeerServerImpl>(context, limits, std::move(handler));
  const Result<Done> opened = server->Open(endpoint);
  if (!opened) {
    return opened.last_reason();
  }
  return std::shared_ptr<PeerServer>(server);
}

}  // namespace greengage
