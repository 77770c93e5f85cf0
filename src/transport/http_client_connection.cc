#include "transport/http_client_connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <string>
#include <utility>

#include "greengage/transport/guard.h"
#include "transport/clock.h"
#include "transport/http_framing.h"

namespace greengage {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr size_t kReadBytes = 4096;
constexpr unsigned kHttp11 = 11;
// Other statuses are invalid (RFC 9110, section 15), so that a caller could not
// interpret them.
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
// TCP_USER_TIMEOUT: the connection is closed if the kernel of the peer does not
// acknowledge sent bytes for this time. The searcher process has no influence.
constexpr std::chrono::milliseconds kAcknowledgeTimeout{800};

// Interim answers and late answers to other calls that are skipped before the
// answer to a call.
constexpr size_t kMaxSkippedResponses = 16;

// TCP keep-alive detects an unresponsive connection that is idle or waits for a
// response within about 3 s.
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

void SetKeepAlive(int socket) {
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIntervalSeconds,
             sizeof(kKeepAliveIntervalSeconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalSeconds,
             sizeof(kKeepAliveIntervalSeconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes,
             sizeof(kKeepAliveProbes));
}

void SetAcknowledgeTimeout(int socket) {
  const auto timeout = static_cast<unsigned>(kAcknowledgeTimeout.count());
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

// Host and Content-Type may occur only once, so they replace the default
// values.
template <typename Request>
void SetHeaders(const HeaderList& headers, Request& request) {
  for (const auto& [name, value] : headers) {
    const http::field field = http::string_to_field(name);
    if (field == http::field::host || field == http::field::content_type) {
      request.set(field, value);
    } else {
      request.insert(name, value);
    }
  }
}

// Returns whether requests of this method have a body, so that an empty one
// needs a length. Beast's prepare_payload() also knows that, but throws for a
// TRACE request with a body, which a caller may send.
bool DefinesBody(http::verb method) {
  return method == http::verb::options || method == http::verb::post ||
         method == http::verb::put;
}

Failure Describe(FailureKind kind, std::string detail) {
  return {kind, "server", std::move(detail)};
}

}  // namespace

HttpClientConnection::HttpClientConnection(Id id,
                                           const Strand& strand,
                                           const HttpClientLimits& limits,
                                           std::shared_ptr<const Hooks> hooks)
    : id_(id),
      strand_(strand),
      limits_(limits),
      hooks_(std::move(hooks)),
      socket_(strand),
      connect_timer_(strand) {}

void HttpClientConnection::Connect(const asio::ip::tcp::endpoint& server) {
  connect_timer_.expires_after(limits_.connect_timeout);
  connect_timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        if (!error && !self->connected_) {
          self->Close(Describe(FailureKind::kConnectFailed, "timed out"));
        }
      });
  socket_.async_connect(
      server, asio::bind_executor(
                  strand_,
                  [self = shared_from_this()](boost::system::error_code error) {
                    self->OnConnected(error);
                  }));
}

void HttpClientConnection::OnConnected(const boost::system::error_code& error) {
  if (closed_) {
    return;
  }
  if (error) {
    refused_ = error == asio::error::connection_refused ||
               error == asio::error::connection_reset;
    Close(Describe(FailureKind::kConnectFailed, error.message()));
    return;
  }
  connected_ = true;
  connect_timer_.cancel();
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  SetAcknowledgeTimeout(socket_.native_handle());
  SetKeepAlive(socket_.native_handle());
  Read();
  hooks_->on_connected(id_);
}

