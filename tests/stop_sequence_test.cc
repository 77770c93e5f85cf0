#include "greengage/coordination/stop_sequence.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

using Ms = std::chrono::milliseconds;

constexpr TimePoint kStart{};

}  // namespace

Test(StopSequence, ServesUntilNoRequestHasComeForTheNoticeTime) {
  StopSequence stop(kStart, Ms(500), Ms(10000));
  cr_assert(stop.Next(kStart + Ms(499), kStart, false) == StopStep::kServe);
  const TimePoint late = kStart + Ms(900);
  cr_assert(stop.Next(kStart + Ms(1399), late, false) == StopStep::kServe);
  cr_assert(stop.Next(kStart + Ms(1400), late, true) == StopStep::kDrain);
}

Test(StopSequence, FinishesWhenTheWorkIsDone) {
  StopSequence stop(kStart, Ms(0), Ms(10000));
  cr_assert(stop.Next(kStart, kStart, true) == StopStep::kDrain);
  cr_assert(stop.Next(kStart + Ms(10), kStart, true) == StopStep::kDrain);
  cr_assert(stop.Next(kStart + Ms(20), kStart, false) == StopStep::kFinished);
}

Test(StopSequence, EndsAtTheGraceTimeWhateverIsUnderWay) {
  StopSequence stop(kStart, Ms(500), Ms(1000));
  const TimePoint end = kStart + Ms(1500);
  cr_assert(stop.Next(end, end, true) == StopStep::kFinished);
}

}  // namespace greengage
