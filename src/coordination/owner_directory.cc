#include "greengage/coordination/owner_directory.h"

#include <algorithm>
#include <utility>

namespace greengage {
namespace {

// Returns true if both tables produce equal owner sets.
bool HaveSameCandidates(const MemberTable& a, const MemberTable& b) {
  return std::equal(a.members.begin(), a.members.end(), b.members.begin(),
                    b.members.end(), [](const Instance& x, const Instance& y) {
                      return x.id == y.id && x.peer == y.peer &&
                             x.data_centre == y.data_centre &&
                             IsEligible(x) == IsEligible(y);
                    });
}

}  // namespace

void OwnerDirectory::SetTable(MemberTablePtr table) {
  const std::lock_guard lock(mutex_);
  const bool same = table_ && HaveSameCandidates(*table_, *table);
  table_ = std::move(table);
  if (!same) {
    Compute();
  }
}

void OwnerDirectory::SetConfiguration(ConfigurationPtr configuration) {
  const std::lock_guard lock(mutex_);
  configuration_ = std::move(configuration);
  Compute();
}

OwnerSetPtr OwnerDirectory::owners() const {
  const std::lock_guard lock(mutex_);
  return owners_;
}

void OwnerDirectory::Compute() {
  if (!table_ || !configuration_) {
    return;
  }
  const size_t candidates =
      size_t{configuration_->limits.owners_per_searcher} + 1;
  owners_ = std::make_shared<const OwnerSet>(table_, configuration_->searchers,
                                             candidates);
}

}  // namespace greengage
