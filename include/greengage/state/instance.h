// What instances know of each other.
#ifndef GREENGAGE_STATE_INSTANCE_H_
#define GREENGAGE_STATE_INSTANCE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "greengage/state/endpoint.h"

namespace greengage {

enum class InstanceState : uint8_t {
  kLive = 0,
  kSuspect = 1,  // Probes failed; still used until declared gone.
  kLeaving = 2,  // Stops gracefully; owns nothing and watches nothing.
  kGone = 3,     // Declared failed, or has left.
};

// Name in snake_case.
std::string_view InstanceStateName(InstanceState state);

// One instance of the system. `incarnation` is raised by the instance itself
// to refute a suspicion; a restarted instance starts from its start time in
// milliseconds, above all that it used before.
struct Instance {
  std::string id;
  std::string data_centre;
  Endpoint gossip;  // UDP.
  Endpoint peer;    // nghttp2 streams.
  Endpoint http;    // Callers and operators.
  InstanceState state = InstanceState::kLive;
  uint64_t incarnation = 0;
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_INSTANCE_H_
