#include "greengage/transport/http_server.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <mutex>
#include <unordered_set>

#include "transport/http_target.h"

namespace greengage {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

class Listener;

// How long input is still read after the last answer of a connection.
constexpr std::chrono::milliseconds kLingerTimeout{500};

// How long a new connection may still bring a request during a stop.
constexpr std::chrono::milliseconds kFirstRequestTimeout{500};
constexpr size_t kDiscardBytes = size_t{16} * 1024;

// One connection: reads a request, waits for its answer, and so on. All
// members run on the socket's strand.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket,
          std::shared_ptr<Listener> listener,
          uint64_t number);
  ~Session();

  uint64_t number() const { return number_; }

  void Start();
  void Reply(uint64_t exchange, HttpResponse response);
  void Abort();
  void CloseWhenIdle();
  void SetAbandonedHook(std::function<void()> hook) {
    abandoned_hook_ = std::move(hook);
  }

 private:
  // What waits on the socket: nothing yet, the next request, or its end.
  enum class Input : uint8_t { kNone, kBytes, kEnded };

  void WaitForRequest();
  void ReadRequest();
  void OnRequest(boost::system::error_code error);
  void RejectRequest(boost::system::error_code error);
  Input LookAtInput();
  void WatchForAbandon();
  void Write(HttpResponse response, bool keep_alive);
  void SetTimeout(std::chrono::milliseconds timeout);
  bool HasInput() const;
  void CloseUnusedConnection();
  void Linger();
  void DiscardInput();
  void Close();

  tcp::socket socket_;
  asio::steady_timer timer_;
  std::shared_ptr<Listener> listener_;
  const uint64_t number_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  std::function<void()> abandoned_hook_;
  uint64_t exchange_ = 0;
  bool handling_ = false;
  bool keep_alive_ = true;
  bool close_when_idle_ = false;
};

class Exchange : public HttpExchange {
 public:
  Exchange(std::shared_ptr<Session> session,
           asio::any_io_executor executor,
           uint64_t number)
      : session_(std::move(session)),
        executor_(std::move(executor)),
        number_(number) {}

  void Reply(HttpResponse response) override {
    if (answered_.exchange(true)) {
      return;
    }
    asio::post(executor_, [session = session_, number = number_,
                           response = std::move(response)]() mutable {
      session->Reply(number, std::move(response));
    });
  }

  uint64_t connection() const override { return session_->number(); }

  void Abort() override {
    if (!answered_.exchange(true)) {
      asio::post(executor_, [session = session_] { session->Abort(); });
    }
  }

  void OnAbandoned(std::function<void()> hook) override {
    session_->SetAbandonedHook(std::move(hook));
  }

 private:
  const std::shared_ptr<Session> session_;
  const asio::any_io_executor executor_;
  const uint64_t number_;
  std::atomic<bool> answered_{false};
};

class Listener : public HttpServer,
                 public std::enable_shared_from_this<Listener> {
 public:
  Listener(asio::io_context& context,
           tcp::acceptor acceptor,
           const HttpServerLimits& limits,
           HttpHandler handler)
      : limits_(limits),
        handler_(std::move(handler)),
        context_(context),
        acceptor_(std::move(acceptor)) {}

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

  void EndKeepAlive() override { keep_alive_ended_ = true; }

  bool keep_alive_ended() const { return keep_alive_ended_; }

  void StopAccepting() override {
    asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
      self->CloseListener();
      for (const auto& session : self->StopAndListSessions()) {
        session->CloseWhenIdle();
      }
    });
  }

  void Remove(Session* session) {
    const std::lock_guard lock(mutex_);
    sessions_.erase(session);
  }

  const HttpServerLimits& limits() const { return limits_; }
  const HttpHandler& handler() const { return handler_; }

 private:
  void OnAccept(boost::system::error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
      return;
    }
    if (!error) {
      StartSession(std::move(socket));
    }
    Accept();
  }

  // Connections that the system has accepted already are taken over, since
  // closing the listener would reset them.
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

  // Sessions remove themselves under the lock when they end, so their last
  // reference must not be given up while it is held.
  std::vector<std::shared_ptr<Session>> StopAndListSessions() {
    std::vector<std::shared_ptr<Session>> sessions;
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    for (Session* session : sessions_) {
      sessions.push_back(session->weak_from_this().lock());
    }
    std::erase(sessions, nullptr);
    return sessions;
  }

  void StartSession(tcp::socket socket) {
    if (connections() >= limits_.connections) {
      return;  // Closes the socket.
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto session = std::make_shared<Session>(
        std::move(socket), shared_from_this(), ++accepted_);
    {
      const std::lock_guard lock(mutex_);
      if (stopped_) {
        return;
      }
      sessions_.insert(session.get());
    }
    session->Start();
  }

  const HttpServerLimits limits_;
  const HttpHandler handler_;
  asio::io_context& context_;
  tcp::acceptor acceptor_;
  mutable std::mutex mutex_;
  std::unordered_set<Session*> sessions_;
  bool stopped_ = false;
  std::atomic<uint64_t> accepted_{0};
  std::atomic<bool> keep_alive_ended_{false};
};

