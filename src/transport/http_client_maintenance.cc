// HttpClientPool: handling of idle and unresponsive connections.
#include <algorithm>
#include <chrono>
#include <utility>

#include "transport/http_client_pool.h"

namespace greengage {
namespace {

// Percentage of the announced idle timeout for which an idle connection is
// kept.
constexpr int kIdleTimeoutPercent = 70;

// Minimum delay between two runs of the maintenance.
constexpr std::chrono::milliseconds kMinMaintenanceDelay{20};

}  // namespace

// An idle connection is closed before the server closes it, so that no request
// is sent while the server is closing the connection.
Duration HttpClientPool::IdleTimeout(const Connection& connection) const {
  const Duration announced = connection.announced_idle_timeout.value_or(
      std::chrono::duration_cast<Duration>(limits_.idle_timeout));
  return std::min<Duration>(limits_.idle_timeout,
                            announced * kIdleTimeoutPercent / 100);
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
  if (connect_after_ && waiting_count() > 0) {
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
  // Maintenance may run too early, so the timer is not moved to a later time.
  // Most calls then leave it unchanged.
  if (!next || (maintenance_at_ && *maintenance_at_ <= *next)) {
    return;
  }
  maintenance_at_ = std::max(*next, now + kMinMaintenanceDelay);
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
      connections_.at(id).http->Close(
          Describe(FailureKind::kSilentConnection, "others are answered"));
      if (limits_.on_replaced) {
        limits_.on_replaced();
      }
    }
    for (const ConnectionId id : decision.probe) {
      SendProbe(now, connections_.at(id));
    }
    if (decision.open_probe_connection) {
      OpenProbeConnection(now, decision.suspect);
    }
  }
  Dispatch();
}

void HttpClientPool::OpenProbeConnection(
    TimePoint now,
    const std::vector<ConnectionId>& suspects) {
  if (CanConnect(now)) {
    monitor_.OnNewConnectionProbeStarted();
    Connect(now, true);
    return;
  }
  if (open_ < limits_.connections) {
    return;
  }
  // At the connection limit, closes an unresponsive connection without a call
  // to make room for the new one.
  for (const ConnectionId id : suspects) {
    Connection& connection = connections_.at(id);
    if (connection.probing) {
      connection.http->Close(
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
      connection.http->Close(
          Describe(FailureKind::kConnectionClosed, "idle for long"));
    }
  }
}

void HttpClientPool::SendProbe(TimePoint now, Connection& connection) {
  const ConnectionId id = connection.http->id();
  if (!connection.http->IsUsable()) {
    connection.http->Close(
        Describe(FailureKind::kConnectionClosed, "closed while idle"));
    return;
  }
  std::erase(idle_, id);
  connection.probing = true;
  monitor_.OnRequest(now, id, ConnectionMonitor::RequestKind::kProbe);
  HttpCall probe;
  probe.target = limits_.probe_target;
  connection.http->Send(probe, host_);
}

}  // namespace greengage
