// Implements HttpClient with a bounded pool of connections to one server.
#ifndef GREENGAGE_TRANSPORT_HTTP_CLIENT_POOL_H_
#define GREENGAGE_TRANSPORT_HTTP_CLIENT_POOL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "greengage/coordination/connection_monitor.h"
#include "greengage/transport/http_client.h"
#include "transport/deadline_timer.h"
#include "transport/http_client_connection.h"
#include "transport/mailbox.h"

namespace greengage {

// Everything except the public functions runs on one strand per pool.
class HttpClientPool : public HttpClient {
 public:
  HttpClientPool(boost::asio::io_context& context,
                 const Endpoint& server,
                 const HttpClientLimits& limits);

  CallId Start(HttpCall call, Callback done) override;
  void Cancel(CallId id) override;
  void CheckServer(std::function<void(ServerState)> done) override;
  void TrimConnections() override;
  void Close() override;
  const Endpoint& server() const override { return server_; }
  size_t open_connections() const override { return open_; }

 private:
  using ConnectionId = HttpClientConnection::Id;

  struct Call {
    HttpCall request;
    Callback done;
    ConnectionId connection = 0;  // 0 while waiting.
    bool waiting = true;
  };

  // Calls that wait for a connection, in the order of their start.
  struct WaitingCalls {
    std::deque<CallId> ids;  // May contain ids of ended calls.
    size_t count = 0;
  };

  enum class Operation : uint8_t { kStart, kCancel, kClose };
  struct Command {
    Operation operation = Operation::kStart;
    CallId id = 0;
    Call call;
  };

  struct Connection {
    std::shared_ptr<HttpClientConnection> http;
    CallId call = 0;  // 0 if none is in flight.
    bool connecting = true;
    bool probing = false;
    bool opened_to_probe = false;
    TimePoint idle_since;
    // Idle timeout announced in the Keep-Alive header of the last response.
    std::optional<Duration> announced_idle_timeout;
  };

  std::shared_ptr<HttpClientPool> Self();
  void Push(Command command);
  void Execute(std::vector<Command> commands);
  void Add(CallId id, Call call);
  void CancelCall(CallId id);
  void CloseIdle();
  // Closes idle connections beyond the limit.
  void CloseSurplus();

  // Sends waiting calls on idle connections and opens connections as needed.
  void Dispatch();
  std::optional<CallId> TakeWaiting(WaitingCalls& queue);
  WaitingCalls& QueueOf(const Call& call);
  size_t waiting_count() const {
    return waiting_.count + waiting_for_unused_.count;
  }
  Connection* TakeIdle();
  Connection* TakeUnused();
  // Sends the first call of `queue`. Returns false if the call no longer may be
  // sent; the connection is then still idle.
  bool SendNext(Connection& connection, WaitingCalls& queue);
  // Sends the calls of `queue` on the connections that `take` returns, until
  // either has none left.
  void SendWaiting(WaitingCalls& queue, Connection* (HttpClientPool::*take)());
  // Closes an idle connection at the connection limit if a call waits for an
  // unused one.
  void MakeRoomForUnused();
  size_t MaxOpen() const;
  bool CanConnect(TimePoint now) const;
  void Connect(TimePoint now, bool to_probe);
  void EndCall(CallId id, HttpCallResult result);
  void FailWaiting(const Failure& reason);
  void FailWaiting(WaitingCalls& queue, const Failure& reason);
  void ArmDeadlines();
  void ExpireCall(CallId id);

  void StartServerCheck(std::function<void(ServerState)> done);
  void EndServerChecks(ServerState state);

  std::shared_ptr<const HttpClientConnection::Hooks> MakeHooks();
  void OnConnected(ConnectionId id);
  void OnResponse(ConnectionId id, HttpCallResult result);
  void OnClosed(ConnectionId id, const Failure& reason, bool sent);

  Duration IdleTimeout(const Connection& connection) const;

  // Probes and replaces unresponsive connections and closes idle ones.
  void ArmMaintenance(TimePoint now);
  void Maintain(TimePoint now);
  void OpenProbeConnection(TimePoint now,
                           const std::vector<ConnectionId>& suspects);
  void ExpireIdle(TimePoint now);
  void SendProbe(TimePoint now, Connection& connection);
  std::optional<TimePoint> NextMaintenance() const;

  Failure Describe(FailureKind kind, std::string detail) const;

  boost::asio::io_context& context_;
  const Endpoint server_;
  const std::string host_;
  const HttpClientLimits limits_;
  const HttpClientConnection::Strand strand_;
  Mailbox<Command> mailbox_;
  std::atomic<CallId> last_call_ = 0;
  std::atomic<size_t> open_ = 0;

  std::unordered_map<CallId, Call> calls_;
  WaitingCalls waiting_;
  WaitingCalls waiting_for_unused_;  // Calls that need an unused connection.
  std::unordered_map<ConnectionId, Connection> connections_;
  std::vector<ConnectionId> idle_;  // Most recently used last.
  size_t connecting_ = 0;
  ConnectionId last_connection_ = 0;
  std::optional<TimePoint> connect_after_;
  std::vector<std::function<void(ServerState)>> server_checks_;
  DeadlineTimer deadlines_;
  ConnectionMonitor monitor_;
  boost::asio::steady_timer maintenance_timer_;
  std::optional<TimePoint> maintenance_at_;
  bool making_room_ = false;       // MakeRoomForUnused() closes a connection.
  bool may_have_surplus_ = false;  // The limit may have become lower.
  bool closed_ = false;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_HTTP_CLIENT_POOL_H_
