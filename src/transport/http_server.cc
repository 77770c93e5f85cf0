#include "greengage/transport/http_server.h"

#include <boost/asio.hpp>

#include <atomic>
#include <mutex>
#include <unordered_set>
#include <utility>
#include <vector>

#include "greengage/transport/guard.h"
#include "transport/http_session.h"
#include "transport/socket_address.h"

namespace greengage {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Delay after a failed accept, for example if file descriptors are exhausted.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

class Listener : public HttpServer,
                 public HttpSessionHost,
                 public std::enable_shared_from_this<Listener> {
 public:
  Listener(asio::io_context& context,
           tcp::acceptor acceptor,
           HttpServerLimits limits,
           HttpHandler handler)
      : handler_(std::move(handler)),
        context_(context),
        acceptor_(std::move(acceptor)),
        accept_timer_(acceptor_.get_executor()),
        limits_(std::move(limits)) {}

  void Accept() {
    acceptor_.async_accept(
        asio::make_strand(context_),
        [self = shared_from_this()](boost::system::error_code error,
                                    tcp::socket socket) {
          self->OnAccept(error, std::move(socket));
        });
  }

  Endpoint endpoint() const override {
    boost::system::error_code error;
    const tcp::endpoint local = acceptor_.local_endpoint(error);
    return Endpoint{local.address().to_string(), local.port()};
  }

  size_t connections() const override {
    const std::lock_guard lock(mutex_);
    return sessions_.size();
  }

  size_t unanswered() const override { return unanswered_; }

  void DisableKeepAlive() override { keep_alive_disabled_ = true; }

  bool keep_alive_disabled() const override { return keep_alive_disabled_; }

  void StopAccepting() override {
    asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
      self->CloseListener();
      for (const auto& session : self->StopAndListSessions()) {
        session->CloseWhenIdle();
      }
    });
  }

  void Remove(HttpSession* session) override {
    const std::lock_guard lock(mutex_);
    sessions_.erase(session);
  }

  void OnExchangeStarted() override { ++unanswered_; }

  void OnExchangeEnded() override { --unanswered_; }

  HttpServerLimits limits() const override {
    const std::lock_guard lock(mutex_);
    return limits_;
  }

  void SetLimits(const HttpServerLimits& limits) override {
    const std::lock_guard lock(mutex_);
    limits_ = limits;
  }
  const HttpHandler& handler() const override { return handler_; }

 private:
  void OnAccept(boost::system::error_code error, tcp::socket socket) {
    if (!error) {
      RunGuarded("connection", [&] { StartSession(std::move(socket)); });
    }
    if (!acceptor_.is_open()) {
      return;
    }
    if (error) {
      ScheduleAccept();
    } else {
      Accept();
    }
  }

  void ScheduleAccept() {
    accept_timer_.expires_after(kAcceptRetryDelay);
    accept_timer_.async_wait([self = shared_from_this()](auto error) {
      if (!error && self->acceptor_.is_open()) {
        self->Accept();
      }
    });
  }

  // Accepts the connections in the backlog first, because closing the listener
  // would reset them.
  void CloseListener() {
    boost::system::error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
      tcp::socket socket(asio::make_strand(context_));
      acceptor_.accept(socket, error);
      if (!error) {
        StartSession(std::move(socket));
      }
    }
    acceptor_.close(error);
  }

  // The destructor of a session locks the mutex in Remove(), so the last
  // reference to a session must not be released while the mutex is held.
  std::vector<std::shared_ptr<HttpSession>> StopAndListSessions() {
    std::vector<std::shared_ptr<HttpSession>> sessions;
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    for (HttpSession* session : sessions_) {
      sessions.push_back(session->weak_from_this().lock());
    }
    std::erase(sessions, nullptr);
    return sessions;
  }

  void StartSession(tcp::socket socket) {
    if (connections() >= limits().connections) {
      return;  // Closes the socket.
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto session = std::make_shared<HttpSession>(
        std::move(socket), shared_from_this(), ++accepted_);
    bool stopped = false;
    {
      const std::lock_guard lock(mutex_);
      stopped = stopped_;
      sessions_.insert(session.get());
    }
    session->Start();
    // Its accept may have been completed before the listener was closed.
    if (stopped) {
      session->CloseWhenIdle();
    }
  }

  const HttpHandler handler_;
  asio::io_context& context_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  mutable std::mutex mutex_;
  HttpServerLimits limits_;
  std::unordered_set<HttpSession*> sessions_;
  bool stopped_ = false;
  std::atomic<uint64_t> accepted_{0};
  std::atomic<size_t> unanswered_{0};
  std::atomic<bool> keep_alive_disabled_{false};
};

}  // namespace

Result<std::shared_ptr<HttpServer>> HttpServer::Listen(
    asio::io_context& context,
    const Endpoint& endpoint,
    HttpServerLimits limits,
    HttpHandler handler) {
  tcp::acceptor acceptor(asio::make_strand(context));
  const Result<Done> opened = OpenListener(acceptor, endpoint);
  if (!opened) {
    return opened.last_reason();
  }
  const auto listener = std::make_shared<Listener>(
      context, std::move(acceptor), std::move(limits), std::move(handler));
  listener->Accept();
  return std::shared_ptr<HttpServer>(listener);
}

}  // namespace greengage
