// The membership data that instances exchange about each other.
#ifndef GREENGAGE_STATE_INSTANCE_H_
#define GREENGAGE_STATE_INSTANCE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "greengage/state/endpoint.h"

namespace greengage {

enum class InstanceState : uint8_t {
  kLive = 0,
  kSuspect = 1,  // Probes failed; used until it is declared gone.
  kLeaving = 2,  // Shuts down gracefully; owns no searchers and watches
                 // nothing.
  kGone = 3,     // Was declared failed, or has left.
};

// Returns the name of `state` in snake_case.
std::string_view InstanceStateName(InstanceState state);

// One instance of the system. The instance increments its own `incarnation` to
// refute a suspicion. The initial value is the start time in milliseconds, so
// that a restarted instance exceeds all its earlier incarnations.
struct Instance {
  std::string id;
  std::string data_centre;
  Endpoint gossip;  // UDP.
  Endpoint peer;    // Streams of other instances, over HTTP/2.
  Endpoint http;    // Requests of callers and operators.
  InstanceState state = InstanceState::kLive;
  uint64_t incarnation = 0;
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_INSTANCE_H_
