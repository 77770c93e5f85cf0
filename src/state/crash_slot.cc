#include "greengage/state/crash_slot.h"

namespace greengage {

std::string NameOf(const CrashSlot& slot) {
  return ToString(slot.digest) + "-" + std::to_string(slot.number);
}

}  // namespace greengage
