// An instance's entry in the registry of instances.
#ifndef GREENGAGE_STATE_INSTANCE_RECORD_H_
#define GREENGAGE_STATE_INSTANCE_RECORD_H_

#include <string>

#include "greengage/state/endpoint.h"

namespace greengage {

struct InstanceRecord {
  std::string id;
  std::string data_centre;
  Endpoint peer;            // Where other instances connect to (TCP).
  double capacity = 0;      // Processor cores that the instance may use.
  bool is_stopped = false;  // It stops or has stopped, and may start again.

  friend bool operator==(const InstanceRecord&,
                         const InstanceRecord&) = default;
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_INSTANCE_RECORD_H_
