// Objects of the platform, and what became of attempts to write them.
#ifndef GREENGAGE_STATE_PLATFORM_OBJECT_H_
#define GREENGAGE_STATE_PLATFORM_OBJECT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "greengage/state/failure.h"
#include "greengage/state/time.h"

namespace greengage {

// Names one object.
struct ObjectKey {
  std::string kind;
  std::string name;

  auto operator<=>(const ObjectKey&) const = default;
};

// "kind/name".
std::string ToString(const ObjectKey& key);

// The object that holds the operators' configuration.
ObjectKey ConfigurationObject();

// An object as read. Versions grow with every write over all objects.
struct PlatformObject {
  ObjectKey key;
  uint64_t version = 0;
  std::string value;
  WallTime modified;
};

// An object as listed, without its value.
struct PlatformListing {
  std::string name;
  uint64_t version = 0;
  WallTime modified;
};

// What is known of a conditional write or delete.
enum class WriteOutcome : uint8_t {
  kDone,         // It took effect.
  kConflict,     // It did not: the object has another version.
  kNotFound,     // It did not: there is no such object to delete.
  kRejected,     // It did not: the platform does not accept the request.
  kUnavailable,  // It did not: nothing of it was sent.
  kAmbiguous,    // The answer was lost; it may have taken effect, or may yet.
};

// Name in snake_case.
std::string_view WriteOutcomeName(WriteOutcome outcome);

struct PlatformWrite {
  WriteOutcome outcome = WriteOutcome::kAmbiguous;
  // kDone: of this write. kConflict: the present one, 0 if there is none.
  uint64_t version = 0;
  Failure reason;  // Unless kDone.
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_PLATFORM_OBJECT_H_
