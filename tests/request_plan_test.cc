#include "greengage/coordination/request_plan.h"

#include <chrono>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/harness/plan_fixture.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

using Ms = std::chrono::milliseconds;

constexpr Ms kDeadline{2500};

}  // namespace

Test(RequestPlan, ForwardsTheAnswerOfOneSearcher) {
  PlanFixture fixture(1, 2);
  RequestPlan plan =
      fixture.Plan(SingleRoute(RequestKind::kIdempotent), kDeadline);
  const RequestActions started = plan.Start(kPlanStart);
  cr_assert(started.sends.size() == 1 && !started.result);
  const RequestActions ended = plan.OnAttemptEnded(
      kPlanStart + Ms(10), started.sends[0].id, Ended(AttemptEnd::kAnswered));
  cr_assert(ended.result->outcome == RequestOutcome::kForwarded);
  cr_assert(ended.result->answer.status == 200);
}

Test(RequestPlan, RetriesANonIdempotentRequestOnlyIfItDidNotRun) {
  for (const AttemptEnd end : {AttemptEnd::kRejected, AttemptEnd::kMisdirected,
                               AttemptEnd::kNotSent}) {
    PlanFixture fixture(1, 2);
    RequestPlan plan =
        fixture.Plan(SingleRoute(RequestKind::kNonIdempotent), kDeadline);
    const RequestActions started = plan.Start(kPlanStart);
    const RequestActions again =
        plan.OnAttemptEnded(kPlanStart, started.sends[0].id, Ended(end));
    cr_assert(again.sends.size() == 1 && !again.result);
    cr_assert(again.sends[0].searcher != started.sends[0].searcher);
  }
  PlanFixture fixture(1, 2);
  RequestPlan plan =
      fixture.Plan(SingleRoute(RequestKind::kNonIdempotent), kDeadline);
  const RequestActions started = plan.Start(kPlanStart);
  const RequestActions lost = plan.OnAttemptEnded(
      kPlanStart, started.sends[0].id, Ended(AttemptEnd::kLost));
  cr_assert(lost.sends.empty());
  cr_assert(lost.result->outcome == RequestOutcome::kUnknown);
}

// Guards against a request that is rejected since the first searchers that were
// chosen have ended, although others are left.
Test(RequestPlan, TriesAllSearchersIfNoneOfTheFirstIsReached) {
  constexpr size_t kSearchers = 10;
  PlanFixture fixture(1, kSearchers);
  RequestPlan plan =
      fixture.Plan(SingleRoute(RequestKind::kNonIdempotent), kDeadline);
  RequestActions actions = plan.Start(kPlanStart);
  std::set<RoutedSearcherPtr> tried;
  for (size_t i = 0; i < kSearchers - 1; ++i) {
    cr_assert(actions.sends.size() == 1 && !actions.result, "%zu", i);
    tried.insert(actions.sends[0].searcher);
    actions = plan.OnAttemptEnded(kPlanStart, actions.sends[0].id,
                                  Ended(AttemptEnd::kNotSent));
  }
  cr_assert(actions.sends.size() == 1);
  tried.insert(actions.sends[0].searcher);
  cr_assert_eq(tried.size(), kSearchers);
  const RequestActions ended = plan.OnAttemptEnded(
      kPlanStart, actions.sends[0].id, Ended(AttemptEnd::kAnswered));
  cr_assert(ended.result->outcome == RequestOutcome::kForwarded);
}

// Guards against a request that waits for its deadline although no searcher can
// be reached.
Test(RequestPlan, IsRejectedAtOnceIfNoSearcherIsReached) {
  PlanFixture fixture(1, 10);
  RequestPlan plan =
      fixture.Plan(SingleRoute(RequestKind::kIdempotent), kDeadline);
  RequestActions actions = plan.Start(kPlanStart);
  while (!actions.result) {
    cr_assert(actions.sends.size() == 1);
    actions = plan.OnAttemptEnded(kPlanStart, actions.sends[0].id,
                                  Ended(AttemptEnd::kNotSent));
  }
  cr_assert(actions.result->outcome == RequestOutcome::kNotRun);
}

