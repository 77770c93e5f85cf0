// The owner set as of now.
#ifndef GREENGAGE_COORDINATION_OWNER_DIRECTORY_H_
#define GREENGAGE_COORDINATION_OWNER_DIRECTORY_H_

#include <memory>
#include <mutex>

#include "greengage/coordination/member_table.h"
#include "greengage/coordination/owner_set.h"
#include "greengage/state/configuration.h"

namespace greengage {

// Keeps an OwnerSet in step with the members and the configuration.
// Thread-safe.
class OwnerDirectory {
 public:
  void SetTable(MemberTablePtr table);
  void SetConfiguration(ConfigurationPtr configuration);

  // Null before both are known. Each searcher has one candidate more than the
  // configured number of owners, for when an owner is out of reach.
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
