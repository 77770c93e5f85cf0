// Selects the claims to delete and the instance that deletes them.
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

// Page size of a sweep, and the intervals between sweeps, page reads and
// deletions. They keep the load of a sweep on the platform low.
inline constexpr size_t kClaimPageSize = 200;
inline constexpr std::chrono::seconds kClaimSweepPeriod{60};
inline constexpr std::chrono::milliseconds kClaimPagePeriod{500};
inline constexpr std::chrono::milliseconds kClaimDeletePeriod{20};

// A claim object as returned by the platform's list.
struct ListedClaim {
  std::string name;
  uint64_t version = 0;
};

// The deletions for one page. Each deletion is conditional on the listed
// version, so that a claim that changes in the meantime is kept.
struct ClaimSweepStep {
  std::vector<ListedClaim> expired;
  std::string next_after;  // Start of the next page; empty after the last one.
};

// Returns true if `self` is the live instance with the lowest id, which runs
// the sweep. Concurrent sweeps by two instances are harmless.
bool ShouldSweepClaims(std::string_view self,
                       const std::vector<Instance>& instances);

// Selects the expired claims of `page`, a list of at most `page_size` claims
// ordered by name. Objects whose name is not a claim name are ignored.
ClaimSweepStep PlanClaimSweep(const std::vector<ListedClaim>& page,
                              size_t page_size,
                              const ClaimLimits& limits,
                              WallTime now);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_CLAIM_SWEEP_H_
