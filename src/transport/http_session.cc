#include "transport/http_session.h"

#include <atomic>
#include <chrono>
#include <utility>

#include "greengage/transport/guard.h"
#include "greengage/transport/log_line.h"
#include "transport/clock.h"
#include "transport/http_framing.h"
#include "transport/http_target.h"

namespace greengage {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

// Time for which input is read and discarded after the last response of a
// connection.
constexpr std::chrono::milliseconds kLingerTimeout{500};

// Time during a shutdown for which a new connection may still send a request.
constexpr std::chrono::milliseconds kFirstRequestTimeout{500};

// Time for input that came before the read timeout to be read after it.
constexpr std::chrono::milliseconds kReadExtension{50};

// Bytes that one read may add to the head of a request, or to input that is
// discarded.
constexpr size_t kReadBytes = size_t{16} * 1024;

constexpr unsigned kInternalError = 500;
constexpr unsigned kUnavailable = 503;

// Throws if a header is too long for a Beast message.
http::response<http::string_body> ToMessage(HttpResponse response,
                                            bool keep_alive) {
  http::response<http::string_body> message;
  message.version(11);
  message.result(response.status);
  message.keep_alive(keep_alive);
  if (!response.body.empty() && !response.content_type.empty()) {
    message.set(http::field::content_type, response.content_type);
  }
  for (const auto& [name, value] : response.headers) {
    message.insert(name, value);
  }
  message.body() = std::move(response.body);
  message.prepare_payload();
  return message;
}

class Exchange : public HttpExchange {
 public:
  Exchange(std::shared_ptr<HttpSession> session,
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

  void OnClientDisconnected(std::function<void()> hook) override {
    session_->SetDisconnectHook(std::move(hook));
  }

 private:
  const std::shared_ptr<HttpSession> session_;
  const asio::any_io_executor executor_;
  const uint64_t number_;
  std::atomic<bool> answered_{false};
};

}  // namespace

HttpSession::HttpSession(tcp::socket socket,
                         std::shared_ptr<HttpSessionHost> host,
                         uint64_t number)
    : socket_(std::move(socket)),
      timeout_(socket_.get_executor()),
      host_(std::move(host)),
      number_(number) {}

HttpSession::~HttpSession() {
  if (socket_.is_open()) {
    LogCut("end_of_server");
  }
  EndExchange();
  host_->Remove(this);
}

void HttpSession::Start() {
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->WaitForRequest(); });
}

void HttpSession::SetTimeout(std::chrono::milliseconds timeout) {
  timeout_.Set(timeout, [weak = weak_from_this()] {
    if (const std::shared_ptr<HttpSession> self = weak.lock()) {
      self->OnTimeout();
    }
  });
}

// A late process may find the expiry before input that came in time, so input
// that waits is read first, and a read gets a short extension.
void HttpSession::OnTimeout() {
  if (awaiting_request_ && HasInput()) {
    return;
  }
  if (parser_ && !std::exchange(read_extended_, true)) {
    SetTimeout(kReadExtension);
    return;
  }
  LogCut("timeout");
  Close();
}

void HttpSession::StartExchange() {
  handling_ = true;
  host_->OnExchangeStarted();
}

void HttpSession::EndExchange() {
  writing_ = false;
  if (std::exchange(handling_, false)) {
    host_->OnExchangeEnded();
  }
}

void HttpSession::LogCut(std::string_view cause) const {
  if (!handling_ && !parser_) {
    return;
  }
  LogLine(DecisionEvent::kConnectionCut)
      .Add("connection", number_)
      .Add("request", handling_ ? exchange_ : exchange_ + 1)
      .Add("state", writing_    ? "answered"
                    : handling_ ? "handled"
                                : "read")
      .Add("cause", cause)
      .Write();
}

void HttpSession::Close() {
  EndExchange();
  if (memory_) {
    memory_->Release();
  }
  boost::system::error_code ignored;
  socket_.close(ignored);
  timeout_.Cancel();
}

void HttpSession::CloseWhenIdle() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->close_when_idle_ = true;
    if (!self->handling_ && !self->HasInput()) {
      self->CloseUnusedConnection();
    }
  });
}