Test(RequestPlan, RejectsAtOnceWhenTheLimitsOfAllSearchersAreUsedUp) {
  PlanFixture fixture(1, 2);
  for (const RoutedSearcherPtr& searcher :
       fixture.context.searchers.ForService("s0")) {
    searcher->rate_limit().OnAnswer(kPlanStart, 2.0);
  }
  RequestPlan plan =
      fixture.Plan(SingleRoute(RequestKind::kNonIdempotent), kDeadline);
  const RequestActions started = plan.Start(kPlanStart);
  cr_assert(started.sends.empty());
  cr_assert(started.result->outcome == RequestOutcome::kNotRun);
  cr_assert(started.result->retry_after > Duration::zero());
}

// A gathered request needs a turn at one replica of each shard at a time.
Test(RequestPlan, TurnsAtReplicasAlternateAndThoseAtShardsCoincide) {
  PlanFixture fixture(2, 2);
  std::vector<double> places;
  for (const char* const service : {"s0", "s1"}) {
    for (const RoutedSearcherPtr& searcher :
         fixture.context.searchers.ForService(service)) {
      searcher->rate_limit().OnAnswer(kPlanStart, 2.0);
      places.push_back(fixture.context.LimitShareOf(*searcher).place);
    }
  }
  cr_assert(places == std::vector<double>({0, 0.5, 0, 0.5}));
}

Test(RequestPlan, SendsToTheSearcherWhoseLimitAllowsIt) {
  PlanFixture fixture(1, 2);
  const RoutedSearcherPtr limited =
      fixture.context.searchers.ForService("s0").front();
  limited->rate_limit().OnAnswer(kPlanStart, 2.0);
  for (int i = 0; i < 20; ++i) {
    RequestPlan plan =
        fixture.Plan(SingleRoute(RequestKind::kIdempotent), kDeadline);
    const RequestActions started = plan.Start(kPlanStart);
    cr_assert(started.sends.size() == 1);
    cr_assert(started.sends[0].searcher != limited);
  }
}

Test(RequestPlan, NeverHedgesANonIdempotentRequest) {
  PlanFixture fixture(1, 2);
  RequestPlan plan =
      fixture.Plan(SingleRoute(RequestKind::kNonIdempotent), kDeadline);
  (void)plan.Start(kPlanStart);
  for (int age = 0; age < 1900; age += 50) {
    cr_assert(plan.OnTimer(kPlanStart + Ms(age)).sends.empty());
  }
  const RequestActions due = plan.OnTimer(kPlanStart + Ms(2000));
  cr_assert(due.result->outcome == RequestOutcome::kTimedOut);
}

Test(RequestPlan, ReportsNotRunOnlyIfNoAttemptMayHaveRun) {
  PlanFixture fixture(1, 0);
  RequestPlan plan =
      fixture.Plan(SingleRoute(RequestKind::kIdempotent), kDeadline);
  const RequestActions none = plan.Start(kPlanStart);
  cr_assert(none.result->outcome == RequestOutcome::kNotRun);
  cr_assert(none.result->retry_after > Duration::zero());

  PlanFixture one(1, 1);
  RequestPlan lost = one.Plan(SingleRoute(RequestKind::kIdempotent), kDeadline);
  const RequestActions started = lost.Start(kPlanStart);
  const RequestActions ended = lost.OnAttemptEnded(
      kPlanStart, started.sends[0].id, Ended(AttemptEnd::kLost));
  cr_assert(ended.result->outcome == RequestOutcome::kUnknown);
}

Test(RequestPlan, RetriesSearchersThatRejectedAfterADelay) {
  PlanFixture fixture(1, 1);
  RequestPlan plan =
      fixture.Plan(SingleRoute(RequestKind::kIdempotent), kDeadline);
  const RequestActions started = plan.Start(kPlanStart);
  const RequestActions rejected = plan.OnAttemptEnded(
      kPlanStart, started.sends[0].id, Ended(AttemptEnd::kRejected));
  cr_assert(rejected.sends.empty() && !rejected.result);
  const RequestActions again = plan.OnTimer(*plan.next_timer());
  cr_assert(again.sends.size() == 1);
}

