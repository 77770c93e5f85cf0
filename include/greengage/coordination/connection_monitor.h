// Finds connections to one searcher that have gone silent.
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
  // A request without progress is suspect after this time, or after
  // `request_timeout_factor` times the max_latency latency_period answer if
  // that is longer.
  Duration min_request_timeout = std::chrono::milliseconds(300);
  uint32_t request_timeout_factor = 4;
  Duration latency_period = std::chrono::seconds(5);
  // An idle connection is probed after this time without any bytes.
  Duration idle_probe_interval = std::chrono::milliseconds(500);
  // A probe without an answer makes its connection suspect after this time.
  Duration probe_timeout = std::chrono::milliseconds(300);
};

// What to do about one searcher's connections now.
struct ConnectionDecision {
  std::vector<uint64_t> replace;  // Silent: their calls have failed.
  std::vector<uint64_t> probe;    // Idle: ask for an answer on these.
  // Suspect while the searcher has answered nowhere else.
  std::vector<uint64_t> suspect;
  bool open_probe_connection =
      false;  // Ask for an answer on a fresh connection.
};

// Judges connections that carry one request at a time. A suspect connection
// counts as silent only if the searcher has answered elsewhere since its
// request, on another connection or to a probe on a fresh one. A searcher that
// answers nowhere is slow or gone, which is not for this class to tell. Not
// thread-safe.
class ConnectionMonitor {
 public:
  using ConnectionId = uint64_t;

  enum class RequestKind : uint8_t { kCall, kProbe };

  explicit ConnectionMonitor(ConnectionMonitorOptions options = {})
      : options_(options) {}

  void OnOpened(TimePoint now, ConnectionId id);
  void OnClosed(ConnectionId id);

  void OnRequest(TimePoint now, ConnectionId id, RequestKind kind);

  // Some bytes of an answer have come, but not all.
  void OnProgress(TimePoint now, ConnectionId id);

  void OnAnswer(TimePoint now, ConnectionId id);

  // A probe on a fresh connection has begun, or ended without an answer. One
  // that is answered reports this like any connection.
  void OnNewConnectionProbeStarted() { probing_new_connection_ = true; }
  void OnNewConnectionProbeEnded() { probing_new_connection_ = false; }

  ConnectionDecision Decide(TimePoint now) const;

  // When Decide() can next give anything, if nothing happens until then.
  std::optional<TimePoint> next_check() const;

 private:
  struct Connection {
    TimePoint last_progress;
    std::optional<TimePoint> request_sent_at;  // Empty: idle.
    RequestKind kind = RequestKind::kCall;
  };

  Duration RequestTimeout(const Connection& connection) const;
  TimePoint NextCheckAt(const Connection& connection) const;
  void RecordLatency(TimePoint now, Duration time);

  const ConnectionMonitorOptions options_;
  std::unordered_map<ConnectionId, Connection> connections_;
  std::optional<TimePoint> last_answer_;
  // The max_latency answers of the present and of the previous period.
  Duration max_latency_{};
  Duration previous_max_latency_{};
  TimePoint period_start_;
  bool probing_new_connection_ = false;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_CONNECTION_MONITOR_H_
