// What an instance says of itself to operators.
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
  uint64_t configuration_version = 0;  // In force; 0 before there is one.
  bool platform_down = false;
  // All instances that it knows of, without gossip and peer end points.
  std::vector<Instance> members;
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_INSTANCE_STATUS_H_