// Guards against a late copy of an answer that counts as that to the repeat.
Test(RequestPlan, MarksRepeatsAtASearcherThatHadTheRequest) {
  PlanFixture fixture(1, 2);
  RequestPlan plan =
      fixture.Plan(SingleRoute(RequestKind::kNonIdempotent), kDeadline);
  const RequestActions first = plan.Start(kPlanStart);
  const RequestActions second = plan.OnAttemptEnded(
      kPlanStart, first.sends[0].id, Ended(AttemptEnd::kRejected));
  cr_assert(!first.sends[0].is_repeat && !second.sends[0].is_repeat);
  (void)plan.OnAttemptEnded(kPlanStart, second.sends[0].id,
                            Ended(AttemptEnd::kRejected));
  const RequestActions third = plan.OnTimer(*plan.next_timer());
  cr_assert(third.sends.size() == 1 && third.sends[0].is_repeat);
}

// Guards against requests that wait for a connection and are sent although they
// must not be any more.
Test(RequestPlan, ForbiddenRequestIsNotSentToAnotherSearcher) {
  PlanFixture fixture(1, 2);
  RequestPlan plan =
      fixture.Plan(SingleRoute(RequestKind::kNonIdempotent), kDeadline);
  const RequestActions first = plan.Start(kPlanStart);
  RequestActions again = plan.OnAttemptEnded(kPlanStart, first.sends[0].id,
                                             Ended(AttemptEnd::kWithheld));
  cr_assert(again.sends.size() == 1);
  const RequestActions forbidden =
      plan.OnForbidden(std::move(again), Ms(500), "forbidden");
  cr_assert(forbidden.sends.empty() && forbidden.cancels.empty());
  cr_assert(forbidden.result->outcome == RequestOutcome::kNotRun);
  cr_assert(forbidden.result->retry_after == Ms(500));
  cr_assert(plan.open_attempts() == 0);
}

Test(RequestPlan, WithheldAttemptGoesToAnotherSearcherAtOnce) {
  PlanFixture fixture(1, 2, 0);
  RequestPlan plan =
      fixture.Plan(SingleRoute(RequestKind::kNonIdempotent), kDeadline);
  const RequestActions first = plan.Start(kPlanStart);
  const RequestActions second = plan.OnAttemptEnded(
      kPlanStart, first.sends[0].id, Ended(AttemptEnd::kWithheld));
  cr_assert(second.sends.size() == 1);
  cr_assert(second.sends[0].searcher != first.sends[0].searcher);
}

// Guards against requests to a searcher that wants none for some time.
Test(RequestPlan, SendsNothingToASearcherWhileItWantsNoRequests) {
  PlanFixture fixture(1, 2);
  AttemptOutcome closed = Ended(AttemptEnd::kRejected);
  closed.closed_for = Ms(2000);
  RequestPlan plan =
      fixture.Plan(SingleRoute(RequestKind::kNonIdempotent), kDeadline);
  const RequestActions first = plan.Start(kPlanStart);
  const RoutedSearcherPtr searcher = first.sends[0].searcher;
  (void)plan.OnAttemptEnded(kPlanStart, first.sends[0].id, closed);
  // A later answer with a shorter time does not take it back.
  searcher->OnClosed(kPlanStart + Ms(100));
  const auto uses_it_at = [&](TimePoint now) {
    bool uses_it = false;
    for (int i = 0; i < 50; ++i) {
      RequestPlan other =
          fixture.Plan(SingleRoute(RequestKind::kIdempotent), kDeadline, now);
      const RequestActions started = other.Start(now);
      cr_assert(started.sends.size() == 1);
      uses_it = uses_it || started.sends[0].searcher == searcher;
    }
    return uses_it;
  };
  cr_assert(!uses_it_at(kPlanStart + Ms(1999)));
  cr_assert(uses_it_at(kPlanStart + Ms(2500)));
}

Test(RequestPlan, RejectsAtOnceUntilASearcherWantsRequestsAgain) {
  PlanFixture fixture(3, 2);
  for (const std::string service : {"s0", "s1"}) {
    for (const RoutedSearcherPtr& searcher :
         fixture.context.searchers.ForService(service)) {
      searcher->OnClosed(kPlanStart + Ms(3000));
    }
  }
  for (const Route& route :
       {SingleRoute(RequestKind::kNonIdempotent), GatherRoute(3, 0.6)}) {
    RequestPlan plan = fixture.Plan(route, kDeadline);
    const RequestActions started = plan.Start(kPlanStart);
    cr_assert(started.sends.empty());
    cr_assert(started.result->outcome == RequestOutcome::kNotRun);
    cr_assert(started.result->retry_after >= Ms(3000));
  }
  // One open shard is enough.
  RequestPlan partial = fixture.Plan(GatherRoute(3, 0.3), kDeadline);
  const RequestActions started = partial.Start(kPlanStart);
  cr_assert(!started.result && started.sends.size() == 1);
}