bool HttpSession::HasInput() const {
  boost::system::error_code error;
  return parser_ || buffer_.size() > 0 || socket_.available(error) > 0;
}

// Waits a short time if the connection is new, because its first request may be
// in transit.
void HttpSession::CloseUnusedConnection() {
  if (exchange_ == 0) {
    SetTimeout(kFirstRequestTimeout);
  } else {
    Close();
  }
}

// Closing a socket with unread input resets the connection, and the client may
// lose the response. Therefore reads and discards input for a limited time.
void HttpSession::Linger() {
  boost::system::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  SetTimeout(kLingerTimeout);
  DiscardInput();
}

void HttpSession::DiscardInput() {
  buffer_.clear();
  socket_.async_read_some(buffer_.prepare(kReadBytes),
                          [self = shared_from_this()](auto error, size_t) {
                            if (error) {
                              self->Close();
                            } else {
                              self->DiscardInput();
                            }
                          });
}

// The idle timeout applies until the first byte of a request arrives, the read
// timeout from then on.
void HttpSession::WaitForRequest() {
  if (buffer_.size() > 0) {
    ReadRequest();
    return;
  }
  if (close_when_idle_ && !HasInput()) {
    Close();
    return;
  }
  SetTimeout(host_->limits().idle_timeout);
  awaiting_request_ = true;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](auto error) {
                       if (!error) {
                         self->ReadRequest();
                       }
                     });
}

void HttpSession::ReadRequest() {
  awaiting_request_ = false;
  request_limits_ = host_->limits();
  SetTimeout(request_limits_.read_timeout);
  read_extended_ = false;
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(
      static_cast<std::uint32_t>(request_limits_.header_bytes));
  parser_->body_limit(request_limits_.body_bytes);
  // The parser leaves the line of a chunk's size and the trailer in the buffer
  // until they are complete, without a limit.
  buffer_.max_size(request_limits_.header_bytes + kReadBytes);
  received_bytes_ = 0;
  ReadMore();
}

void HttpSession::ReadMore() {
  http::async_read_some(socket_, buffer_, *parser_,
                        [self = shared_from_this()](auto error, size_t size) {
                          self->OnReadSome(error, size);
                        });
}

void HttpSession::OnReadSome(boost::system::error_code error, size_t size) {
  if (!socket_.is_open() || error || parser_->is_done()) {
    if (memory_) {
      memory_->Release();
    }
    OnRequest(error);
    return;
  }
  received_bytes_ += size;
  if (received_bytes_ > MaxMessageBytes(request_limits_.header_bytes,
                                        request_limits_.body_bytes)) {
    RejectRequest(http::error::body_limit);
  } else if (!HasMemory()) {
    RejectRequest(kUnavailable, "overloaded",
                  "unfinished messages use up the memory for them");
  } else {
    ReadMore();
  }
}

bool HttpSession::HasMemory() {
  if (!request_limits_.receive_budget) {
    return true;
  }
  if (!memory_) {
    memory_.emplace(request_limits_.receive_budget, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        asio::post(self->socket_.get_executor(), [self] { self->OnEvicted(); });
      }
    });
  }
  return memory_->Resize(Now(),
                         buffer_.size() + parser_->get().body().capacity());
}

void HttpSession::OnEvicted() {
  if (memory_->evicted()) {
    LogCut("memory");
    Close();
  }
}

void HttpSession::OnRequest(boost::system::error_code error) {
  if (!socket_.is_open()) {
    return;
  }
  if (!error && HasUnknownTransferCoding(parser_->get())) {
    error = http::error::bad_transfer_encoding;
  }
  if (!error && parser_->get().count(http::field::host) > 1) {
    error = http::error::bad_field;
  }
  if (error) {
    RejectRequest(error);
    return;
  }
  timeout_.Cancel();
  HttpRequest request;
  request.method = std::string(parser_->get().method_string());
  request.target = std::string(parser_->get().target());
  ParseTarget(request.target, request);
  for (const auto& field : parser_->get()) {
    request.headers.emplace_back(field.name_string(), field.value());
  }
  keep_alive_ = parser_->get().keep_alive();
  is_head_ = parser_->get().method() == http::verb::head;
  request.body = std::move(parser_->get().body());
  parser_.reset();
  StartExchange();
  disconnect_hook_ = nullptr;
  const uint64_t number = ++exchange_;
  const auto exchange = std::make_shared<Exchange>(
      shared_from_this(), socket_.get_executor(), number);
  WatchForDisconnect();
  const auto handle = [this, &request, &exchange] {
    host_->handler()(std::move(request), exchange);
  };
  if (!RunGuarded("request", handle)) {
    exchange->Reply(HttpResponse{.status = kInternalError});
  }
}

