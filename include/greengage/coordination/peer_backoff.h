// Leaves out peers that failed recently.
#ifndef GREENGAGE_COORDINATION_PEER_BACKOFF_H_
#define GREENGAGE_COORDINATION_PEER_BACKOFF_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "greengage/state/time.h"

namespace greengage {

enum class PeerFailure : uint8_t {
  kNoAnswer,  // The peer may be lost.
  kRefused,   // The peer answered that it cannot serve the call.
  kCutOff,    // As kRefused, because the peer does not reach the searchers.
};

struct PeerBackoffOptions {
  // How long a peer is left out that did not answer. Doubles with each further
  // failure, since the registry keeps instances that were lost.
  Duration min_retry_delay = std::chrono::seconds(3);
  Duration max_retry_delay = std::chrono::seconds(60);
  // How long a peer is left out that refused a call.
  Duration refusal_delay = std::chrono::milliseconds(400);
  // How long a peer is left out that does not reach the searchers.
  Duration cut_off_delay = std::chrono::seconds(2);
};

// Not thread-safe.
class PeerBackoff {
 public:
  explicit PeerBackoff(PeerBackoffOptions options) : options_(options) {}

  void OnFailed(TimePoint now, const std::string& peer, PeerFailure failure);

  void OnAnswered(const std::string& peer) { failed_.erase(peer); }

  // Returns true if the peer must not be called yet.
  bool IsSkipped(TimePoint now, const std::string& peer) const;

 private:
  struct FailedPeer {
    Duration delay{};
    TimePoint skipped_until;
  };

  const PeerBackoffOptions options_;
  std::map<std::string, FailedPeer> failed_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_PEER_BACKOFF_H_
