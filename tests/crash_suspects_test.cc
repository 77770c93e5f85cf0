#include "greengage/coordination/crash_suspects.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace greengage {
namespace {

using Ms = std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr Ms kSecond{1000};
constexpr RequestDigest kDigest{1, 2};

CrashReport Report(const RequestDigest& digest,
                   int request,
                   int searcher,
                   const std::string& service = "s0") {
  return {digest, "r" + std::to_string(request), service,
          service + "/" + std::to_string(searcher), Ms(searcher)};
}

void OnCrash(CrashSuspects& suspects,
             TimePoint now,
             const CrashReport& report) {
  suspects.OnCrash(now, report, {{report.searcher}});
}

SuspectDecision DecisionAt(const CrashSuspects& suspects, TimePoint now) {
  return suspects.Judge(now, kDigest).decision;
}

}  // namespace

Test(CrashSuspects, RejectsARequestThatEndedThreeSearchers) {
  CrashSuspects suspects{CrashSuspectOptions{}};
  cr_assert(DecisionAt(suspects, kStart) == SuspectDecision::kServe);
  OnCrash(suspects, kStart, Report(kDigest, 1, 1));
  OnCrash(suspects, kStart + kSecond, Report(kDigest, 2, 2));
  cr_assert(DecisionAt(suspects, kStart + kSecond) ==
            SuspectDecision::kServeWarily);
  suspects.Add(kStart + kSecond, Report(kDigest, 3, 3));
  const SuspectVerdict verdict = suspects.Judge(kStart + 2 * kSecond, kDigest);
  cr_assert(verdict.decision == SuspectDecision::kReject);
  cr_assert(verdict.crashes == 3);
  cr_assert(verdict.retry_after > std::chrono::minutes(9));
  cr_assert(suspects.Judge(kStart, {1, 3}).decision == SuspectDecision::kServe);
}

// Reports arrive again and in any order.
Test(CrashSuspects, CountsEachSearcherOnce) {
  CrashSuspects suspects{CrashSuspectOptions{}};
  for (int i = 0; i < 5; ++i) {
    suspects.Add(kStart, Report(kDigest, 2, 2));
    suspects.Add(kStart, Report(kDigest, 1, 1));
    suspects.Add(kStart, Report(kDigest, 3, 1));
  }
  cr_assert(suspects.Judge(kStart, kDigest).crashes == 2);
}

Test(CrashSuspects, CountsOnePartOfAQuery) {
  CrashSuspects suspects{CrashSuspectOptions{}};
  for (int shard = 0; shard < 20; ++shard) {
    OnCrash(suspects, kStart,
            Report(kDigest, 1, 1, "s" + std::to_string(shard)));
  }
  cr_assert(suspects.Judge(kStart, kDigest).crashes == 1);
  cr_assert(suspects.TakeChanges(kStart + kSecond).share.size() == 1);
}

Test(CrashSuspects, ForgetsARequestThatIsAnswered) {
  CrashSuspects suspects{CrashSuspectOptions{}};
  OnCrash(suspects, kStart, Report(kDigest, 1, 1));
  suspects.Add(kStart, Report(kDigest, 2, 2));
  cr_assert(suspects.OnAnswered(kDigest).size() == 2);
  cr_assert(DecisionAt(suspects, kStart) == SuspectDecision::kServe);
  cr_assert(suspects.TakeChanges(kStart + kSecond).share.empty());
}

Test(CrashSuspects, SendsOneCopyOfASuspectedRequestAtATime) {
  CrashSuspects suspects{CrashSuspectOptions{}};
  OnCrash(suspects, kStart, Report(kDigest, 1, 1));
  cr_assert(suspects.Admit(kStart, kDigest).decision ==
            SuspectDecision::kServeWarily);
  const SuspectVerdict second = suspects.Admit(kStart, kDigest);
  cr_assert(second.decision == SuspectDecision::kDefer);
  cr_assert(second.retry_after > Duration::zero());
  suspects.Release(kDigest);
  cr_assert(suspects.Admit(kStart, kDigest).decision ==
            SuspectDecision::kServeWarily);
}

