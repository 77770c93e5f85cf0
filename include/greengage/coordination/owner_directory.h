// Maintains the current owner set.
#ifndef GREENGAGE_COORDINATION_OWNER_DIRECTORY_H_
#define GREENGAGE_COORDINATION_OWNER_DIRECTORY_H_

#include <memory>
#include <mutex>

#include "greengage/coordination/member_table.h"
#include "greengage/coordination/owner_set.h"
#include "greengage/state/configuration.h"

namespace greengage {

// Recomputes the OwnerSet when the members or the configuration change.
// Thread-safe.
class OwnerDirectory {
 public:
  void SetTable(MemberTablePtr table);
  void SetConfiguration(ConfigurationPtr configuration);

  // Returns null until both are set. The set has one owner per searcher more
  // than configured, as a spare for an unreachable owner.
  OwnerSetPtr owners() const;

 private:
  void Compute();

  mutable std::mutex mutex_;
  MemberTablePtr table_;
  ConfigurationPtr configuration_;
  OwnerSetPtr owners_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_OWNER_DIRECTORY_H_
