#include "greengage/coordination/connection_monitor.h"

#include <algorithm>
#include <utility>

namespace greengage {

void ConnectionMonitor::OnOpened(TimePoint now, ConnectionId id) {
  connections_[id].last_progress = now;
}

void ConnectionMonitor::OnClosed(ConnectionId id) {
  connections_.erase(id);
}

void ConnectionMonitor::OnRequest(TimePoint now,
                                  ConnectionId id,
                                  RequestKind kind) {
  Connection& connection = connections_[id];
  connection.request_sent_at = now;
  connection.last_progress = now;
  connection.kind = kind;
}

void ConnectionMonitor::OnProgress(TimePoint now, ConnectionId id) {
  connections_[id].last_progress = now;
}

void ConnectionMonitor::OnAnswer(TimePoint now, ConnectionId id) {
  Connection& connection = connections_[id];
  connection.last_progress = now;
  last_answer_ = now;
  const auto request_sent_at =
      std::exchange(connection.request_sent_at, std::nullopt);
  if (request_sent_at && connection.kind == RequestKind::kCall) {
    RecordLatency(now, now - *request_sent_at);
  }
}

void ConnectionMonitor::RecordLatency(TimePoint now, Duration time) {
  if (now - period_start_ >= options_.latency_period) {
    const bool adjacent = now - period_start_ < 2 * options_.latency_period;
    previous_max_latency_ = adjacent ? max_latency_ : Duration::zero();
    max_latency_ = Duration::zero();
    period_start_ = now;
  }
  max_latency_ = std::max(max_latency_, time);
}

Duration ConnectionMonitor::RequestTimeout(const Connection& connection) const {
  if (connection.kind == RequestKind::kProbe) {
    return options_.probe_timeout;
  }
  const Duration max_latency = std::max(max_latency_, previous_max_latency_);
  return std::max(options_.min_request_timeout,
                  options_.request_timeout_factor * max_latency);
}

TimePoint ConnectionMonitor::NextCheckAt(const Connection& connection) const {
  return connection.last_progress + (connection.request_sent_at
                                         ? RequestTimeout(connection)
                                         : options_.idle_probe_interval);
}

ConnectionDecision ConnectionMonitor::Decide(TimePoint now) const {
  ConnectionDecision decision;
  for (const auto& [id, connection] : connections_) {
    if (now < NextCheckAt(connection)) {
      continue;
    }
    if (!connection.request_sent_at) {
      decision.probe.push_back(id);
    } else if (last_answer_ && *last_answer_ > connection.last_progress) {
      decision.replace.push_back(id);
    } else {
      decision.suspect.push_back(id);
    }
  }
  decision.open_probe_connection =
      !decision.suspect.empty() && !probing_new_connection_;
  std::sort(decision.probe.begin(), decision.probe.end());
  std::sort(decision.suspect.begin(), decision.suspect.end());
  std::sort(decision.replace.begin(), decision.replace.end());
  return decision;
}

std::optional<TimePoint> ConnectionMonitor::next_check() const {
  std::optional<TimePoint> next;
  for (const auto& [id, connection] : connections_) {
    const TimePoint time = NextCheckAt(connection);
    next = next ? std::min(*next, time) : time;
  }
  return next;
}

}  // namespace greengage
