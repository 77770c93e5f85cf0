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
  connection.asked_at = now;
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
  const auto asked_at = std::exchange(connection.asked_at, std::nullopt);
  if (asked_at && connection.kind == RequestKind::kCall) {
    RecordAnswerTime(now, now - *asked_at);
  }
}

void ConnectionMonitor::RecordAnswerTime(TimePoint now, Duration time) {
  if (now - period_start_ >= options_.recent) {
    const bool adjacent = now - period_start_ < 2 * options_.recent;
    slowest_before_ = adjacent ? slowest_ : Duration::zero();
    slowest_ = Duration::zero();
    period_start_ = now;
  }
  slowest_ = std::max(slowest_, time);
}

Duration ConnectionMonitor::Patience(const Connection& connection) const {
  if (connection.kind == RequestKind::kProbe) {
    return options_.probe_patience;
  }
  const Duration slowest = std::max(slowest_, slowest_before_);
  return std::max(options_.least_patience, options_.patience_factor * slowest);
}

TimePoint ConnectionMonitor::SuspectAt(const Connection& connection) const {
  return connection.last_progress + (connection.asked_at
                                         ? Patience(connection)
                                         : options_.idle_probe_period);
}

ConnectionDecision ConnectionMonitor::Decide(TimePoint now) const {
  ConnectionDecision decision;
  for (const auto& [id, connection] : connections_) {
    if (now < SuspectAt(connection)) {
      continue;
    }
    if (!connection.asked_at) {
      decision.probe.push_back(id);
    } else if (last_answer_ && *last_answer_ > connection.last_progress) {
      decision.replace.push_back(id);
    } else {
      decision.suspect.push_back(id);
    }
  }
  decision.probe_anew = !decision.suspect.empty() && !probing_anew_;
  std::sort(decision.probe.begin(), decision.probe.end());
  std::sort(decision.suspect.begin(), decision.suspect.end());
  std::sort(decision.replace.begin(), decision.replace.end());
  return decision;
}

std::optional<TimePoint> ConnectionMonitor::next_check() const {
  std::optional<TimePoint> next;
  for (const auto& [id, connection] : connections_) {
    const TimePoint time = SuspectAt(connection);
    next = next ? std::min(*next, time) : time;
  }
  return next;
}

}  // namespace greengage
