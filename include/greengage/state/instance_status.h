// The status that an instance reports to operators.
#ifndef GREENGAGE_STATE_INSTANCE_STATUS_H_
#define GREENGAGE_STATE_INSTANCE_STATUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "greengage/state/instance.h"

namespace greengage {

struct InstanceStatus {
  std::string id;
  std::string data_centre;
  InstanceState state = InstanceState::kLive;
  uint64_t configuration_version = 0;  // The active one; 0 if there is none.
  bool platform_down = false;
  // All instances in its member table, without gossip and peer endpoints.
  std::vector<Instance> members;
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_INSTANCE_STATUS_H_