bool HttpClientConnection::IsUsable() {
  if (closed_ || !connected_ || parser_) {
    return false;
  }
  char unexpected = 0;
  const ssize_t size = recv(socket_.native_handle(), &unexpected,
                            sizeof(unexpected), MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool HttpClientConnection::IsClosedByPeer() {
  char next = 0;
  const ssize_t size = recv(socket_.native_handle(), &next, sizeof(next),
                            MSG_PEEK | MSG_DONTWAIT);
  return closed_ || size == 0 ||
         (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void HttpClientConnection::Send(const HttpCall& call, const std::string& host) {
  sent_ = false;
  skip_body_ = call.method == "HEAD";
  skipped_responses_ = 0;
  check_ = call.check;
  if (!RunGuarded("call", [&] { SetRequest(call, host); })) {
    Close(Describe(FailureKind::kUnavailable, "the call cannot be written"));
    return;
  }
  ++calls_;
  ExpectResponse();
  Write();
}

void HttpClientConnection::SetRequest(const HttpCall& call,
                                      const std::string& host) {
  request_ = Request();
  request_.version(kHttp11);
  request_.method_string(call.method);
  request_.target(call.target);
  request_.set(http::field::host, host);
  if (!call.body.empty()) {
    request_.set(http::field::content_type, "application/json");
  }
  SetHeaders(call.headers, request_);
  request_.body() = call.body;
  if (!call.body.empty() || DefinesBody(request_.method())) {
    request_.content_length(call.body.size());
  }
  serializer_.emplace(request_);
}

void HttpClientConnection::ExpectResponse() {
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(limits_.header_bytes);
  parser_->body_limit(limits_.body_bytes);
  parser_->skip(skip_body_);
  received_bytes_ = input_.size();
}

void HttpClientConnection::Write() {
  while (!closed_ && serializer_ && !serializer_->is_done()) {
    boost::system::error_code error;
    const size_t size = http::write_some(socket_, *serializer_, error);
    sent_ = sent_ || size > 0;
    if (error == asio::error::would_block) {
      WaitWritable();
      return;
    }
    if (error) {
      Close(Describe(FailureKind::kConnectionClosed, error.message()));
      return;
    }
  }
  serializer_.reset();
}

void HttpClientConnection::WaitWritable() {
  socket_.async_wait(
      asio::ip::tcp::socket::wait_write,
      asio::bind_executor(strand_, [self = shared_from_this()](
                                       boost::system::error_code error) {
        if (!error) {
          self->Write();
        }
      }));
}

// Always pending, also on an idle connection, in order to detect that the peer
// closes it.
void HttpClientConnection::Read() {
  socket_.async_read_some(
      input_.prepare(kReadBytes),
      asio::bind_executor(
          strand_, [self = shared_from_this()](boost::system::error_code error,
                                               size_t size) {
            if (!self->closed_) {
              self->OnRead(error, size);
            }
          }));
}

void HttpClientConnection::OnRead(const boost::system::error_code& error,
                                  size_t size) {
  const auto handle = [this, &error, size] {
    if (error) {
      OnEndOfStream(error);
    } else {
      input_.commit(size);
      received_bytes_ += size;
      Parse();
    }
  };
  if (!RunGuarded("answer", handle)) {
    Close(Describe(FailureKind::kMalformedMessage,
                   "the answer cannot be handled"));
  }
  if (!closed_) {
    Read();
  }
}

void HttpClientConnection::Parse() {
  if (!parser_) {
    Close(Describe(FailureKind::kMalformedMessage, "bytes without a request"));
    return;
  }
  boost::system::error_code error;
  while (input_.size() > 0 && !parser_->is_done()) {
    const size_t used = parser_->put(input_.data(), error);
    input_.consume(used);
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      OnParseError(error);
      return;
    }
  }
  if (parser_->is_done()) {
    OnParsed();
    return;
  }
  if (IsWithinLimits()) {
    hooks_->on_progress(id_);
  }
}

// The parser limits the head and the body. It leaves the line of a chunk's size
// and the trailer in the buffer until they are complete, without a limit.
bool HttpClientConnection::IsWithinLimits() {
  if (input_.size() > limits_.header_bytes) {
    Close(Describe(FailureKind::kTooLarge,
                   "a line or trailer of a chunked body exceeds " +
                       std::to_string(limits_.header_bytes) + " bytes"));
    return false;
  }
  if (received_bytes_ >
      MaxMessageBytes(limits_.header_bytes, limits_.body_bytes)) {
    Close(Describe(FailureKind::kTooLarge, "the answer has too many bytes"));
    return false;
  }
  if (!limits_.receive_budget) {
    return true;
  }
  if (!memory_) {
    memory_.emplace(limits_.receive_budget, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        asio::post(self->strand_, [self] { self->OnEvicted(); });
      }
    });
  }
  const size_t held = input_.size() + parser_->get().body().capacity();
  if (!memory_->Resize(Now(), held)) {
    Close(Describe(FailureKind::kTooLarge,
                   "unfinished messages use up the memory for them"));
    return false;
  }
  return true;
}

// The response may have ended meanwhile.
void HttpClientConnection::OnEvicted() {
  if (memory_->evicted()) {
    Close(Describe(FailureKind::kTooLarge,
                   "the memory of the answer is needed for others"));
  }
}

void HttpClientConnection::SkipResponse(const char* reason) {
  if (++skipped_responses_ > kMaxSkippedResponses) {
    Close(Describe(FailureKind::kMalformedMessage, reason));
    return;
  }
  ExpectResponse();
  if (input_.size() > 0) {
    Parse();
  }
}

void HttpClientConnection::OnParsed() {
  if (memory_) {
    memory_->Release();
  }
  if (HasUnknownTransferCoding(parser_->get())) {
    Close(Describe(FailureKind::kMalformedMessage, "unknown transfer coding"));
    return;
  }
  const unsigned status = parser_->get().result_int();
  if (status < kMinStatus || status > kMaxStatus) {
    Close(Describe(FailureKind::kMalformedMessage, "no such status"));
    return;
  }
  if (http::to_status_class(status) == http::status_class::informational) {
    SkipResponse("too many interim answers");
    return;
  }
  bool reusable = parser_->get().keep_alive() && !parser_->need_eof() &&
                  input_.size() == 0 && !serializer_;
  const bool more_may_follow =
      parser_->get().keep_alive() && !parser_->need_eof();
  HttpCallResult result{TakeResponse(), true};
  parser_.reset();
  const HttpResponseMatch match =
      check_ ? check_(*result.response) : HttpResponseMatch::kMatch;
  if (match == HttpResponseMatch::kUnidentified) {
    if (calls_ > 1) {
      Close(Describe(FailureKind::kMalformedMessage,
                     "the answer may belong to an earlier request"));
      return;
    }
    reusable = false;
  }
  if (match == HttpResponseMatch::kMismatch) {
    if (!more_may_follow) {
      Close(Describe(FailureKind::kMalformedMessage,
                     "the answer belongs to another request"));
      return;
    }
    SkipResponse("too many answers to other requests");
    return;
  }
  if (!reusable) {
    Close(Describe(FailureKind::kConnectionClosed, "not to be kept"));
  }
  hooks_->on_response(id_, std::move(result));
}

HttpResponse HttpClientConnection::TakeResponse() {
  auto message = parser_->release();
  HttpResponse response;
  response.status = message.result_int();
  response.content_type = message[http::field::content_type];
  for (const auto& field : message) {
    response.headers.emplace_back(field.name_string(), field.value());
  }
  response.body = std::move(message.body());
  return response;
}

void HttpClientConnection::OnEndOfStream(
    const boost::system::error_code& error) {
  if (error == asio::error::eof && parser_ && parser_->got_some()) {
    boost::system::error_code parse_error;
    parser_->put_eof(parse_error);
    if (!parse_error && parser_->is_done()) {
      OnParsed();
      return;
    }
  }
  const bool silent = error == asio::error::timed_out;
  Close(Describe(
      silent ? FailureKind::kSilentConnection : FailureKind::kConnectionClosed,
      error.message()));
}

void HttpClientConnection::OnParseError(
    const boost::system::error_code& error) {
  const bool too_large =
      error == http::error::body_limit || error == http::error::header_limit;
  Close(Describe(
      too_large ? FailureKind::kTooLarge : FailureKind::kMalformedMessage,
      error.message()));
}

void HttpClientConnection::Close(Failure reason) {
  if (closed_) {
    return;
  }
  closed_ = true;
  if (memory_) {
    memory_->Release();
  }
  connect_timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
  asio::post(strand_, [self = shared_from_this(),
                       reason = std::move(reason)]() mutable {
    self->hooks_->on_closed(self->id_, std::move(reason), self->sent_);
  });
}

}  // namespace greengage
