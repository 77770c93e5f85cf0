#include "greengage/transport/http_client.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <future>
#include <map>
#include <mutex>

namespace greengage {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

class Pool;

// One call from Start() to its callback.
struct PendingCall {
  HttpClient::CallId id = 0;
  HttpCall call;
  HttpClient::Callback done;
};

// One connection; it carries one call at a time. All members but the
// constructor run on its strand.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(asio::io_context& context, std::shared_ptr<Pool> pool);

  void Run(PendingCall call);
  void CancelCall(HttpClient::CallId id);
  void CloseIfIdle();

  bool IsUsable() const { return connected_ && !closed_; }

 private:
  void Connect();
  void Send();
  void Receive();
  void OnResponse(boost::system::error_code error);
  void Finish(HttpCallResult result, bool reusable);
  void Fail(FailureKind kind, std::string detail);
  void SetDeadline();
  void WatchIdle();
  void Close();

  asio::strand<asio::io_context::executor_type> strand_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::shared_ptr<Pool> pool_;
  boost::beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::optional<PendingCall> call_;
  uint64_t round_ = 0;  // Tells timers and waits of earlier calls apart.
  bool connected_ = false;
  bool closed_ = false;
  bool sent_ = false;
};

class Pool : public HttpClient {
 public:
  Pool(asio::io_context& context,
       const Endpoint& server,
       const HttpClientLimits& limits)
      : context_(context), server_(server), limits_(limits) {}

  CallId Start(HttpCall call, Callback done) override;
  void Cancel(CallId id) override;
  void Close() override;

  const Endpoint& server() const override { return server_; }

  size_t open_connections() const override {
    const std::lock_guard lock(mutex_);
    return open_;
  }

  const HttpClientLimits& limits() const { return limits_; }

  // A connection is free again: it gets the next waiting call, or rests.
  void OnIdle(const std::shared_ptr<Connection>& connection);
  void OnClosed(const std::shared_ptr<Connection>& connection);
  void OnCallEnded(CallId id);

 private:
  void Dispatch();
  void ExpireWaiting(CallId id);

  asio::io_context& context_;
  const Endpoint server_;
  const HttpClientLimits limits_;
  mutable std::mutex mutex_;
  std::deque<PendingCall> waiting_;
  std::vector<std::shared_ptr<Connection>> idle_;
  std::map<CallId, std::shared_ptr<Connection>> running_;
  std::map<CallId, std::shared_ptr<asio::steady_timer>> waiting_timers_;
  size_t open_ = 0;
  CallId next_id_ = 1;
  bool closed_ = false;
};

Connection::Connection(asio::io_context& context, std::shared_ptr<Pool> pool)
    : strand_(asio::make_strand(context)),
      socket_(strand_),
      timer_(strand_),
      pool_(std::move(pool)) {}

void Connection::Run(PendingCall call) {
  asio::post(
      strand_, [self = shared_from_this(), call = std::move(call)]() mutable {
        self->call_ = std::move(call);
        ++self->round_;
        self->sent_ = false;
        if (self->closed_) {
          self->Fail(FailureKind::kConnectionClosed, "closed before use");
          return;
        }
        self->SetDeadline();
        if (self->connected_) {
          self->Send();
        } else {
          self->Connect();
        }
      });
}

void Connection::SetDeadline() {
  timer_.expires_at(call_->call.deadline);
  timer_.async_wait([self = shared_from_this(), round = round_](auto error) {
    if (!error && self->call_ && self->round_ == round) {
      self->Fail(FailureKind::kTimedOut, "no answer by the deadline");
    }
  });
}

void Connection::Connect() {
  boost::system::error_code error;
  const auto address = asio::ip::make_address(pool_->server().host, error);
  if (error) {
    Fail(FailureKind::kConnectFailed, "not an IP number");
    return;
  }
  socket_.async_connect(
      tcp::endpoint(address, pool_->server().port),
      [self = shared_from_this()](auto connect_error) {
        if (self->closed_) {
          return;
        }
        if (connect_error) {
          self->Fail(FailureKind::kConnectFailed, connect_error.message());
          return;
        }
        boost::system::error_code ignored;
        self->socket_.set_option(tcp::no_delay(true), ignored);
        self->connected_ = true;
        self->Send();
      });
}

