#include "greengage/state/platform_object.h"

namespace greengage {

std::string ToString(const ObjectKey& key) {
  return key.kind + "/" + key.name;
}

ObjectKey ConfigurationObject() {
  return {"configuration", "current"};
}

std::string_view WriteOutcomeName(WriteOutcome outcome) {
  switch (outcome) {
    case WriteOutcome::kDone:
      return "done";
    case WriteOutcome::kConflict:
      return "conflict";
    case WriteOutcome::kNotFound:
      return "not_found";
    case WriteOutcome::kRejected:
      return "rejected";
    case WriteOutcome::kUnavailable:
      return "unavailable";
    case WriteOutcome::kAmbiguous:
      return "ambiguous";
  }
  return "unnamed";
}

}  // namespace greengage
