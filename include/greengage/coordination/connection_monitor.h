// Detects unresponsive connections to one searcher.
#ifndef GREENGAGE_COORDINATION_CONNECTION_MONITOR_H_
#define GREENGAGE_COORDINATION_CONNECTION_MONITOR_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "greengage/state/time.h"

namespace greengage {

struct ConnectionMonitorOptions {
  // A connection is suspect once its request has made no progress for this
  // time, or for `request_timeout_factor` times the highest recent latency,
  // whichever is longer.
  Duration min_request_timeout = std::chrono::milliseconds(300);
  uint32_t request_timeout_factor = 4;
  // The highest latency is taken over the current and the previous period.
  Duration latency_period = std::chrono::seconds(5);
  // An idle connection is probed after receiving no bytes for this time.
  Duration idle_probe_interval = std::chrono::milliseconds(500);
  // A connection is suspect if a probe on it is not answered within this time.
  Duration probe_timeout = std::chrono::milliseconds(300);
};

// Actions to take on the connections to one searcher.
struct ConnectionDecision {
  std::vector<uint64_t> replace;  // Unresponsive: fail their calls.
  std::vector<uint64_t> probe;    // Idle: send a probe on each.
  // Suspect, but the searcher has not answered on any other connection either.
  std::vector<uint64_t> suspect;
  // Send a probe on a new connection.
  bool open_probe_connection = false;
};

// Monitors connections that carry one request at a time. A suspect connection
// is replaced only if the searcher has answered since its last progress, on
// another connection or to a probe on a new one. If the searcher answers on no
// connection, it may be slow or have failed; this class does not distinguish
// the two and keeps the connections. Not thread-safe.
class ConnectionMonitor {
 public:
  using ConnectionId = uint64_t;

  enum class RequestKind : uint8_t { kCall, kProbe };

  explicit ConnectionMonitor(ConnectionMonitorOptions options = {})
      : options_(options) {}

  void OnOpened(TimePoint now, ConnectionId id);
  void OnClosed(ConnectionId id);

  void OnRequest(TimePoint now, ConnectionId id, RequestKind kind);

  // Reports the receipt of some, but not all, bytes of an answer.
  void OnProgress(TimePoint now, ConnectionId id);

  void OnAnswer(TimePoint now, ConnectionId id);

  // Reports that a probe on a new connection started, or ended. The answer to
  // such a probe is reported by OnAnswer(), as on any connection.
  void OnNewConnectionProbeStarted() { probing_new_connection_ = true; }
  void OnNewConnectionProbeEnded() { probing_new_connection_ = false; }

  ConnectionDecision Decide(TimePoint now) const;

  // Returns the earliest time at which Decide() can return an action if no
  // event is reported before. Empty if there are no connections.
  std::optional<TimePoint> next_check() const;

 private:
  struct Connection {
    TimePoint last_progress;
    std::optional<TimePoint> request_sent_at;  // Empty if idle.
    RequestKind kind = RequestKind::kCall;
  };

  Duration RequestTimeout(const Connection& connection) const;
  TimePoint NextCheckAt(const Connection& connection) const;
  void RecordLatency(TimePoint now, Duration time);

  const ConnectionMonitorOptions options_;
  std::unordered_map<ConnectionId, Connection> connections_;
  std::optional<TimePoint> last_answer_;
  // Highest latencies of the current and the previous period.
  Duration max_latency_{};
  Duration previous_max_latency_{};
  TimePoint period_start_;
  bool probing_new_connection_ = false;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_CONNECTION_MONITOR_H_