void Connection::Send() {
  request_ = {};
  request_.version(11);
  request_.method_string(call_->call.method);
  request_.target(call_->call.target);
  request_.set(http::field::host, ToString(pool_->server()));
  request_.body() = std::move(call_->call.body);
  request_.prepare_payload();
  sent_ = true;
  http::async_write(
      socket_, request_, [self = shared_from_this()](auto error, size_t) {
        if (!self->call_ || self->closed_) {
          return;
        }
        if (error) {
          self->Fail(FailureKind::kConnectionClosed, error.message());
          return;
        }
        self->Receive();
      });
}

void Connection::Receive() {
  parser_.emplace();
  parser_->body_limit(pool_->limits().body_bytes);
  http::async_read(socket_, buffer_, *parser_,
                   [self = shared_from_this()](auto error, size_t) {
                     if (self->call_ && !self->closed_) {
                       self->OnResponse(error);
                     }
                   });
}

void Connection::OnResponse(boost::system::error_code error) {
  if (error == http::error::body_limit || error == http::error::header_limit) {
    Fail(FailureKind::kTooLarge, error.message());
    return;
  }
  if (error == http::error::end_of_stream ||
      error == http::error::partial_message) {
    Fail(FailureKind::kConnectionClosed, error.message());
    return;
  }
  if (error) {
    const bool malformed =
        error.category() ==
        http::make_error_code(http::error::bad_version).category();
    Fail(malformed ? FailureKind::kMalformedMessage
                   : FailureKind::kConnectionClosed,
         error.message());
    return;
  }
  HttpResponse response;
  response.status = parser_->get().result_int();
  for (const auto& field : parser_->get()) {
    response.headers.emplace_back(field.name_string(), field.value());
  }
  const bool reusable = parser_->get().keep_alive() && buffer_.size() == 0;
  response.body = std::move(parser_->get().body());
  Finish(HttpCallResult{std::move(response), true}, reusable);
}

void Connection::Fail(FailureKind kind, std::string detail) {
  Finish(
      HttpCallResult{
          Failure{kind, ToString(pool_->server()), std::move(detail)}, sent_},
      false);
}

void Connection::Finish(HttpCallResult result, bool reusable) {
  PendingCall call = std::move(*call_);
  call_.reset();
  parser_.reset();
  ++round_;
  timer_.cancel();
  pool_->OnCallEnded(call.id);
  if (reusable) {
    WatchIdle();
    pool_->OnIdle(shared_from_this());
  } else {
    Close();
  }
  call.done(std::move(result));
}

// Notices a peer that closes an idle connection, so that no call is lost on it.
void Connection::WatchIdle() {
  timer_.expires_after(pool_->limits().idle_timeout);
  timer_.async_wait([self = shared_from_this(), round = round_](auto error) {
    if (!error && self->round_ == round) {
      self->CloseIfIdle();
    }
  });
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this(), round = round_](auto error) {
                       if (!error && self->round_ == round) {
                         self->CloseIfIdle();
                       }
                     });
}

void Connection::CancelCall(HttpClient::CallId id) {
  asio::post(strand_, [self = shared_from_this(), id] {
    if (self->call_ && self->call_->id == id) {
      self->Fail(FailureKind::kCancelled, "cancelled");
    }
  });
}

void Connection::CloseIfIdle() {
  if (!call_) {
    Close();
  }
}

void Connection::Close() {
  if (std::exchange(closed_, true)) {
    return;
  }
  boost::system::error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
  pool_->OnClosed(shared_from_this());
}

HttpClient::CallId Pool::Start(HttpCall call, Callback done) {
  CallId id = 0;
  {
    const std::lock_guard lock(mutex_);
    id = next_id_++;
    const auto timer =
        std::make_shared<asio::steady_timer>(context_, call.deadline);
    waiting_timers_[id] = timer;
    timer->async_wait(
        [self = std::static_pointer_cast<Pool>(shared_from_this()),
         id](auto error) {
          if (!error) {
            self->ExpireWaiting(id);
          }
        });
    waiting_.push_back(PendingCall{id, std::move(call), std::move(done)});
  }
  Dispatch();
  return id;
}

