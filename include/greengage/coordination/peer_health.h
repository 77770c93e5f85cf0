// Passive health checks of peer instances: failures are detected from the
// forwarded traffic, before membership detects them.
#ifndef GREENGAGE_COORDINATION_PEER_HEALTH_H_
#define GREENGAGE_COORDINATION_PEER_HEALTH_H_

#include <mutex>
#include <string>
#include <unordered_map>

#include "greengage/state/time.h"

namespace greengage {

// Thread-safe.
class PeerHealth {
 public:
  // Records a failed connection or stream to `instance`. The instance is
  // avoided for a time that doubles with each consecutive failure.
  void OnFailure(TimePoint now, const std::string& instance);

  // Records an answer of `instance`, which ends its avoidance.
  void OnSuccess(const std::string& instance);

  // True if work may be forwarded to `instance`.
  bool IsUsable(TimePoint now, const std::string& instance) const;

 private:
  struct Penalty {
    TimePoint until;
    Duration length{};
  };

  mutable std::mutex mutex_;
  std::unordered_map<std::string, Penalty> penalties_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_PEER_HEALTH_H_
