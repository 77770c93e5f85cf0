#include "greengage/coordination/held_crash_slots.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include <criterion/criterion.h>

namespace greengage {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr RequestDigest kDigest{1, 2};
constexpr CrashSlot kSlot{kDigest, 1};

using Slots = std::vector<CrashSlot>;

}  // namespace

Test(HeldCrashSlots, AnUnansweredAttemptUsesTheSlotUp) {
  using End = AttemptEnd;
  cr_assert(UseOf({}, false) == SlotUse::kUnused);
  cr_assert(UseOf({End::kNotSent, End::kWithheld, End::kRejected}, false) ==
            SlotUse::kUnused);
  cr_assert(UseOf({End::kAnswered, End::kRejected}, false) ==
            SlotUse::kAnswered);
  cr_assert(UseOf({End::kFailed}, false) == SlotUse::kAnswered);
  cr_assert(UseOf({End::kAnswered, End::kLost}, false) == SlotUse::kUsedUp);
  cr_assert(UseOf({End::kAbandoned}, false) == SlotUse::kUsedUp);
  cr_assert(UseOf({End::kAnswered}, true) == SlotUse::kUsedUp);
}

Test(HeldCrashSlots, KeepsASlotThatIsUsedUpForAWhile) {
  HeldCrashSlots slots{HeldCrashSlotOptions{}};
  slots.OnEnded(kStart, kSlot, SlotUse::kUsedUp);
  cr_assert(slots.TakeDue(kStart + std::chrono::minutes(9)).empty());
  cr_assert(slots.TakeDue(kStart + std::chrono::minutes(10)) == Slots{kSlot});
  cr_assert(slots.TakeDue(kStart + std::chrono::minutes(11)).empty());
}

Test(HeldCrashSlots, GivesASlotBackOnceItsSearchersAreKnownToRun) {
  HeldCrashSlots slots{HeldCrashSlotOptions{}};
  slots.OnEnded(kStart, kSlot, SlotUse::kUsedUp);
  cr_assert(slots.TakeDue(kStart).empty());
  slots.OnEnded(kStart, kSlot, SlotUse::kUnused);
  cr_assert(slots.TakeDue(kStart) == Slots{kSlot});
}

// Instances that held slots may have ended.
Test(HeldCrashSlots, AnAnswerGivesBackTheSlotsBeforeItsOwn) {
  HeldCrashSlots slots{HeldCrashSlotOptions{}};
  slots.OnEnded(kStart, kSlot, SlotUse::kAnswered);
  const Slots due = slots.TakeDue(kStart);
  const Slots expected{{kDigest, 0}, kSlot};
  cr_assert(std::is_permutation(due.begin(), due.end(), expected.begin(),
                                expected.end()));
}

Test(HeldCrashSlots, GivesASlotBackAgainAfterAFailure) {
  HeldCrashSlots slots{HeldCrashSlotOptions{}};
  slots.OnGiveBackFailed(kStart, kSlot);
  cr_assert(slots.TakeDue(kStart).empty());
  cr_assert(slots.TakeDue(kStart + std::chrono::seconds(1)) == Slots{kSlot});
}

Test(HeldCrashSlots, KeepsABoundedNumberOfSlots) {
  HeldCrashSlotOptions options;
  options.max_slots = 10;
  HeldCrashSlots slots{options};
  for (uint64_t i = 0; i < 100; ++i) {
    slots.OnEnded(kStart, {{i, i}, 0}, SlotUse::kUsedUp);
  }
  cr_assert(slots.TakeDue(kStart + std::chrono::hours(1)).size() == 10);
}

}  // namespace greengage
