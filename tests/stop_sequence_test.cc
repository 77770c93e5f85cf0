#include "greengage/coordination/stop_sequence.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

using Ms = std::chrono::milliseconds;

constexpr TimePoint kStart{};

}  // namespace

Test(StopSequence, ServesUntilNoRequestArrivesForTheNoticeTime) {
  StopSequence stop(kStart, Ms(500), Ms(10000));
  cr_assert(stop.Next(kStart + Ms(499), kStart, false) == StopStep::kServe);
  const TimePoint late = kStart + Ms(900);
  cr_assert(stop.Next(kStart + Ms(1399), late, false) == StopStep::kServe);
  cr_assert(stop.Next(kStart + Ms(1400), late, true) == StopStep::kDrain);
}

Test(StopSequence, FinishesWhenNoRequestIsInFlight) {
  StopSequence stop(kStart, Ms(0), Ms(10000));
  cr_assert(stop.Next(kStart, kStart, true) == StopStep::kDrain);
  cr_assert(stop.Next(kStart + Ms(10), kStart, true) == StopStep::kDrain);
  cr_assert(stop.Next(kStart + Ms(20), kStart, false) == StopStep::kFinished);
}

Test(StopSequence, FinishesAtTheGraceTimeWithRequestsInFlight) {
  StopSequence stop(kStart, Ms(500), Ms(1000));
  const TimePoint end = kStart + Ms(1500);
  cr_assert(stop.Next(end, end, true) == StopStep::kFinished);
}

Test(StopSequence, FinishesBeforeTheProcessIsKilled) {
  StopSequence stop(kStart, Ms(2500), Ms(3000), Ms(3000));
  // 11/12 of the kill timeout is usable, and the notice time gets 5/11 of that.
  cr_assert(stop.Next(kStart + Ms(1249), kStart, true) == StopStep::kServe);
  cr_assert(stop.Next(kStart + Ms(1251), kStart, true) == StopStep::kDrain);
  cr_assert(stop.Next(kStart + Ms(2751), kStart, true) == StopStep::kFinished);
  StopSequence long_enough(kStart, Ms(2500), Ms(3000), Ms(6000));
  cr_assert(long_enough.Next(kStart + Ms(2499), kStart, true) ==
            StopStep::kServe);
}

Test(StopSequence, LeavesTimeForTheLastAnswersBeforeTheProcessIsKilled) {
  const StopSequence unlimited(kStart, Ms(500), Ms(1000));
  cr_assert(unlimited.answers_end() == kStart + Ms(3500));
  const StopSequence limited(kStart, Ms(2500), Ms(3000), Ms(6000));
  cr_assert(limited.answers_end() == kStart + Ms(5750));
  const StopSequence early(kStart, Ms(500), Ms(1000), Ms(6000));
  cr_assert(early.answers_end() == kStart + Ms(3500));
}

// Guards against requests that are taken late in a shutdown and cut off at its
// end.
Test(StopSequence, TakesLateRequestsOnlyIfTheyEndInTime) {
  StopSequence stop(kStart, Ms(2500), Ms(3000), Ms(6000));
  const auto takes = [&stop](Ms at, Ms longest) {
    (void)stop.Next(kStart + at, kStart + at, true);
    return stop.Takes(kStart + at, longest);
  };
  cr_assert(takes(Ms(0), Ms(8000)));
  cr_assert(takes(Ms(2749), Ms(8000)));
  cr_assert(!takes(Ms(2751), Ms(8000)));
  cr_assert(takes(Ms(3500), Ms(2000)) && !takes(Ms(3501), Ms(2000)));
  cr_assert(takes(Ms(3999), Ms(600)));
  cr_assert(!takes(Ms(4000), Ms(1)));
}

}  // namespace greengage