Test(RequestPlan, InstancesComeBackToASearcherAtDifferentTimes) {
  PlanFixture fixture(1, 1);
  AttemptOutcome closed = Ended(AttemptEnd::kRejected);
  closed.closed_for = Ms(1000);
  std::set<Duration> waits;
  for (int i = 0; i < 10; ++i) {
    const TimePoint now = kPlanStart + i * Ms(10000);
    RequestPlan plan =
        fixture.Plan(SingleRoute(RequestKind::kIdempotent), kDeadline, now);
    const RequestActions started = plan.Start(now);
    (void)plan.OnAttemptEnded(now, started.sends[0].id, closed);
    const Duration wait = started.sends[0].searcher->ClosedFor(now);
    cr_assert(wait >= Ms(1000) && wait <= Ms(1200));
    waits.insert(wait);
  }
  cr_assert(waits.size() > 5);
}

Test(RequestPlan, KeepsTheMaximumAttemptsOfTheRoute) {
  PlanFixture fixture(1, 5);
  RequestPlan plan =
      fixture.Plan(SingleRoute(RequestKind::kIdempotent, 2), kDeadline);
  RequestActions actions = plan.Start(kPlanStart);
  size_t sent = 0;
  while (!actions.result) {
    cr_assert(actions.sends.size() == 1);
    ++sent;
    actions = plan.OnAttemptEnded(kPlanStart, actions.sends[0].id,
                                  Ended(AttemptEnd::kLost));
  }
  cr_assert(sent == 2);
}

Test(RequestPlan, KeepsTheBudgetOfExtraArrivals) {
  PlanFixture fixture(1, 2, 1);
  size_t extra = 0;
  for (int i = 0; i < 3; ++i) {
    RequestPlan plan =
        fixture.Plan(SingleRoute(RequestKind::kIdempotent), kDeadline);
    const RequestActions started = plan.Start(kPlanStart);
    const RequestActions lost = plan.OnAttemptEnded(
        kPlanStart, started.sends[0].id, Ended(AttemptEnd::kLost));
    extra += lost.sends.size();
  }
  cr_assert(extra == 1);
}

// Searchers that left at once let many first attempts miss their service. The
// retries are the first arrivals there and must not exhaust the budget.
Test(RequestPlan, RetriesWithoutBudgetWhatReachedNoSearcher) {
  for (const AttemptEnd end :
       {AttemptEnd::kMisdirected, AttemptEnd::kNotSent}) {
    PlanFixture fixture(1, 3, 0);
    RequestPlan plan =
        fixture.Plan(SingleRoute(RequestKind::kIdempotent), kDeadline);
    const RequestActions started = plan.Start(kPlanStart);
    const RequestActions second =
        plan.OnAttemptEnded(kPlanStart, started.sends[0].id, Ended(end));
    cr_assert(second.sends.size() == 1);
    // The second attempt arrived, so a third one is extra.
    const RequestActions third = plan.OnAttemptEnded(
        kPlanStart, second.sends[0].id, Ended(AttemptEnd::kLost));
    cr_assert(third.sends.empty());
  }
}

// Two requests use the same failing searchers. The one that requires fewer
// parts gets the extra arrival.
Test(RequestPlan, SpendsScarceExtraArrivalsWhereFewPartsAreMissing) {
  constexpr size_t kParts = 10;
  PlanFixture fixture(kParts, 2, 2.2);
  for (size_t i = 0; i < kParts; ++i) {
    const std::string service = "s" + std::to_string(i);
    cr_assert(fixture.context.extra_arrivals.TrySpend(kPlanStart, service));
    if (i < kParts / 2) {
      fixture.RecordRejections(service, 4);
    }
  }
  RequestPlan all = fixture.Plan(GatherRoute(kParts, 1), kDeadline);
  const RequestActions all_sent = all.Start(kPlanStart);
  const RequestActions given_up = all.OnAttemptEnded(
      kPlanStart + Ms(1), all_sent.sends[0].id, Ended(AttemptEnd::kLost));
  cr_assert(given_up.result->outcome == RequestOutcome::kUnknown);
  RequestPlan most = fixture.Plan(GatherRoute(kParts, 0.7), kDeadline);
  const RequestActions most_sent = most.Start(kPlanStart + Ms(1));
  const RequestActions again = most.OnAttemptEnded(
      kPlanStart + Ms(2), most_sent.sends[0].id, Ended(AttemptEnd::kLost));
  cr_assert(again.sends.size() == 1);
}