Session::Session(tcp::socket socket,
                 std::shared_ptr<Listener> listener,
                 uint64_t number)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      listener_(std::move(listener)),
      number_(number) {}

Session::~Session() {
  listener_->Remove(this);
}

void Session::Start() {
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->WaitForRequest(); });
}

void Session::SetTimeout(std::chrono::milliseconds timeout) {
  timer_.expires_after(timeout);
  timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    const std::shared_ptr<Session> self = weak.lock();
    // A timer that was set again fires with an error.
    if (!error && self) {
      self->Close();
    }
  });
}

void Session::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
}

void Session::CloseWhenIdle() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->close_when_idle_ = true;
    if (!self->handling_ && !self->HasInput()) {
      self->CloseUnusedConnection();
    }
  });
}

bool Session::HasInput() const {
  boost::system::error_code error;
  return parser_ || buffer_.size() > 0 || socket_.available(error) > 0;
}

// A new connection's first request may be on its way.
void Session::CloseUnusedConnection() {
  if (exchange_ == 0) {
    SetTimeout(kFirstRequestTimeout);
  } else {
    Close();
  }
}

// Closing a socket that has unread input resets the connection, and the client
// may lose the answer. So what still comes in is read and dropped for a while.
void Session::Linger() {
  boost::system::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  SetTimeout(kLingerTimeout);
  DiscardInput();
}

void Session::DiscardInput() {
  buffer_.clear();
  socket_.async_read_some(buffer_.prepare(kDiscardBytes),
                          [self = shared_from_this()](auto error, size_t) {
                            if (error) {
                              self->Close();
                            } else {
                              self->DiscardInput();
                            }
                          });
}

// The idle timeout counts until the first byte, the read timeout from there.
void Session::WaitForRequest() {
  if (buffer_.size() > 0) {
    ReadRequest();
    return;
  }
  if (close_when_idle_) {
    Close();
    return;
  }
  SetTimeout(listener_->limits().idle_timeout);
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](auto error) {
                       if (!error) {
                         self->ReadRequest();
                       }
                     });
}

void Session::ReadRequest() {
  SetTimeout(listener_->limits().read_timeout);
  parser_.emplace();
  parser_->header_limit(
      static_cast<std::uint32_t>(listener_->limits().header_bytes));
  parser_->body_limit(listener_->limits().body_bytes);
  http::async_read(socket_, buffer_, *parser_,
                   [self = shared_from_this()](auto error, size_t) {
                     self->OnRequest(error);
                   });
}

void Session::OnRequest(boost::system::error_code error) {
  if (error) {
    RejectRequest(error);
    return;
  }
  timer_.cancel();
  HttpRequest request;
  request.method = std::string(parser_->get().method_string());
  ParseTarget(parser_->get().target(), request);
  keep_alive_ = parser_->get().keep_alive();
  request.body = std::move(parser_->get().body());
  parser_.reset();
  handling_ = true;
  abandoned_hook_ = nullptr;
  const uint64_t number = ++exchange_;
  const auto exchange = std::make_shared<Exchange>(
      shared_from_this(), socket_.get_executor(), number);
  WatchForAbandon();
  listener_->handler()(std::move(request), exchange);
}

