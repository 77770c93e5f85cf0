// Shared rights to send a request under which searchers ended.
#ifndef GREENGAGE_STATE_CRASH_SLOT_H_
#define GREENGAGE_STATE_CRASH_SLOT_H_

#include <cstddef>
#include <string>

#include "greengage/state/request_digest.h"

namespace greengage {

// The right to send one copy of a request that may end searchers. At most one
// instance holds a slot at a time.
struct CrashSlot {
  RequestDigest digest;
  size_t number = 0;  // Counts the slots of a digest, from 0.

  bool operator==(const CrashSlot&) const = default;
};

struct CrashSlotHash {
  size_t operator()(const CrashSlot& slot) const {
    return RequestDigestHash()(slot.digest) + slot.number;
  }
};

// Returns the name under which instances share the slot.
std::string NameOf(const CrashSlot& slot);

}  // namespace greengage

#endif  // GREENGAGE_STATE_CRASH_SLOT_H_
