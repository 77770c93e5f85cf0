#include "transport/http_client_pool.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

#include "transport/clock.h"
#include "transport/socket_address.h"

namespace greengage {
namespace {

namespace asio = boost::asio;

// Pause before the next attempt after a connection could not be opened while
// others exist.
constexpr std::chrono::milliseconds kConnectPause{100};

// The timeout in a Keep-Alive header, in whole seconds.
std::optional<Duration> AnnouncedIdle(const HttpResponse& response) {
  constexpr std::string_view kTimeout = "timeout=";
  const auto header = FindHeader(response.headers, "Keep-Alive");
  const size_t at = header ? header->find(kTimeout) : std::string_view::npos;
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view number = header->substr(at + kTimeout.size());
  uint32_t seconds = 0;
  const auto parsed =
      std::from_chars(number.data(), number.data() + number.size(), seconds);
  return parsed.ec == std::errc()
             ? std::optional<Duration>(std::chrono::seconds(seconds))
             : std::nullopt;
}

}  // namespace

HttpClientPool::HttpClientPool(asio::io_context& context,
                               const Endpoint& server,
                               const HttpClientLimits& limits)
    : context_(context),
      server_(server),
      host_(ToString(server)),
      limits_(limits),
      strand_(asio::make_strand(context)),
      deadlines_(strand_),
      maintenance_timer_(strand_) {}

std::shared_ptr<HttpClientPool> HttpClientPool::Self() {
  return std::static_pointer_cast<HttpClientPool>(shared_from_this());
}

HttpClient::CallId HttpClientPool::Start(HttpCall call, Callback done) {
  const CallId id = ++last_call_;
  Push({Operation::kStart, id, Call{std::move(call), std::move(done)}});
  return id;
}

void HttpClientPool::Cancel(CallId id) {
  Push({Operation::kCancel, id, {}});
}

void HttpClientPool::Close() {
  Push({Operation::kClose, 0, {}});
}

void HttpClientPool::Push(Command command) {
  if (mailbox_.Push(command) == PushResult::kSchedule) {
    asio::post(strand_, [self = Self()] {
      self->Execute(self->mailbox_.TakeScheduled());
      self->Dispatch();
    });
  }
}

void HttpClientPool::Execute(std::vector<Command> commands) {
  for (Command& command : commands) {
    switch (command.operation) {
      case Operation::kStart:
        Add(command.id, std::move(command.call));
        break;
      case Operation::kCancel:
        CancelCall(command.id);
        break;
      case Operation::kClose:
        closed_ = true;
        break;
    }
  }
}

void HttpClientPool::Add(CallId id, Call call) {
  deadlines_.Add(call.request.deadline, id);
  calls_.emplace(id, std::move(call));
  if (closed_) {
    EndCall(id,
            {Describe(FailureKind::kConnectionClosed, "client closed"), false});
    return;
  }
  waiting_.push_back(id);
  ++waiting_count_;
  ArmDeadlines();
}

void HttpClientPool::CancelCall(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  if (found->second.connection != 0) {
    connections_.at(found->second.connection)
        .link->Close(Describe(FailureKind::kCancelled, "cancelled"));
    return;
  }
  EndCall(id, {Describe(FailureKind::kCancelled, "cancelled"), false});
}

void HttpClientPool::ArmDeadlines() {
  deadlines_.Arm([self = Self()] {
    for (const CallId id : self->deadlines_.TakeExpired(Now())) {
      self->ExpireCall(id);
    }
    self->ArmDeadlines();
    self->Dispatch();
  });
}

void HttpClientPool::ExpireCall(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  if (found->second.connection != 0) {
    connections_.at(found->second.connection)
        .link->Close(Describe(FailureKind::kTimedOut, "no answer in time"));
    return;
  }
  EndCall(id,
          {Describe(FailureKind::kTimedOut, "no connection was free"), false});
}

void HttpClientPool::EndCall(CallId id, HttpCallResult result) {
  auto node = calls_.extract(id);
  if (node.empty()) {
    return;
  }
  if (node.mapped().connection == 0) {
    --waiting_count_;
  }
  node.mapped().done(std::move(result));
}

void HttpClientPool::Dispatch() {
  while (waiting_count_ > 0) {
    Connection* const connection = TakeIdle();
    if (connection == nullptr) {
      break;
    }
    const auto id = TakeWaiting();
    SendCall(*connection, *id);
  }
  const TimePoint now = Now();
  while (connecting_ < waiting_count_ && CanConnect(now)) {
    Connect(now, false);
  }
  if (closed_ && waiting_count_ == 0) {
    CloseIdle();
  }
  ArmMaintenance(now);
}

std::optional<HttpClient::CallId> HttpClientPool::TakeWaiting() {
  while (!waiting_.empty()) {
    const CallId id = waiting_.front();
    waiting_.pop_front();
    if (calls_.contains(id)) {
      --waiting_count_;
      return id;
    }
  }
  return std::nullopt;
}

HttpClientPool::Connection* HttpClientPool::TakeIdle() {
  while (!idle_.empty()) {
    Connection& connection = connections_.at(idle_.back());
    idle_.pop_back();
    if (connection.link->IsUsable()) {
      return &connection;
    }
    connection.link->Close(
        Describe(FailureKind::kConnectionClosed, "closed while idle"));
  }
  return nullptr;
}

void HttpClientPool::SendCall(Connection& connection, CallId id) {
  Call& call = calls_.at(id);
  call.connection = connection.link->id();
  connection.call = id;
  monitor_.OnRequest(Now(), call.connection,
                     ConnectionMonitor::RequestKind::kCall);
  connection.link->Send(call.request, host_);
}

bool HttpClientPool::CanConnect(TimePoint now) const {
  const size_t share = limits_.dynamic_connection_limit
                           ? limits_.dynamic_connection_limit()
                           : limits_.connections;
  return open_ < share && connecting_ < limits_.connecting &&
         (!connect_after_ || *connect_after_ <= now);
}

void HttpClientPool::Connect(TimePoint now, bool to_probe) {
  const auto address = ToTcp(server_);
  if (!address) {
    FailWaiting(address.last_reason());
    return;
  }
  const ConnectionId id = ++last_connection_;
  Connection& connection = connections_[id];
  connection.link =
      std::make_shared<HttpClientConnection>(id, strand_, limits_, MakeHooks());
  connection.opened_to_probe = to_probe;
  connection.idle_since = now;
  ++connecting_;
  ++open_;
  connection.link->Connect(*address);
}

std::shared_ptr<const HttpClientConnection::Hooks> HttpClientPool::MakeHooks() {
  HttpClientConnection::Hooks hooks;
  hooks.on_connected = [self = Self()](ConnectionId id) {
    self->OnConnected(id);
  };
  hooks.on_progress = [self = Self()](ConnectionId id) {
    self->monitor_.OnProgress(Now(), id);
  };
  hooks.on_answer = [self = Self()](ConnectionId id, HttpCallResult result) {
    self->OnAnswer(id, std::move(result));
  };
  hooks.on_closed = [self = Self()](ConnectionId id, const Failure& reason,
                                    bool sent) {
    self->OnClosed(id, reason, sent);
  };
  return std::make_shared<const HttpClientConnection::Hooks>(std::move(hooks));
}

void HttpClientPool::OnConnected(ConnectionId id) {
  const TimePoint now = Now();
  Connection& connection = connections_.at(id);
  connection.connecting = false;
  --connecting_;
  connect_after_.reset();
  monitor_.OnOpened(now, id);
  if (connection.opened_to_probe) {
    SendProbe(now, connection);
  } else {
    connection.idle_since = now;
    idle_.push_back(id);
  }
  Dispatch();
}

void HttpClientPool::OnAnswer(ConnectionId id, HttpCallResult result) {
  const TimePoint now = Now();
  Connection& connection = connections_.at(id);
  monitor_.OnAnswer(now, id);
  if (std::exchange(connection.opened_to_probe, false)) {
    monitor_.OnNewConnectionProbeEnded();
  }
  connection.probing = false;
  connection.idle_since = now;
  connection.announced_idle = AnnouncedIdle(*result.response);
  const CallId call = std::exchange(connection.call, 0);
  if (!connection.link->closed()) {
    idle_.push_back(id);
  }
  EndCall(call, std::move(result));
  Execute(mailbox_.Take());
  Dispatch();
}

void HttpClientPool::OnClosed(ConnectionId id,
                              const Failure& reason,
                              bool sent) {
  auto node = connections_.extract(id);
  const Connection& connection = node.mapped();
  --open_;
  std::erase(idle_, id);
  monitor_.OnClosed(id);
  if (connection.opened_to_probe) {
    monitor_.OnNewConnectionProbeEnded();
  }
  if (connection.connecting) {
    --connecting_;
    if (open_ == 0) {
      connect_after_.reset();
      FailWaiting({reason.kind, host_, reason.detail});
    } else {
      connect_after_ = Now() + kConnectPause;
    }
  }
  EndCall(connection.call, {Failure{reason.kind, host_, reason.detail}, sent});
  Dispatch();
}

void HttpClientPool::FailWaiting(const Failure& reason) {
  while (const auto id = TakeWaiting()) {
    ++waiting_count_;
    EndCall(*id, {reason, false});
  }
}

void HttpClientPool::CloseIdle() {
  for (const ConnectionId id : std::exchange(idle_, {})) {
    connections_.at(id).link->Close(
        Describe(FailureKind::kConnectionClosed, "client closed"));
  }
}

Failure HttpClientPool::Describe(FailureKind kind, std::string detail) const {
  return {kind, host_, std::move(detail)};
}

}  // namespace greengage