// Searchers get repaired.
Test(CrashSuspects, TriesARejectedRequestAgainAfterAWhile) {
  CrashSuspects suspects{CrashSuspectOptions{}};
  for (int i = 0; i < 3; ++i) {
    OnCrash(suspects, kStart, Report(kDigest, i, i));
  }
  const TimePoint later = kStart + std::chrono::minutes(11);
  cr_assert(DecisionAt(suspects, later) == SuspectDecision::kServeWarily);
  OnCrash(suspects, later, Report(kDigest, 4, 4));
  cr_assert(DecisionAt(suspects, later) == SuspectDecision::kReject);
  cr_assert(suspects.Expire(later + std::chrono::hours(2)).size() == 4);
  cr_assert(suspects.size() == 0);
}

// When many searchers end at once, whatever each of them had is not the cause.
Test(CrashSuspects, SuspectsNoRequestWhenManySearchersEndAtOnce) {
  CrashSuspects suspects{CrashSuspectOptions{}};
  TimePoint now = kStart;
  uint64_t refused = 0;
  for (int wave = 0; wave < 5; ++wave) {
    for (int searcher = 0; searcher < 30; ++searcher) {
      for (uint64_t request = 0; request < 2; ++request) {
        const auto id = static_cast<uint64_t>(searcher) * 2 + request;
        OnCrash(suspects, now + Ms(searcher),
                Report({id, id}, wave, searcher + 100 * wave));
      }
    }
    now += kSecond;
    cr_assert(suspects.TakeChanges(now).share.empty());
    for (uint64_t id = 0; id < 60; ++id) {
      refused +=
          suspects.Judge(now, {id, id}).decision == SuspectDecision::kReject
              ? 1
              : 0;
    }
    now += 2 * kSecond;
  }
  cr_assert(refused == 0, "%lu requests were rejected", refused);
}

// The first reports are shared before the ends of the other searchers are
// known.
Test(CrashSuspects, WithdrawsReportsOnceACommonCauseIsKnown) {
  CrashSuspects suspects{CrashSuspectOptions{}};
  OnCrash(suspects, kStart, Report(kDigest, 1, 1));
  cr_assert(suspects.TakeChanges(kStart).share.size() == 1);
  for (int searcher = 2; searcher < 6; ++searcher) {
    const auto id = static_cast<uint64_t>(searcher);
    OnCrash(suspects, kStart + Ms(10), Report({id, id}, searcher, searcher));
  }
  const CrashReportChanges changes = suspects.TakeChanges(kStart + Ms(20));
  cr_assert(changes.share.empty() && changes.withdraw.size() == 1);
  cr_assert(DecisionAt(suspects, kStart + Ms(20)) == SuspectDecision::kServe);
}

// A request that ends the searchers of all shards has no cause in common with
// anything else.
Test(CrashSuspects, SuspectsAQueryThatEndsTheSearchersOfManyShards) {
  CrashSuspects suspects{CrashSuspectOptions{}};
  for (int query = 0; query < 3; ++query) {
    const TimePoint now = kStart + query * 3 * kSecond;
    for (int shard = 0; shard < 20; ++shard) {
      OnCrash(suspects, now,
              Report(kDigest, query, query, "s" + std::to_string(shard)));
    }
    cr_assert(suspects.TakeChanges(now + kSecond).share.size() == 1);
  }
  cr_assert(DecisionAt(suspects, kStart + 7 * kSecond) ==
            SuspectDecision::kReject);
}

// A query that is lost cancels its other attempts, and leaves reports of these
// searchers to the requests that ended with them.
Test(CrashSuspects, SuspectsAQueryWhoseOtherAttemptsWereCancelled) {
  CrashSuspects suspects{CrashSuspectOptions{}};
  std::vector<std::string> sent_to;
  for (int shard = 0; shard < 20; ++shard) {
    const std::string service = "s" + std::to_string(shard);
    sent_to.push_back(service + "/1");
    OnCrash(suspects, kStart, Report({7, 7}, 9, 1, service));
  }
  suspects.OnCrash(kStart, Report(kDigest, 1, 1), {sent_to});
  const std::vector<CrashReport> due =
      suspects.TakeChanges(kStart + kSecond).share;
  cr_assert(std::any_of(due.begin(), due.end(), [](const CrashReport& report) {
    return report.digest == kDigest;
  }));
}

