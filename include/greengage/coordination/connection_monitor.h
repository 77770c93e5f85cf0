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
  // `patience_factor` times the slowest recent answer if that is longer.
  Duration least_patience = std::chrono::milliseconds(300);
  uint32_t patience_factor = 4;
  Duration recent = std::chrono::seconds(5);
  // An idle connection is probed after this time without any bytes.
  Duration idle_probe_period = std::chrono::milliseconds(500);
  // A probe without an answer makes its connection suspect after this time.
  Duration probe_patience = std::chrono::milliseconds(300);
};

// What to do about one searcher's connections now.
struct ConnectionDecision {
  std::vector<uint64_t> replace;  // Silent: their calls have failed.
  std::vector<uint64_t> probe;    // Idle: ask for an answer on these.
  // Suspect while the searcher has answered nowhere else.
  std::vector<uint64_t> suspect;
  bool probe_anew = false;  // Ask for an answer on a fresh connection.
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
  void OnFreshProbeStarted() { probing_anew_ = true; }
  void OnFreshProbeEnded() { probing_anew_ = false; }

  ConnectionDecision Decide(TimePoint now) const;

  // When Decide() can next give anything, if nothing happens until then.
  std::optional<TimePoint> next_check() const;

 private:
  struct Connection {
    TimePoint last_progress;
    std::optional<TimePoint> asked_at;  // Empty: idle.
    RequestKind kind = RequestKind::kCall;
  };

  Duration Patience(const Connection& connection) const;
  TimePoint SuspectAt(const Connection& connection) const;
  void RecordAnswerTime(TimePoint now, Duration time);

  const ConnectionMonitorOptions options_;
  std::unordered_map<ConnectionId, Connection> connections_;
  std::optional<TimePoint> last_answer_;
  // The slowest answers of the present and of the previous period.
  Duration slowest_{};
  Duration slowest_before_{};
  TimePoint period_start_;
  bool probing_anew_ = false;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_CONNECTION_MONITOR_H_
