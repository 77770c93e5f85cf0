#include "greengage/coordination/admission.h"
#include "greengage/coordination/hedge_budget.h"
#include "greengage/coordination/hedge_policy.h"
#include "greengage/coordination/retry_budget.h"

#include <criterion/criterion.h>

namespace greengage {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Query UrgentQuery(TimePoint now) {
  Query query;
  query.service = "s";
  query.deadline = now + milliseconds(250);
  return query;
}

}  // namespace

Test(HedgeBudget, AllowsConfiguredShareAndNothingUnderLoad) {
  HedgeBudget budget(2);
  budget.OnSent(Rank::kUrgent, 100);
  cr_assert(budget.TrySpend(Rank::kUrgent));
  cr_assert(budget.TrySpend(Rank::kUrgent));
  cr_assert(!budget.TrySpend(Rank::kUrgent));
  for (int i = 0; i < 2000; ++i) {
    budget.OnAnswer(Rank::kUrgent, milliseconds(90), milliseconds(5));
  }
  budget.OnSent(Rank::kUrgent, 1000);
  cr_assert(!budget.TrySpend(Rank::kUrgent));
  budget.OnSent(Rank::kNormal, 100);
  cr_assert(budget.TrySpend(Rank::kNormal));
}

Test(RetryBudget, AllowsSafeRetriesWithinBudget) {
  SubRequest request;
  SubAnswer answer;
  answer.refusal = Refusal::kConnectionLost;
  cr_assert(IsRetryable(request, answer));
  request.idempotent = false;
  cr_assert(!IsRetryable(request, answer));
  answer.outcome = Outcome::kNotRun;
  cr_assert(IsRetryable(request, answer));
  for (const Refusal refusal :
       {Refusal::kOverloaded, Refusal::kShed, Refusal::kDeadline}) {
    answer.refusal = refusal;
    cr_assert(!IsRetryable(request, answer));
  }
  RetryBudget budget(10, 2);
  cr_assert(!budget.TrySpend("s", Rank::kUrgent, 3));
  cr_assert(budget.TrySpend("s", Rank::kUrgent, 2));
  cr_assert(!budget.TrySpend("s", Rank::kUrgent, 1));
  cr_assert(budget.TrySpend("s", Rank::kNormal, 1));
  budget.OnSent("s", Rank::kUrgent, 10);
  cr_assert(budget.TrySpend("s", Rank::kUrgent, 1));
}

Test(HedgePolicy, DelayIsAQuantileOfRecentLatencies) {
  HedgePolicy policy(HedgeOptions{});
  TimePoint now = TimePoint() + seconds(1);
  cr_assert(policy.Delay(now, "s", Rank::kUrgent) == milliseconds(50));
  for (int i = 0; i < 1000; ++i) {
    policy.Record(now, "s", Rank::kUrgent, milliseconds(i < 995 ? 4 : 900));
  }
  now += milliseconds(30);
  const Duration delay = policy.Delay(now, "s", Rank::kUrgent);
  cr_assert(delay >= milliseconds(4) && delay <= milliseconds(5));
  for (int i = 0; i < 500; ++i) {
    policy.Record(now, "s", Rank::kUrgent, milliseconds(900));
  }
  now += milliseconds(30);
  cr_assert(policy.Delay(now, "s", Rank::kUrgent) <= milliseconds(30));
  now += seconds(5);
  cr_assert(policy.Delay(now, "s", Rank::kUrgent) == milliseconds(50));
}

Test(Admission, RejectsQueriesThatWouldMissTheirDeadline) {
  Admission admission(AdmissionOptions{});
  TimePoint now = TimePoint() + seconds(10);
  // A query ends every 10 ms and may take 125 ms: about 12 fit in flight.
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(10);
    cr_assert(!admission.Admit(now, UrgentQuery(now)));
    admission.OnEnded(now, UrgentQuery(now), Answer{});
  }
  size_t admitted = 0;
  std::optional<AdmissionRejection> rejection;
  while (!rejection) {
    rejection = admission.Admit(now, UrgentQuery(now));
    admitted += rejection ? 0 : 1;
  }
  cr_assert_geq(admitted, 11U);
  cr_assert_leq(admitted, 14U);
  cr_assert(rejection->refusal == Refusal::kOverloaded);
  cr_assert(rejection->retry_after >= milliseconds(100));
  Query normal = UrgentQuery(now);
  normal.rank = Rank::kNormal;
  cr_assert(!admission.Admit(now, normal));
}

Test(Admission, OwnerRejectionsReduceTheLimit) {
  Admission admission(AdmissionOptions{});
  TimePoint now = TimePoint() + seconds(10);
  SubAnswer rejected;
  rejected.outcome = Outcome::kNotRun;
  rejected.refusal = Refusal::kOverloaded;
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(5);
    cr_assert(!admission.Admit(now, UrgentQuery(now)));
    admission.OnSubAnswer(now, "s", Rank::kUrgent, rejected);
    admission.OnEnded(now, UrgentQuery(now), Answer{});
  }
  size_t admitted = 0;
  while (!admission.Admit(now, UrgentQuery(now))) {
    ++admitted;
  }
  cr_assert_lt(admitted, 20U);  // 25 without rejections.
}

}  // namespace greengage
