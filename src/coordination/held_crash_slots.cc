#include "greengage/coordination/held_crash_slots.h"

#include <algorithm>

namespace greengage {

SlotUse UseOf(const std::vector<AttemptEnd>& ends, bool searcher_ended) {
  const auto has = [&ends](AttemptEnd end) {
    return std::find(ends.begin(), ends.end(), end) != ends.end();
  };
  if (searcher_ended || has(AttemptEnd::kLost) || has(AttemptEnd::kAbandoned)) {
    return SlotUse::kUsedUp;
  }
  return has(AttemptEnd::kAnswered) || has(AttemptEnd::kFailed)
             ? SlotUse::kAnswered
             : SlotUse::kUnused;
}

// An answered request found the slots before its own taken. Some may be left
// by instances that have ended, and nobody else gives those back soon.
void HeldCrashSlots::OnEnded(TimePoint now,
                             const CrashSlot& slot,
                             SlotUse use) {
  if (use == SlotUse::kUsedUp) {
    Keep(now + options_.used_up_time, slot);
    return;
  }
  const size_t first = use == SlotUse::kAnswered ? 0 : slot.number;
  for (size_t number = first; number <= slot.number; ++number) {
    Keep(now, {slot.digest, number});
  }
}

void HeldCrashSlots::OnGiveBackFailed(TimePoint now, const CrashSlot& slot) {
  Keep(now + options_.retry_delay, slot);
}

void HeldCrashSlots::Keep(TimePoint until, const CrashSlot& slot) {
  if (kept_until_.size() < options_.max_slots || kept_until_.contains(slot)) {
    kept_until_[slot] = until;
  }
}

std::vector<CrashSlot> HeldCrashSlots::TakeDue(TimePoint now) {
  std::vector<CrashSlot> due;
  std::erase_if(kept_until_, [&](const auto& item) {
    const bool is_due = now >= item.second;
    if (is_due) {
      due.push_back(item.first);
    }
    return is_due;
  });
  return due;
}

}  // namespace greengage