// The searcher of one of three shards does not answer. The next request that
// requires the shard is rejected without an attempt.
Test(RequestPlan, RejectsARequestThatRequiresAnUnresponsiveShard) {
  PlanFixture fixture(3, 1);
  RequestPlan first = fixture.Plan(GatherRoute(3, 1), kDeadline);
  const RequestActions sent = first.Start(kPlanStart);
  for (size_t i = 0; i < 2; ++i) {
    (void)first.OnAttemptEnded(kPlanStart + Ms(10), sent.sends[i].id,
                               Ended(AttemptEnd::kAnswered));
  }
  const TimePoint later = kPlanStart + Ms(400);
  RequestPlan whole = fixture.Plan(GatherRoute(3, 1), kDeadline, later);
  const RequestActions rejected = whole.Start(later);
  cr_assert(rejected.sends.empty());
  cr_assert(rejected.result->outcome == RequestOutcome::kNotRun);
  cr_assert(rejected.result->unlikely_parts == 1);
  // The time without an answer so far, plus up to 20 % to spread the retries.
  cr_assert(rejected.result->retry_after >= Ms(400));
  cr_assert(rejected.result->retry_after <= Ms(480));
  RequestPlan most = fixture.Plan(GatherRoute(3, 0.6), kDeadline, later);
  cr_assert(!most.Start(later).sends.empty());
}

// A configuration may contain a coverage out of range.
Test(RequestPlan, ClampsTheRequiredPartsToBetweenOneAndAll) {
  for (const double coverage : {-1.0, 1.5}) {
    PlanFixture fixture(2, 1);
    RequestPlan plan = fixture.Plan(GatherRoute(2, coverage), kDeadline);
    const RequestActions started = plan.Start(kPlanStart);
    cr_assert(started.sends.size() == 2 && !started.result);
    (void)plan.OnAttemptEnded(kPlanStart + Ms(5), started.sends[0].id,
                              Ended(AttemptEnd::kAnswered));
    const RequestActions ended = plan.OnAttemptEnded(
        kPlanStart + Ms(5), started.sends[1].id, Ended(AttemptEnd::kAnswered));
    cr_assert(ended.result->outcome == RequestOutcome::kMerged);
  }
}

Test(RequestPlan, ProbesAnUnresponsiveShardAfterTheInterval) {
  PlanFixture fixture(3, 1);
  RequestPlan first = fixture.Plan(GatherRoute(3, 1), kDeadline);
  (void)first.Start(kPlanStart);
  const TimePoint later = kPlanStart + Ms(600);
  RequestPlan trial = fixture.Plan(GatherRoute(3, 1), kDeadline, later);
  cr_assert(trial.Start(later).sends.size() == 3);
  RequestPlan next = fixture.Plan(GatherRoute(3, 1), kDeadline, later + Ms(10));
  cr_assert(next.Start(later + Ms(10)).sends.empty());
}

// A request that would be answered late is rejected unless it is urgent. Urgent
// ones are sent as long as they can be answered before their deadline.
Test(RequestPlan, RejectsLateRequestsOfLowerRanksOnly) {
  PlanFixture fixture(1, 1);
  fixture.RecordSlowAnswers("s0", 20);
  Route route = GatherRoute(1, 1);
  RequestPlan urgent = fixture.Plan(route, kDeadline);
  cr_assert(!urgent.Start(kPlanStart).sends.empty());
  route.priority = 1;
  RequestPlan other = fixture.Plan(route, kDeadline);
  const RequestActions rejected = other.Start(kPlanStart);
  cr_assert(rejected.result->outcome == RequestOutcome::kNotRun);
}

// The route has no recorded latencies, and its target latency is shorter than
// the initial estimate.
Test(RequestPlan, SendsARequestWithoutLatencySamples) {
  PlanFixture fixture(1, 1);
  Route route = GatherRoute(1, 1);
  route.priority = 2;
  route.target_latency = Ms(10);
  cr_assert(!fixture.Plan(route, kDeadline).Start(kPlanStart).sends.empty());
}