void HttpSession::RejectRequest(boost::system::error_code error) {
  const bool closed =
      error == http::error::end_of_stream ||
      error.category() !=
          http::make_error_code(http::error::bad_method).category();
  if (closed) {
    Close();
    return;
  }
  if (error == http::error::body_limit ||
      error == http::error::buffer_overflow) {
    RejectRequest(413, "too_large", error.message());
  } else if (error == http::error::header_limit) {
    RejectRequest(431, "too_large", error.message());
  } else {
    RejectRequest(400, "malformed_message", error.message());
  }
}

void HttpSession::RejectRequest(unsigned status,
                                std::string_view kind,
                                const std::string& detail) {
  HttpResponse response;
  response.status = status;
  response.body = "{\"error\": {\"kind\": \"" + std::string(kind) +
                  "\", \"subject\": \"request\", \"detail\": \"" + detail +
                  "\"}}";
  is_head_ = IsHead();
  parser_.reset();
  if (memory_) {
    memory_->Release();
  }
  StartExchange();
  Write(std::move(response), false);
}

// A request line that is too long stays in the buffer, without being parsed.
bool HttpSession::IsHead() const {
  const auto& request = parser_->get();
  if (!request.method_string().empty()) {
    return request.method() == http::verb::head;
  }
  constexpr std::string_view kHead = "HEAD ";
  const auto input = buffer_.data();
  return std::string_view(static_cast<const char*>(input.data()), input.size())
      .starts_with(kHead);
}

// The socket may be reported as readable for bytes that have been read since,
// so only a peek shows if the client has disconnected.
HttpSession::Input HttpSession::PeekInput() {
  boost::system::error_code error;
  socket_.non_blocking(true, error);
  char byte = 0;
  socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    return Input::kNone;
  }
  return error ? Input::kEndOfStream : Input::kBytes;
}

void HttpSession::WatchForDisconnect() {
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this(),
                                              number = exchange_](auto error) {
    if (error || !self->handling_ || self->exchange_ != number) {
      return;
    }
    switch (self->PeekInput()) {
      case Input::kNone:
        self->WatchForDisconnect();
        return;
      case Input::kBytes:
        return;
      case Input::kEndOfStream:
        break;
    }
    const std::function<void()> hook =
        std::exchange(self->disconnect_hook_, nullptr);
    self->Close();
    if (hook) {
      RunGuarded("disconnected_caller", hook);
    }
  });
}

void HttpSession::Reply(uint64_t exchange, HttpResponse response) {
  if (!handling_ || exchange != exchange_ || !socket_.is_open()) {
    return;
  }
  Write(std::move(response),
        keep_alive_ && !close_when_idle_ && !host_->keep_alive_disabled());
}

// Clears the hook, which may hold the exchange and thereby keep this session
// alive.
void HttpSession::Abort() {
  disconnect_hook_ = nullptr;
  Close();
}

void HttpSession::Write(HttpResponse response, bool keep_alive) {
  disconnect_hook_ = nullptr;
  const auto convert = [this, &response, keep_alive] {
    response_ = ToMessage(std::move(response), keep_alive);
  };
  if (!RunGuarded("response", convert)) {
    response_ = ToMessage(HttpResponse{.status = kInternalError}, keep_alive);
  }
  if (is_head_) {
    response_.body().clear();  // Content-Length stays.
  }
  writing_ = true;
  SetTimeout(host_->limits().write_timeout);
  http::async_write(
      socket_, response_,
      [self = shared_from_this(), keep_alive](auto error, size_t) {
        self->EndExchange();
        self->timeout_.Cancel();
        if (error) {
          self->Close();
        } else if (!keep_alive) {
          self->Linger();
        } else {
          self->WaitForRequest();
        }
      });
}

}  // namespace greengage