void Pool::Dispatch() {
  const std::lock_guard lock(mutex_);
  while (!waiting_.empty()) {
    std::shared_ptr<Connection> connection;
    if (!idle_.empty()) {
      connection = std::move(idle_.back());
      idle_.pop_back();
    } else if (open_ < limits_.connections) {
      ++open_;
      connection = std::make_shared<Connection>(
          context_, std::static_pointer_cast<Pool>(shared_from_this()));
    } else {
      return;
    }
    PendingCall call = std::move(waiting_.front());
    waiting_.pop_front();
    waiting_timers_.erase(call.id);
    running_[call.id] = connection;
    connection->Run(std::move(call));
  }
}

void Pool::ExpireWaiting(CallId id) {
  std::optional<PendingCall> expired;
  {
    const std::lock_guard lock(mutex_);
    waiting_timers_.erase(id);
    const auto found =
        std::find_if(waiting_.begin(), waiting_.end(),
                     [id](const PendingCall& call) { return call.id == id; });
    if (found == waiting_.end()) {
      return;
    }
    expired = std::move(*found);
    waiting_.erase(found);
  }
  expired->done(
      HttpCallResult{Failure{FailureKind::kTimedOut, ToString(server_),
                             "all connections were busy until the deadline"},
                     false});
}

void Pool::Cancel(CallId id) {
  std::shared_ptr<Connection> connection;
  std::optional<PendingCall> cancelled;
  {
    const std::lock_guard lock(mutex_);
    const auto running = running_.find(id);
    if (running != running_.end()) {
      connection = running->second;
    }
    const auto found =
        std::find_if(waiting_.begin(), waiting_.end(),
                     [id](const PendingCall& call) { return call.id == id; });
    if (found != waiting_.end()) {
      cancelled = std::move(*found);
      waiting_.erase(found);
      waiting_timers_.erase(id);
    }
  }
  if (connection) {
    connection->CancelCall(id);
  }
  if (cancelled) {
    cancelled->done(HttpCallResult{
        Failure{FailureKind::kCancelled, ToString(server_), "cancelled"},
        false});
  }
}

void Pool::Close() {
  std::vector<std::shared_ptr<Connection>> idle;
  {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    idle.swap(idle_);
  }
  for (const std::shared_ptr<Connection>& connection : idle) {
    asio::post(context_, [connection] { connection->CloseIfIdle(); });
  }
}

void Pool::OnIdle(const std::shared_ptr<Connection>& connection) {
  bool close = false;
  {
    const std::lock_guard lock(mutex_);
    close = closed_;
    if (!close) {
      idle_.push_back(connection);
    }
  }
  if (close) {
    connection->CloseIfIdle();
    return;
  }
  Dispatch();
}

void Pool::OnClosed(const std::shared_ptr<Connection>& connection) {
  {
    const std::lock_guard lock(mutex_);
    --open_;
    std::erase(idle_, connection);
  }
  Dispatch();
}

void Pool::OnCallEnded(CallId id) {
  const std::lock_guard lock(mutex_);
  running_.erase(id);
}

}  // namespace

std::shared_ptr<HttpClient> HttpClient::Create(asio::io_context& context,
                                               const Endpoint& server,
                                               HttpClientLimits limits) {
  return std::make_shared<Pool>(context, server, limits);
}

Result<HttpResponse> CallAndWait(const Endpoint& server,
                                 HttpCall call,
                                 std::chrono::milliseconds timeout) {
  asio::io_context context(1);
  const auto client = HttpClient::Create(context, server, {});
  std::optional<HttpCallResult> result;
  call.deadline = std::chrono::steady_clock::now() + timeout;
  client->Start(std::move(call), [&](HttpCallResult ended) {
    result.emplace(std::move(ended));
    client->Close();
    context.stop();
  });
  context.run();
  return std::move(result->response);
}

}  // namespace greengage