Test(RequestPlan, GivesUrgentCallersShorterRetryDelays) {
  for (int i = 0; i < 20; ++i) {
    PlanFixture fixture(1, 0);
    Route route = SingleRoute(RequestKind::kIdempotent);
    const RequestActions urgent =
        fixture.Plan(route, kDeadline).Start(kPlanStart);
    route.priority = 2;
    const RequestActions other =
        fixture.Plan(route, kDeadline).Start(kPlanStart);
    cr_assert(urgent.result->retry_after < other.result->retry_after);
  }
}

Test(RequestPlan, HedgesAPartThatIsSlowerThanUsual) {
  PlanFixture fixture(3, 2);
  RequestPlan plan = fixture.Plan(GatherRoute(3, 0.6), kDeadline);
  const RequestActions started = plan.Start(kPlanStart);
  cr_assert(started.sends.size() == 3);
  for (size_t i = 0; i < 2; ++i) {
    cr_assert(!plan.OnAttemptEnded(kPlanStart + Ms(10), started.sends[i].id,
                                   Ended(AttemptEnd::kAnswered))
                   .result);
  }
  const RequestActions hedged = plan.OnTimer(kPlanStart + Ms(45));
  cr_assert(hedged.sends.size() == 1);
  cr_assert(hedged.sends[0].reason == AttemptReason::kHedge);
  cr_assert(hedged.sends[0].searcher != started.sends[2].searcher);
  const RequestActions done = plan.OnAttemptEnded(
      kPlanStart + Ms(60), hedged.sends[0].id, Ended(AttemptEnd::kAnswered));
  cr_assert(done.result->outcome == RequestOutcome::kMerged);
  cr_assert(done.result->missing_parts == 0);
  cr_assert(done.cancels == std::vector<uint64_t>{started.sends[2].id});
}

Test(RequestPlan, GivesUpOnPartsOfUnresponsiveSearchers) {
  PlanFixture fixture(3, 1);
  RequestPlan plan = fixture.Plan(GatherRoute(3, 0.6), kDeadline);
  RequestActions actions = plan.Start(kPlanStart);
  TimePoint now = kPlanStart;
  constexpr int kMostSteps = 100;
  for (int step = 0; !actions.result; ++step) {
    cr_assert(step < kMostSteps);
    cr_assert(*plan.next_timer() > now);
    now = *plan.next_timer();
    actions = plan.OnTimer(now);
  }
  cr_assert(actions.result->outcome == RequestOutcome::kUnknown);
  // The searchers count as lost long before the deadline.
  cr_assert(now < kPlanStart + Ms(1200));
}

Test(RequestPlan, AnswersAtTheTargetLatencyWithTheRequiredCoverage) {
  PlanFixture fixture(3, 1);
  RequestPlan plan = fixture.Plan(GatherRoute(3, 0.6), kDeadline);
  const RequestActions started = plan.Start(kPlanStart);
  for (size_t i = 0; i < 2; ++i) {
    (void)plan.OnAttemptEnded(kPlanStart + Ms(10), started.sends[i].id,
                              Ended(AttemptEnd::kAnswered));
  }
  cr_assert(!plan.OnTimer(kPlanStart + Ms(200)).result);
  const RequestActions due = plan.OnTimer(kPlanStart + Ms(235));
  cr_assert(due.result->outcome == RequestOutcome::kMerged);
  cr_assert(due.result->parts.size() == 2 && due.result->missing_parts == 1);
  cr_assert(due.cancels.size() == 1 && !plan.next_timer());
}

Test(RequestPlan, WaitsBeyondTheTargetOnlyForTheRequiredCoverage) {
  PlanFixture fixture(3, 1);
  RequestPlan plan = fixture.Plan(GatherRoute(3, 0.6), kDeadline);
  const RequestActions started = plan.Start(kPlanStart);
  (void)plan.OnAttemptEnded(kPlanStart + Ms(10), started.sends[0].id,
                            Ended(AttemptEnd::kAnswered));
  cr_assert(!plan.OnTimer(kPlanStart + Ms(240)).result);
  const RequestActions enough = plan.OnAttemptEnded(
      kPlanStart + Ms(400), started.sends[1].id, Ended(AttemptEnd::kAnswered));
  cr_assert(enough.result->missing_parts == 1);
}