void Session::RejectRequest(boost::system::error_code error) {
  const bool closed =
      error == http::error::end_of_stream ||
      error.category() !=
          http::make_error_code(http::error::bad_method).category();
  if (closed) {
    Close();
    return;
  }
  HttpResponse response;
  response.status = 400;
  std::string_view kind = "malformed_message";
  if (error == http::error::body_limit) {
    response.status = 413;
    kind = "too_large";
  } else if (error == http::error::header_limit) {
    response.status = 431;
    kind = "too_large";
  }
  response.body = "{\"error\": {\"kind\": \"" + std::string(kind) +
                  "\", \"subject\": \"request\", \"detail\": \"" +
                  error.message() + "\"}}";
  handling_ = true;
  Write(std::move(response), false);
}

// Readiness may have been reported for bytes that were read meanwhile, so that
// only a look at the socket tells whether the client has gone.
Session::Input Session::LookAtInput() {
  boost::system::error_code error;
  socket_.non_blocking(true, error);
  char byte = 0;
  socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    return Input::kNone;
  }
  return error ? Input::kEnded : Input::kBytes;
}

void Session::WatchForAbandon() {
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this(),
                                              number = exchange_](auto error) {
    if (error || !self->handling_ || self->exchange_ != number) {
      return;
    }
    switch (self->LookAtInput()) {
      case Input::kNone:
        self->WatchForAbandon();
        return;
      case Input::kBytes:
        return;
      case Input::kEnded:
        break;
    }
    const std::function<void()> hook =
        std::exchange(self->abandoned_hook_, nullptr);
    self->Close();
    if (hook) {
      hook();
    }
  });
}

void Session::Reply(uint64_t exchange, HttpResponse response) {
  if (!handling_ || exchange != exchange_ || !socket_.is_open()) {
    return;
  }
  Write(std::move(response),
        keep_alive_ && !close_when_idle_ && !listener_->keep_alive_ended());
}

// The hook may keep this session alive through its exchange.
void Session::Abort() {
  abandoned_hook_ = nullptr;
  Close();
}

void Session::Write(HttpResponse response, bool keep_alive) {
  abandoned_hook_ = nullptr;
  response_ = {};
  response_.version(11);
  response_.result(response.status);
  response_.keep_alive(keep_alive);
  if (!response.body.empty()) {
    response_.set(http::field::content_type, response.content_type);
  }
  for (const auto& [name, value] : response.headers) {
    response_.set(name, value);
  }
  response_.body() = std::move(response.body);
  response_.prepare_payload();
  SetTimeout(listener_->limits().write_timeout);
  http::async_write(
      socket_, response_,
      [self = shared_from_this(), keep_alive](auto error, size_t) {
        self->handling_ = false;
        self->timer_.cancel();
        if (error) {
          self->Close();
        } else if (!keep_alive) {
          self->Linger();
        } else {
          self->WaitForRequest();
        }
      });
}

}  // namespace

Result<std::shared_ptr<HttpServer>> HttpServer::Listen(
    asio::io_context& context,
    const Endpoint& endpoint,
    HttpServerLimits limits,
    HttpHandler handler) {
  boost::system::error_code error;
  const auto address = asio::ip::make_address(endpoint.host, error);
  if (error) {
    return Failure{FailureKind::kInvalidArgument, ToString(endpoint),
                   "not an IP number"};
  }
  tcp::acceptor acceptor(asio::make_strand(context));
  const tcp::endpoint local(address, endpoint.port);
  acceptor.open(local.protocol(), error);
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(local, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Failure{FailureKind::kAddressInUse, ToString(endpoint),
                   error.message()};
  }
  const auto listener = std::make_shared<Listener>(context, std::move(acceptor),
                                                   limits, std::move(handler));
  listener->Accept();
  return std::shared_ptr<HttpServer>(listener);
}

}  // namespace greengage
