// Decides when an instance gives its crash slots back.
#ifndef GREENGAGE_COORDINATION_HELD_CRASH_SLOTS_H_
#define GREENGAGE_COORDINATION_HELD_CRASH_SLOTS_H_

#include <chrono>
#include <cstddef>
#include <unordered_map>
#include <vector>

#include "greengage/state/crash_slot.h"
#include "greengage/state/searcher_answer.h"
#include "greengage/state/time.h"

namespace greengage {

// What is known of the request that held a slot.
enum class SlotUse : uint8_t {
  kUnused,    // It ended no searcher.
  kAnswered,  // As kUnused, and it was answered, so it is not the cause.
  kUsedUp,    // A searcher ended, or may have ended, while it had it.
};

// Returns the use of the slot of a request whose attempts ended as `ends` say.
// `searcher_ended` is true if a searcher is known to have ended that had it.
SlotUse UseOf(const std::vector<AttemptEnd>& ends, bool searcher_ended);

struct HeldCrashSlotOptions {
  // How long a slot that is used up is kept: as long as the request is
  // rejected after the end of a searcher.
  Duration used_up_time = std::chrono::minutes(10);
  // Delay before a slot is given back again after a failure to do so.
  Duration retry_delay = std::chrono::seconds(1);
  // Slots that are kept. Further ones are not given back by this instance.
  size_t max_slots = 4096;
};

// The slots of requests that have ended. Not thread-safe.
class HeldCrashSlots {
 public:
  explicit HeldCrashSlots(HeldCrashSlotOptions options) : options_(options) {}

  // Reports the use of a slot. A later report about the slot replaces it.
  void OnEnded(TimePoint now, const CrashSlot& slot, SlotUse use);

  void OnGiveBackFailed(TimePoint now, const CrashSlot& slot);

  // Returns the slots that must be given back now, in any order, and forgets
  // them.
  std::vector<CrashSlot> TakeDue(TimePoint now);

 private:
  void Keep(TimePoint until, const CrashSlot& slot);

  const HeldCrashSlotOptions options_;
  std::unordered_map<CrashSlot, TimePoint, CrashSlotHash> kept_until_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_HELD_CRASH_SLOTS_H_
