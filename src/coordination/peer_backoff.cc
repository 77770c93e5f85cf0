#include "greengage/coordination/peer_backoff.h"

#include <algorithm>

namespace greengage {

void PeerBackoff::OnFailed(TimePoint now,
                           const std::string& peer,
                           PeerFailure failure) {
  FailedPeer& failed = failed_[peer];
  if (failure != PeerFailure::kNoAnswer) {
    failed = {Duration::zero(), now + (failure == PeerFailure::kRefused
                                           ? options_.refusal_delay
                                           : options_.cut_off_delay)};
    return;
  }
  failed.delay = std::clamp(failed.delay * 2, options_.min_retry_delay,
                            options_.max_retry_delay);
  failed.skipped_until = now + failed.delay;
}

bool PeerBackoff::IsSkipped(TimePoint now, const std::string& peer) const {
  const auto found = failed_.find(peer);
  return found != failed_.end() && now < found->second.skipped_until;
}

}  // namespace greengage
