// Decides which claims are deleted, and by whom.
#ifndef GREENGAGE_COORDINATION_CLAIM_SWEEP_H_
#define GREENGAGE_COORDINATION_CLAIM_SWEEP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "greengage/coordination/claim.h"
#include "greengage/state/instance.h"
#include "greengage/state/time.h"

namespace greengage {

// One page of the platform's list, and how often a page is read and a claim
// deleted, so that a sweep never takes a notable share of the platform.
inline constexpr size_t kClaimPageSize = 200;
inline constexpr std::chrono::seconds kClaimSweepPeriod{60};
inline constexpr std::chrono::milliseconds kClaimPagePeriod{500};
inline constexpr std::chrono::milliseconds kClaimDeletePeriod{20};

// One claim object as listed.
struct ListedClaim {
  std::string name;
  uint64_t version = 0;
};

// What to do after one page. Deletions carry the version, so that a claim
// which changes meanwhile stays.
struct ClaimSweepStep {
  std::vector<ListedClaim> expired;
  std::string next_after;  // Empty: the sweep is done.
};

// Whether the instance `self` is the one that sweeps: the live one with the
// lowest id. Two that both think so do no harm.
bool ShouldSweepClaims(std::string_view self,
                       const std::vector<Instance>& instances);

// Plans the deletions out of `page`, a list of at most `page_size` claims
// ordered by name. Names that are not claims are left alone.
ClaimSweepStep PlanClaimSweep(const std::vector<ListedClaim>& page,
                              size_t page_size,
                              const ClaimLimits& limits,
                              WallTime now);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_CLAIM_SWEEP_H_