Test(RequestPlan, FailsImmediatelyIfTheCoverageCannotBeReached) {
  PlanFixture fixture(2, 1);
  Route route = GatherRoute(3, 0.9);  // No searcher serves the third shard.
  RequestPlan plan = fixture.Plan(std::move(route), kDeadline);
  const RequestActions started = plan.Start(kPlanStart);
  cr_assert(started.sends.empty());
  cr_assert(started.result->outcome != RequestOutcome::kMerged);
}

Test(RequestPlan, SendsNothingOnceTheCallerHasLeft) {
  PlanFixture fixture(3, 2);
  RequestPlan plan = fixture.Plan(GatherRoute(3, 0.6), kDeadline);
  (void)plan.Start(kPlanStart);
  const RequestActions left = plan.OnCallerLeft(kPlanStart + Ms(5));
  cr_assert(left.cancels.size() == 3);
  cr_assert(left.result->outcome == RequestOutcome::kCallerLeft);
  cr_assert(plan.OnTimer(kPlanStart + Ms(50)).sends.empty());
}

Test(RequestPlan, SplitsRequestsByWeight) {
  PlanFixture fixture(2, 1);
  Route route = SingleRoute(RequestKind::kIdempotent);
  route.services = {{"s0", 3}, {"s1", 1}};
  int first = 0;
  for (int i = 0; i < 40; ++i) {
    RequestPlan plan = fixture.Plan(route, kDeadline);
    const RequestActions started = plan.Start(kPlanStart);
    first += started.sends[0].searcher->entry().service == "s0" ? 1 : 0;
  }
  cr_assert(first == 30);
}

// The request may be what ends the searchers.
Test(RequestPlan, StopsAfterLossesAtAllShardsWithoutAnAnswer) {
  PlanFixture fixture(20, 2);
  RequestPlan plan = fixture.Plan(GatherRoute(20, 0.5), kDeadline);
  const RequestActions started = plan.Start(kPlanStart);
  size_t sent = started.sends.size();
  for (const AttemptToSend& send : started.sends) {
    sent += plan.OnAttemptEnded(kPlanStart + Ms(1), send.id,
                                Ended(AttemptEnd::kLost))
                .sends.size();
  }
  cr_assert(sent < 25, "%zu attempts", sent);
}

Test(RequestPlan, SendsTheFirstPartOfASuspectedQueryAlone) {
  PlanFixture fixture(5, 2);
  RequestPlan plan = fixture.Plan(GatherRoute(5, 1), kDeadline, kPlanStart,
                                  AttemptPolicy::kOneAtATime);
  const RequestActions started = plan.Start(kPlanStart);
  cr_assert(started.sends.size() == 1);
  const RequestActions answered = plan.OnAttemptEnded(
      kPlanStart + Ms(5), started.sends[0].id, Ended(AttemptEnd::kAnswered));
  cr_assert(answered.sends.size() == 4);
  RequestActions last;
  for (const AttemptToSend& send : answered.sends) {
    last = plan.OnAttemptEnded(kPlanStart + Ms(9), send.id,
                               Ended(AttemptEnd::kAnswered));
  }
  cr_assert(last.result->outcome == RequestOutcome::kMerged);
  cr_assert(plan.RanWithoutLoss());
}

Test(RequestPlan, EndsASuspectedQueryWithItsFirstLoss) {
  for (const Route& route :
       {GatherRoute(5, 0.5), SingleRoute(RequestKind::kIdempotent)}) {
    PlanFixture fixture(5, 2);
    RequestPlan plan =
        fixture.Plan(route, kDeadline, kPlanStart, AttemptPolicy::kOneAtATime);
    const RequestActions started = plan.Start(kPlanStart);
    cr_assert(started.sends.size() == 1);
    cr_assert(plan.OnTimer(kPlanStart + Ms(200)).sends.empty());
    const RequestActions lost = plan.OnAttemptEnded(
        kPlanStart + Ms(5), started.sends[0].id, Ended(AttemptEnd::kLost));
    cr_assert(lost.sends.empty());
    cr_assert(lost.result->outcome == RequestOutcome::kUnknown);
    cr_assert(!plan.RanWithoutLoss());
  }
}

}  // namespace greengage
