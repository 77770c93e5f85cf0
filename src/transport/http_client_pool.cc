#include "transport/http_client_pool.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

#include "greengage/transport/guard.h"
#include "transport/clock.h"
#include "transport/socket_address.h"

namespace greengage {
namespace {

namespace asio = boost::asio;

// Delay before the next attempt to connect, after a connection could not be
// opened while others are open.
constexpr std::chrono::milliseconds kConnectRetryDelay{100};

// Longest idle timeout that is taken from a server. A multiple of a longer one
// could overflow.
constexpr uint32_t kMaxIdleSeconds = 24 * 3600;

constexpr char kClosedDetail[] = "the client is closed";

// Returns the timeout of the Keep-Alive header, which is in whole seconds.
std::optional<Duration> AnnouncedIdleTimeout(const HttpResponse& response) {
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
             ? std::optional<Duration>(
                   std::chrono::seconds(std::min(seconds, kMaxIdleSeconds)))
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

void HttpClientPool::TrimConnections() {
  asio::post(strand_, [self = Self()] {
    self->may_have_surplus_ = true;
    self->Dispatch();
  });
}

void HttpClientPool::CheckServer(std::function<void(ServerState)> done) {
  asio::post(strand_, [self = Self(), done = std::move(done)]() mutable {
    self->StartServerCheck(std::move(done));
  });
}

void HttpClientPool::StartServerCheck(std::function<void(ServerState)> done) {
  server_checks_.push_back(std::move(done));
  const bool is_open = std::any_of(
      connections_.begin(), connections_.end(), [](const auto& item) {
        const Connection& connection = item.second;
        return !connection.connecting && !connection.http->IsClosedByPeer();
      });
  if (is_open) {
    EndServerChecks(ServerState::kListening);
  } else if (closed_) {
    EndServerChecks(ServerState::kUnknown);
  } else if (connecting_ == 0) {
    Connect(Now(), false);
  }
}

void HttpClientPool::EndServerChecks(ServerState state) {
  for (const auto& done : std::exchange(server_checks_, {})) {
    RunGuarded("server_check", [&done, state] { done(state); });
  }
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
        FailWaiting(Describe(FailureKind::kUnavailable, kClosedDetail));
        break;
    }
  }
}

void HttpClientPool::Add(CallId id, Call call) {
  deadlines_.Add(call.request.deadline, id);
  WaitingCalls& queue = QueueOf(call);
  calls_.emplace(id, std::move(call));
  queue.ids.push_back(id);
  ++queue.count;
  if (closed_) {
    EndCall(id, {Describe(FailureKind::kUnavailable, kClosedDetail), false});
    return;
  }
  ArmDeadlines();
}

void HttpClientPool::CancelCall(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  if (found->second.connection != 0) {
    connections_.at(found->second.connection)
        .http->Close(Describe(FailureKind::kCancelled, "cancelled"));
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
        .http->Close(Describe(FailureKind::kTimedOut, "no answer in time"));
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
  if (node.mapped().waiting) {
    --QueueOf(node.mapped()).count;
  }
  RunGuarded("end_of_call",
             [&node, &result] { node.mapped().done(std::move(result)); });
}

void HttpClientPool::Dispatch() {
  SendWaiting(waiting_for_unused_, &HttpClientPool::TakeUnused);
  MakeRoomForUnused();
  SendWaiting(waiting_, &HttpClientPool::TakeIdle);
  const TimePoint now = Now();
  while (connecting_ < waiting_count() && CanConnect(now)) {
    Connect(now, false);
  }
  if (may_have_surplus_) {
    CloseSurplus();
  }
  if (closed_ && waiting_count() == 0) {
    CloseIdle();
  }
  ArmMaintenance(now);
}

void HttpClientPool::CloseSurplus() {
  const auto closing = static_cast<size_t>(std::count_if(
      connections_.begin(), connections_.end(),
      [](const auto& item) { return item.second.http->closed(); }));
  const size_t kept = MaxOpen() + closing;
  size_t open = open_;
  for (; open > kept && !idle_.empty(); --open) {
    Connection& connection = connections_.at(idle_.front());
    idle_.erase(idle_.begin());
    connection.http->Close(
        Describe(FailureKind::kConnectionClosed, "beyond the limit"));
  }
  may_have_surplus_ = open > kept;
}

void HttpClientPool::SendWaiting(WaitingCalls& queue,
                                 Connection* (HttpClientPool::*take)()) {
  while (queue.count > 0) {
    Connection* const connection = (this->*take)();
    if (connection == nullptr) {
      return;
    }
    if (!SendNext(*connection, queue)) {
      idle_.push_back(connection->http->id());
    }
  }
}

HttpClientPool::WaitingCalls& HttpClientPool::QueueOf(const Call& call) {
  return call.request.needs_unused_connection ? waiting_for_unused_ : waiting_;
}

std::optional<HttpClient::CallId> HttpClientPool::TakeWaiting(
    WaitingCalls& queue) {
  while (!queue.ids.empty()) {
    const CallId id = queue.ids.front();
    queue.ids.pop_front();
    const auto found = calls_.find(id);
    if (found != calls_.end()) {
      found->second.waiting = false;
      --queue.count;
      return id;
    }
  }
  return std::nullopt;
}

HttpClientPool::Connection* HttpClientPool::TakeUnused() {
  const auto unused = [this](ConnectionId id) {
    const std::shared_ptr<HttpClientConnection>& http =
        connections_.at(id).http;
    return !http->used() && http->IsUsable();
  };
  const auto found = std::find_if(idle_.begin(), idle_.end(), unused);
  if (found == idle_.end()) {
    return nullptr;
  }
  Connection& connection = connections_.at(*found);
  idle_.erase(found);
  return &connection;
}

void HttpClientPool::MakeRoomForUnused() {
  if (waiting_for_unused_.count == 0 || connecting_ > 0 || making_room_ ||
      idle_.empty() || open_ < MaxOpen()) {
    return;
  }
  making_room_ = true;
  Connection& connection = connections_.at(idle_.front());
  idle_.erase(idle_.begin());
  connection.http->Close(
      Describe(FailureKind::kConnectionClosed, "makes room for a new one"));
}

HttpClientPool::Connection* HttpClientPool::TakeIdle() {
  while (!idle_.empty()) {
    Connection& connection = connections_.at(idle_.back());
    idle_.pop_back();
    if (connection.http->IsUsable()) {
      return &connection;
    }
    connection.http->Close(
        Describe(FailureKind::kConnectionClosed, "closed while idle"));
  }
  return nullptr;
}

bool HttpClientPool::SendNext(Connection& connection, WaitingCalls& queue) {
  const CallId id = *TakeWaiting(queue);
  Call& call = calls_.at(id);
  if (call.request.before_send) {
    std::optional<Failure> reason =
        Describe(FailureKind::kUnavailable, "it cannot be prepared");
    RunGuarded("call", [&call, &reason] {
      reason = call.request.before_send(Now(), call.request.headers);
    });
    if (reason) {
      EndCall(id, {*reason, false});
      return false;
    }
  }
  call.connection = connection.http->id();
  connection.call = id;
  monitor_.OnRequest(Now(), call.connection,
                     ConnectionMonitor::RequestKind::kCall);
  connection.http->Send(call.request, host_);
  return true;
}

size_t HttpClientPool::MaxOpen() const {
  return limits_.dynamic_connection_limit ? limits_.dynamic_connection_limit()
                                          : limits_.connections;
}

bool HttpClientPool::CanConnect(TimePoint now) const {
  return open_ < MaxOpen() && connecting_ < limits_.connecting &&
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
  connection.http =
      std::make_shared<HttpClientConnection>(id, strand_, limits_, MakeHooks());
  connection.opened_to_probe = to_probe;
  connection.idle_since = now;
  ++connecting_;
  ++open_;
  connection.http->Connect(*address);
}

std::shared_ptr<const HttpClientConnection::Hooks> HttpClientPool::MakeHooks() {
  HttpClientConnection::Hooks hooks;
  hooks.on_connected = [self = Self()](ConnectionId id) {
    self->OnConnected(id);
  };
  hooks.on_progress = [self = Self()](ConnectionId id) {
    self->monitor_.OnProgress(Now(), id);
  };
  hooks.on_response = [self = Self()](ConnectionId id, HttpCallResult result) {
    self->OnResponse(id, std::move(result));
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
  EndServerChecks(ServerState::kListening);
  if (connection.opened_to_probe) {
    SendProbe(now, connection);
  } else {
    connection.idle_since = now;
    idle_.push_back(id);
  }
  Dispatch();
}

void HttpClientPool::OnResponse(ConnectionId id, HttpCallResult result) {
  const TimePoint now = Now();
  Connection& connection = connections_.at(id);
  monitor_.OnAnswer(now, id);
  if (std::exchange(connection.opened_to_probe, false)) {
    monitor_.OnNewConnectionProbeEnded();
  }
  connection.probing = false;
  connection.idle_since = now;
  connection.announced_idle_timeout = AnnouncedIdleTimeout(*result.response);
  const CallId call = std::exchange(connection.call, 0);
  if (!connection.http->closed()) {
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
  making_room_ = false;
  std::erase(idle_, id);
  monitor_.OnClosed(id);
  if (connection.opened_to_probe) {
    monitor_.OnNewConnectionProbeEnded();
  }
  if (connection.connecting) {
    --connecting_;
    EndServerChecks(connection.http->refused() ? ServerState::kRefusing
                                               : ServerState::kUnknown);
    if (open_ == 0) {
      connect_after_.reset();
      FailWaiting({reason.kind, host_, reason.detail});
    } else {
      connect_after_ = Now() + kConnectRetryDelay;
      FailWaiting(waiting_for_unused_, {reason.kind, host_, reason.detail});
    }
  }
  EndCall(connection.call, {Failure{reason.kind, host_, reason.detail}, sent});
  Dispatch();
}

void HttpClientPool::FailWaiting(const Failure& reason) {
  FailWaiting(waiting_, reason);
  FailWaiting(waiting_for_unused_, reason);
}

void HttpClientPool::FailWaiting(WaitingCalls& queue, const Failure& reason) {
  while (const auto id = TakeWaiting(queue)) {
    EndCall(*id, {reason, false});
  }
}

void HttpClientPool::CloseIdle() {
  for (const ConnectionId id : std::exchange(idle_, {})) {
    connections_.at(id).http->Close(
        Describe(FailureKind::kConnectionClosed, "client closed"));
  }
}

Failure HttpClientPool::Describe(FailureKind kind, std::string detail) const {
  return {kind, host_, std::move(detail)};
}

}  // namespace greengage
