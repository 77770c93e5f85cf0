// Which of two configurations of a store is the newer one.
#ifndef GREENGAGE_STATE_CONFIGURATION_VERSION_H_
#define GREENGAGE_STATE_CONFIGURATION_VERSION_H_

#include <cstdint>
#include <tuple>

#include "greengage/state/store_revision.h"

namespace greengage {

// Ordered by the operators' version first: a store that was restored from a
// copy has an older configuration at a newer revision, until the operators
// write the lost one again.
struct ConfigurationVersion {
  uint64_t version = 0;
  StoreRevision revision;

  friend bool operator<(const ConfigurationVersion& a,
                        const ConfigurationVersion& b) {
    return std::tie(a.version, a.revision) < std::tie(b.version, b.revision);
  }
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_CONFIGURATION_VERSION_H_
