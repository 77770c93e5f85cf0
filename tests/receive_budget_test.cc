#include "greengage/coordination/receive_budget.h"

#include <chrono>
#include <memory>

#include <criterion/criterion.h>

namespace greengage {
namespace {

using Share = ReceiveBudget::Share;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr TimePoint kLater = kStart + ReceiveBudget::kProtectedTime;
constexpr size_t kBudget = 1000;

// Size of a message that reserves `bytes`.
constexpr size_t Message(size_t bytes) {
  return ReceiveBudget::kFreeBytes + bytes;
}

struct Fixture {
  std::unique_ptr<Share> MakeShare() {
    return std::make_unique<Share>(budget, [this] { ++evictions; });
  }

  std::shared_ptr<ReceiveBudget> budget =
      std::make_shared<ReceiveBudget>(kBudget);
  int evictions = 0;
};

}  // namespace

Test(ReceiveBudget, CountsWhatMessagesTakeBeyondTheirFirstBytes) {
  Fixture fixture;
  const auto share = fixture.MakeShare();
  cr_assert(share->Resize(kStart, ReceiveBudget::kFreeBytes));
  cr_assert_eq(fixture.budget->reserved(), 0);
  cr_assert(share->Resize(kStart, Message(700)));
  cr_assert(share->Resize(kStart, Message(300)));
  cr_assert_eq(fixture.budget->reserved(), 300);
  share->Release();
  cr_assert_eq(fixture.budget->reserved(), 0);
}

Test(ReceiveBudget, GivesTheMemoryBackAtTheEndOfAShare) {
  Fixture fixture;
  cr_assert(fixture.MakeShare()->Resize(kStart, Message(700)));
  cr_assert_eq(fixture.budget->reserved(), 0);
}

Test(ReceiveBudget, RefusesWhatYoungMessagesHaveNotLeft) {
  Fixture fixture;
  const auto first = fixture.MakeShare();
  const auto second = fixture.MakeShare();
  cr_assert(first->Resize(kStart, Message(700)));
  cr_assert(!second->Resize(kStart, Message(301)));
  cr_assert(second->Resize(kStart, Message(300)));
  cr_assert(!first->Resize(kStart, Message(701)));
  cr_assert_eq(fixture.budget->reserved(), kBudget);
  cr_assert_eq(fixture.evictions, 0);
}

// Guards against stalled senders that keep the memory from all others.
Test(ReceiveBudget, TakesTheMemoryOfTheOldestMessages) {
  Fixture fixture;
  const auto oldest = fixture.MakeShare();
  const auto old = fixture.MakeShare();
  const auto young = fixture.MakeShare();
  cr_assert(oldest->Resize(kStart, Message(400)));
  cr_assert(old->Resize(kStart, Message(400)));
  cr_assert(young->Resize(kLater, Message(600)));
  cr_assert_eq(fixture.evictions, 1);
  cr_assert(oldest->evicted() && !old->evicted());
  cr_assert_eq(fixture.budget->reserved(), kBudget);
  cr_assert(!oldest->Resize(kLater, Message(1)));
  oldest->Release();
  cr_assert(!oldest->evicted());
  cr_assert_eq(fixture.budget->reserved(), kBudget);
}

// Guards against evictions that do not free enough.
Test(ReceiveBudget, TakesNoMemoryInVain) {
  Fixture fixture;
  const auto old = fixture.MakeShare();
  const auto young = fixture.MakeShare();
  const auto next = fixture.MakeShare();
  cr_assert(old->Resize(kStart, Message(400)));
  cr_assert(young->Resize(kLater, Message(500)));
  cr_assert(!next->Resize(kLater, Message(501)));
  cr_assert(!next->Resize(kLater, Message(kBudget + 1)));
  cr_assert_eq(fixture.evictions, 0);
}

Test(ReceiveBudget, TakesNothingFromTheMessageThatGrows) {
  Fixture fixture;
  const auto old = fixture.MakeShare();
  const auto young = fixture.MakeShare();
  cr_assert(old->Resize(kStart, Message(600)));
  cr_assert(young->Resize(kLater, Message(400)));
  cr_assert(!old->Resize(kLater, Message(700)));
  cr_assert(!old->evicted());
}

}  // namespace greengage
