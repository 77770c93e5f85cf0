#include "greengage/coordination/claim_sweep.h"

#include <algorithm>

namespace greengage {

bool ShouldSweepClaims(std::string_view self,
                       const std::vector<Instance>& instances) {
  return std::none_of(
      instances.begin(), instances.end(), [self](const Instance& other) {
        return other.state == InstanceState::kLive && other.id < self;
      });
}

ClaimSweepStep PlanClaimSweep(const std::vector<ListedClaim>& page,
                              size_t page_size,
                              const ClaimLimits& limits,
                              WallTime now) {
  ClaimSweepStep step;
  for (const ListedClaim& claim : page) {
    const Result<WallTime> time = ClaimNameTime(claim.name);
    if (time && ClaimMayBeDeleted(*time, limits, now)) {
      step.expired.push_back(claim);
    }
  }
  if (page.size() >= page_size) {
    step.next_after = page.back().name;
  }
  return step;
}

}  // namespace greengage