// A repeat at another instance ends the other searchers of the shards at the
// same time.
Test(CrashSuspects, SuspectsAQueryWhoseRepeatEndsOtherSearchers) {
  CrashSuspects suspects{CrashSuspectOptions{}};
  suspects.OnCrash(kStart, Report(kDigest, 1, 1), {{"s0/1"}, true});
  for (int shard = 0; shard < 20; ++shard) {
    OnCrash(suspects, kStart,
            Report({7, 7}, 9, 2, "s" + std::to_string(shard)));
  }
  (void)suspects.TakeChanges(kStart + kSecond);
  cr_assert(DecisionAt(suspects, kStart) == SuspectDecision::kServeWarily);
}

// The second and third searcher may end while others do.
Test(CrashSuspects, CountsALaterEndWhateverElseEnds) {
  CrashSuspects suspects{CrashSuspectOptions{}};
  OnCrash(suspects, kStart, Report(kDigest, 1, 1));
  (void)suspects.TakeChanges(kStart + kSecond);
  const TimePoint later = kStart + 5 * kSecond;
  for (int searcher = 2; searcher < 9; ++searcher) {
    const auto id = static_cast<uint64_t>(searcher);
    OnCrash(suspects, later, Report({id, id}, searcher, searcher));
  }
  OnCrash(suspects, later, Report(kDigest, 2, 9));
  (void)suspects.TakeChanges(later + kSecond);
  cr_assert(suspects.Judge(later, kDigest).crashes == 2);
}

// Copies at several instances must share the ends that are allowed.
Test(CrashSuspects, ASuspectedRequestNeedsASlot) {
  CrashSuspects suspects{CrashSuspectOptions{}};
  cr_assert(suspects.Judge(kStart, kDigest).slots == 0);
  OnCrash(suspects, kStart, Report(kDigest, 1, 1));
  cr_assert(suspects.Judge(kStart, kDigest).slots == 3);
  OnCrash(suspects, kStart + 2 * kSecond, Report(kDigest, 2, 2));
  OnCrash(suspects, kStart + 4 * kSecond, Report(kDigest, 3, 3));
  cr_assert(suspects.Judge(kStart + 4 * kSecond, kDigest).slots == 0);
  cr_assert(suspects.Judge(kStart + std::chrono::minutes(11), kDigest).slots ==
            1);
}

// A request that arrived before the first report may have waited for a
// connection.
Test(CrashSuspects, ARequestWithoutASlotIsNotSentLongAfterAReport) {
  CrashSuspects suspects{CrashSuspectOptions{}};
  const auto decision = [&](Duration after, int request, bool has_slot) {
    return suspects
        .JudgeSend(kStart + after, kDigest, "r" + std::to_string(request),
                   has_slot)
        .decision;
  };
  cr_assert(decision(kSecond, 2, false) == SuspectDecision::kServe);
  OnCrash(suspects, kStart, Report(kDigest, 1, 1));
  cr_assert(decision(kSecond, 2, false) == SuspectDecision::kServe);
  cr_assert(decision(2 * kSecond, 2, false) == SuspectDecision::kDefer);
  cr_assert(decision(2 * kSecond, 2, true) == SuspectDecision::kServe);
  cr_assert(decision(2 * kSecond, 1, false) == SuspectDecision::kServe);
  OnCrash(suspects, kStart, Report(kDigest, 3, 3));
  OnCrash(suspects, kStart, Report(kDigest, 4, 4));
  cr_assert(decision(Duration::zero(), 1, true) == SuspectDecision::kReject);
}

Test(CrashSuspects, KeepsABoundedNumberOfRequests) {
  CrashSuspectOptions options;
  options.max_digests = 100;
  CrashSuspects suspects{options};
  for (int i = 0; i < 1000; ++i) {
    const auto id = static_cast<uint64_t>(i);
    suspects.Add(kStart + Ms(i), Report({id, id}, i, i));
  }
  cr_assert(suspects.size() == 100);
  cr_assert(suspects.Judge(kStart, {999, 999}).crashes == 1);
}

}  // namespace greengage
