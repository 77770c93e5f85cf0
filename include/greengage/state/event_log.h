// The event log of one process: typed events in a ring buffer of bounded size.
#ifndef GREENGAGE_STATE_EVENT_LOG_H_
#define GREENGAGE_STATE_EVENT_LOG_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "greengage/state/hybrid_clock.h"
#include "greengage/state/time.h"

namespace greengage {

enum class EventKind : uint8_t {
  kProcessStarted,
  kProcessStopping,
  kProcessStopped,
  kQueryAdmitted,
  kQueryRefused,
  kQueryAnswered,
  kQueryRerun,
  kSubRequestForwarded,
  kSubRequestSent,
  kSubRequestHedged,
  kSubRequestRetried,
  kSubRequestEnded,
  kClaimCreated,
  kClaimLost,
  kClaimSettled,
  kConfigurationLearned,
  kConfigurationInForce,
  kWatchStarted,
  kWatchStopped,
  kInstanceJoined,
  kInstanceSuspected,
  kInstanceRefuted,
  kInstanceGone,
  kInstanceLeaving,
  kSearcherDraining,
  kSearcherEjected,
  kSearcherReturned,
  kConnectionReplaced,
  kPlatformDown,
  kPlatformBack,
};

// Returns the name of `kind` in snake_case, as used in JSON.
std::string_view EventKindName(EventKind kind);

// All kinds; tests compare the documentation with them.
const std::vector<EventKind>& AllEventKinds();

// One event. `request_id` is empty unless the event belongs to a request.
// `subject` names the object concerned: an instance, a searcher, a claim or a
// version.
struct Event {
  HybridTime time;
  EventKind kind = EventKind::kProcessStarted;
  std::string process;
  std::string request_id;
  std::string subject;
  std::string detail;
};

// Thread-safe: the ring buffer is divided into shards, each with its own lock.
class EventLog {
 public:
  // Called for each recorded event, with no lock held.
  using RecordHook = std::function<void(const Event&)>;

  // Keeps about the newest `capacity` events of `process`. `clock` is not owned
  // and must outlive the log.
  EventLog(std::string process,
           size_t capacity,
           HybridClock* clock,
           RecordHook on_record = {});

  void Record(WallTime now,
              EventKind kind,
              std::string request_id,
              std::string subject,
              std::string detail = {});

  // Returns the first `limit` events at or after `since`, ordered by time. If
  // `request_id` is set, only events of that request are returned.
  std::vector<Event> Read(HybridTime since,
                          const std::optional<std::string>& request_id,
                          size_t limit) const;

 private:
  struct Shard {
    mutable std::mutex mutex;
    std::vector<Event> ring;
    size_t next = 0;
  };

  const std::string process_;
  const size_t shard_capacity_;
  HybridClock* const clock_;
  const RecordHook on_record_;
  std::vector<Shard> shards_;
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_EVENT_LOG_H_
