// HttpClientPool's care for connections that are idle or have gone silent.
#include <algorithm>
#include <chrono>
#include <utility>

#include "transport/http_client_pool.h"

namespace greengage {
namespace {

// Share of the announced time for which an idle connection is used.
constexpr int kIdleSharePercent = 70;

// Least time between two looks at the same connections.
constexpr std::chrono::milliseconds kLeastPause{20};

}  // namespace

// A connection is given up before the server closes it, so that no request
// crosses the end of its connection.
Duration HttpClientPool::IdleTimeout(const Connection& connection) const {
  const Duration announced = connection.announced_idle.value_or(
      std::chrono::duration_cast<Duration>(limits_.idle_timeout));
  return std::min<Duration>(limits_.idle_timeout,
                            announced * kIdleSharePercent / 100);
}

std::optional<TimePoint> HttpClientPool::NextMaintenance() const {
  std::optional<TimePoint> next;
  const auto consider = [&next](TimePoint time) {
    next = next ? std::min(*next, time) : time;
  };
  if (!idle_.empty()) {
    for (const ConnectionId id : idle_) {
      const Connection& connection = connections_.at(id);
      consider(connection.idle_since + IdleTimeout(connection));
    }
  }
  if (connect_after_ && waiting_count_ > 0) {
    consider(*connect_after_);
  }
  if (!limits_.probe_target.empty()) {
    const auto check = monitor_.next_check();
    if (check) {
      consider(*check);
    }
  }
  return next;
}

void HttpClientPool::ArmMaintenance(TimePoint now) {
  const auto next = NextMaintenance();
  // A look that comes too early does no harm, so that most calls need not
  // touch the timer.
  if (!next || (maintenance_at_ && *maintenance_at_ <= *next)) {
    return;
  }
  maintenance_at_ = std::max(*next, now + kLeastPause);
  maintenance_timer_.expires_at(*maintenance_at_);
  maintenance_timer_.async_wait(
      [self = Self()](boost::system::error_code error) {
        if (!error) {
          self->maintenance_at_.reset();
          self->Maintain(std::chrono::steady_clock::now());
        }
      });
}

void HttpClientPool::Maintain(TimePoint now) {
  ExpireIdle(now);
  if (!limits_.probe_target.empty()) {
    const ConnectionDecision decision = monitor_.Decide(now);
    for (const ConnectionId id : decision.replace) {
      connections_.at(id).link->Close(
          Describe(FailureKind::kSilentConnection, "others are answered"));
      if (limits_.on_replaced) {
        limits_.on_replaced();
      }
    }
    for (const ConnectionId id : decision.probe) {
      SendProbe(now, connections_.at(id));
    }
    if (decision.open_probe_connection) {
      ProbeAnew(now, decision.suspect);
    }
  }
  Dispatch();
}

void HttpClientPool::ProbeAnew(TimePoint now,
                               const std::vector<ConnectionId>& suspects) {
  if (CanConnect(now)) {
    monitor_.OnNewConnectionProbeStarted();
    Connect(now, true);
    return;
  }
  if (open_ < limits_.connections) {
    return;
  }
  // At the limit, a suspect connection without a call makes room.
  for (const ConnectionId id : suspects) {
    Connection& connection = connections_.at(id);
    if (connection.probing) {
      connection.link->Close(
          Describe(FailureKind::kSilentConnection, "no answer to a probe"));
      return;
    }
  }
}

void HttpClientPool::ExpireIdle(TimePoint now) {
  for (const ConnectionId id : std::vector<ConnectionId>(idle_)) {
    Connection& connection = connections_.at(id);
    if (now - connection.idle_since >= IdleTimeout(connection)) {
      std::erase(idle_, id);
      connection.link->Close(
          Describe(FailureKind::kConnectionClosed, "idle for long"));
    }
  }
}

void HttpClientPool::SendProbe(TimePoint now, Connection& connection) {
  const ConnectionId id = connection.link->id();
  if (!connection.link->IsUsable()) {
    connection.link->Close(
        Describe(FailureKind::kConnectionClosed, "closed while idle"));
    return;
  }
  std::erase(idle_, id);
  connection.probing = true;
  monitor_.OnRequest(now, id, ConnectionMonitor::RequestKind::kProbe);
  HttpCall probe;
  probe.target = limits_.probe_target;
  connection.link->Send(probe, host_);
}

}  // namespace greengage
