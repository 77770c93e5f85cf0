// Objects of the platform's store and the outcomes of writes to them.
#ifndef GREENGAGE_STATE_PLATFORM_OBJECT_H_
#define GREENGAGE_STATE_PLATFORM_OBJECT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "greengage/state/failure.h"
#include "greengage/state/time.h"

namespace greengage {

// Identifies one object.
struct ObjectKey {
  std::string kind;
  std::string name;

  auto operator<=>(const ObjectKey&) const = default;
};

// Formats the key as "kind/name".
std::string ToString(const ObjectKey& key);

// The object that holds the operators' configuration.
ObjectKey ConfigurationObject();

// An object as read. Every write of any object is assigned a higher version.
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

// The outcome of a conditional write or delete, as far as it is known.
enum class WriteOutcome : uint8_t {
  kDone,         // The write took effect.
  kConflict,     // No effect: the object has another version.
  kNotFound,     // No effect: the object to delete does not exist.
  kRejected,     // No effect: the platform rejected the request.
  kUnavailable,  // No effect: no part of the request was sent.
  kAmbiguous,    // The answer was lost; the write may have taken effect or may
                 // do so later.
};

// Returns the name of `outcome` in snake_case.
std::string_view WriteOutcomeName(WriteOutcome outcome);

struct PlatformWrite {
  WriteOutcome outcome = WriteOutcome::kAmbiguous;
  // With kDone, the version of this write. With kConflict, the current version,
  // or 0 if the object does not exist.
  uint64_t version = 0;
  Failure reason;  // Set unless `outcome` is kDone.
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_PLATFORM_OBJECT_H_
