// Whether a connection to a searcher has gone silent.
#ifndef GREENGAGE_COORDINATION_CONNECTION_LIVENESS_H_
#define GREENGAGE_COORDINATION_CONNECTION_LIVENESS_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "greengage/state/time.h"

namespace greengage {

struct ConnectionLivenessOptions {
  // A request unanswered for this time makes the connection silent, if the
  // searcher has meanwhile answered on another one.
  Duration patience = std::chrono::milliseconds(200);
  // The same, when nothing is known of other connections.
  Duration longest_patience = std::chrono::milliseconds(800);
  // An idle connection is probed after this time without an answer.
  Duration probe_period = std::chrono::seconds(1);
};

enum class ConnectionVerdict : uint8_t {
  kLive,
  kProbe,   // Send a health request on it, which counts as a request.
  kSilent,  // Replace it. This says nothing against the searcher.
};

// One for each connection, which carries one request at a time. Not
// thread-safe.
class ConnectionLiveness {
 public:
  ConnectionLiveness(TimePoint now, ConnectionLivenessOptions options);

  void OnRequest(TimePoint now);
  void OnAnswer(TimePoint now);

  // `last_answer` is when the searcher last answered on any connection.
  ConnectionVerdict Judge(TimePoint now,
                          std::optional<TimePoint> last_answer) const;

  // When to judge again, at the latest.
  TimePoint next_time() const;

 private:
  ConnectionLivenessOptions options_;
  TimePoint last_heard_;
  std::optional<TimePoint> unanswered_since_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_CONNECTION_LIVENESS_H_
