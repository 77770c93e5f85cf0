#include "greengage/coordination/peer_health.h"

#include <algorithm>

namespace greengage {
namespace {

constexpr Duration kMinPenalty = std::chrono::milliseconds(500);
constexpr Duration kMaxPenalty = std::chrono::seconds(4);

}  // namespace

void PeerHealth::OnFailure(TimePoint now, const std::string& instance) {
  const std::lock_guard lock(mutex_);
  Penalty& penalty = penalties_[instance];
  if (now < penalty.until) {
    return;  // Streams that fail together count as one failure.
  }
  penalty.length = std::clamp(penalty.length * 2, kMinPenalty, kMaxPenalty);
  penalty.until = now + penalty.length;
}

void PeerHealth::OnSuccess(const std::string& instance) {
  const std::lock_guard lock(mutex_);
  penalties_.erase(instance);
}

bool PeerHealth::IsUsable(TimePoint now, const std::string& instance) const {
  const std::lock_guard lock(mutex_);
  const auto found = penalties_.find(instance);
  return found == penalties_.end() || now >= found->second.until;
}

}  // namespace greengage
