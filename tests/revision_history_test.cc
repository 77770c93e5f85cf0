#include "greengage/coordination/revision_history.h"

#include <chrono>

#include <criterion/criterion.h>

namespace greengage {
namespace {

using Ms = std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};

}  // namespace

Test(RevisionHistory, DatesAStateByTheLatestRevisionThatItHas) {
  RevisionHistory history;
  cr_assert(!history.CurrentAt({1, 9}));
  history.OnAnswer(kStart, {1, 5});
  history.OnAnswer(kStart + Ms(10), {1, 8});
  cr_assert(!history.CurrentAt({1, 4}));
  cr_assert(history.CurrentAt({1, 5}) == kStart);
  cr_assert(history.CurrentAt({1, 7}) == kStart);
  cr_assert(history.CurrentAt({1, 9}) == kStart + Ms(10));
}

// Guards against a state that counts as older while nothing changes.
Test(RevisionHistory, DatesARevisionByItsLatestAnswer) {
  RevisionHistory history;
  history.OnAnswer(kStart, {1, 5});
  history.OnAnswer(kStart + Ms(10), {1, 5});
  cr_assert(history.CurrentAt({1, 5}) == kStart + Ms(10));
}

// Guards against a state that counts as newer than it is.
Test(RevisionHistory, TakesAnswersOutOfOrder) {
  RevisionHistory history;
  history.OnAnswer(kStart + Ms(10), {1, 8});
  history.OnAnswer(kStart, {1, 5});
  cr_assert(!history.CurrentAt({1, 5}));
  history.OnAnswer(kStart + Ms(5), {1, 9});
  cr_assert(history.CurrentAt({1, 9}) == kStart + Ms(10));
  history.OnAnswer(kStart + Ms(20), {1, 8});
  cr_assert(history.CurrentAt({1, 8}) == kStart + Ms(10));
}

Test(RevisionHistory, OrdersRevisionsByEra) {
  RevisionHistory history;
  history.OnAnswer(kStart, {1, 9});
  history.OnAnswer(kStart + Ms(10), {2, 3});
  cr_assert(history.CurrentAt({1, 12}) == kStart);
  cr_assert(history.CurrentAt({2, 3}) == kStart + Ms(10));
}

}  // namespace greengage
