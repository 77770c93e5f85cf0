#include "greengage/state/instance.h"

namespace greengage {

std::string_view InstanceStateName(InstanceState state) {
  switch (state) {
    case InstanceState::kLive:
      return "live";
    case InstanceState::kSuspect:
      return "suspect";
    case InstanceState::kLeaving:
      return "leaving";
    case InstanceState::kGone:
      return "gone";
  }
  return "unnamed";
}

}  // namespace greengage
