// Which peers just failed, known from the traffic itself, before membership
// has noticed.
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
  // A link to `instance` failed: it is avoided for a time that doubles with
  // each failure in a row.
  void OnFailure(TimePoint now, const std::string& instance);

  // `instance` answered.
  void OnSuccess(const std::string& instance);

  // Whether work may be forwarded to `instance`.
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
