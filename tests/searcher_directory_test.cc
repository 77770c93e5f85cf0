#include "greengage/coordination/searcher_directory.h"

#include <chrono>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace greengage {
namespace {

using Ms = std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr Duration kTypical = Ms(20);

SearcherEntry MakeEntry(const std::string& id, Ms started = Ms(1)) {
  SearcherEntry entry;
  entry.id = id;
  entry.service = "shard";
  entry.endpoint = {"10.0.0.1", 80};
  entry.slots = 2;
  entry.started = started;
  return entry;
}

struct Fixture {
  Fixture()
      : directory({[this](const RoutedSearcher&) { ++added; },
                   [this](const RoutedSearcher&, std::string_view reason) {
                     leaving.emplace_back(reason);
                   }}) {}

  Usability UsabilityOf(TimePoint now, size_t index = 0) {
    return directory.ForService("shard").at(index)->UsabilityAt(now, kTypical);
  }

  int added = 0;
  std::vector<std::string> leaving;
  SearcherDirectory directory;
};

}  // namespace

Test(SearcherDirectory, DrainingSearcherIsUnusable) {
  Fixture fixture;
  fixture.directory.Replace(kStart, {MakeEntry("a")});
  cr_assert(fixture.UsabilityOf(kStart) == Usability::kHealthy);
  SearcherEntry draining = MakeEntry("a");
  draining.draining = true;
  fixture.directory.Apply(kStart, {{"a", draining}});
  cr_assert(fixture.UsabilityOf(kStart) == Usability::kUnusable);
  cr_assert(fixture.leaving == std::vector<std::string>{"draining"});
  // A later entry without the draining flag is stale.
  fixture.directory.Apply(kStart, {{"a", MakeEntry("a")}});
  cr_assert(fixture.UsabilityOf(kStart) == Usability::kUnusable);
}

// A response of the store may contain heartbeats and removals, which must be
// applied in order: with the removals first, searchers that have left reappear.
Test(SearcherDirectory, AppliesRemovalAfterHeartbeatInSameResponse) {
  Fixture fixture;
  fixture.directory.Replace(kStart, {MakeEntry("a")});
  fixture.directory.Apply(kStart, {{"a", MakeEntry("a")}, {"a", std::nullopt}});
  cr_assert(fixture.UsabilityOf(kStart) == Usability::kUnregistered);
  fixture.directory.Expire(kStart + Ms(300));
  cr_assert(fixture.directory.ForService("shard").empty());
  cr_assert(fixture.leaving == std::vector<std::string>{"gone"});
}

Test(SearcherDirectory, EntryThatReappearsInTimeIsSameSearcher) {
  Fixture fixture;
  fixture.directory.Replace(kStart, {MakeEntry("a")});
  fixture.directory.Replace(kStart, {});
  cr_assert(fixture.UsabilityOf(kStart + Ms(1000)) == Usability::kUnregistered);
  fixture.directory.Apply(kStart + Ms(1500), {{"a", MakeEntry("a")}});
  cr_assert(fixture.UsabilityOf(kStart + Ms(1500)) == Usability::kHealthy);
  cr_assert(fixture.added == 1);
}

Test(SearcherDirectory, RestartUnderSameIdIsNewSearcher) {
  Fixture fixture;
  fixture.directory.Replace(kStart, {MakeEntry("a", Ms(1))});
  fixture.directory.Apply(kStart, {{"a", MakeEntry("a", Ms(2))}});
  cr_assert(fixture.added == 2);
  cr_assert(fixture.leaving == std::vector<std::string>{"restarted"});
  cr_assert(fixture.directory.ForService("shard").size() == 1);
}

// A store that was restored from a copy still has the entry.
Test(SearcherDirectory, ASearcherThatLeftIsNotUsedAgainAfterARestore) {
  Fixture fixture;
  SearcherEntry entry = MakeEntry("a");
  entry.report = 5;
  const SearcherEntry copied = entry;
  fixture.directory.Replace(kStart, {entry});
  entry.report = 6;
  entry.draining = true;
  fixture.directory.Apply(kStart, {{"a", entry}, {"a", std::nullopt}});
  fixture.directory.Expire(kStart + Ms(300));
  cr_assert(fixture.directory.ForService("shard").empty());
  for (const SearcherEntry& old : {copied, entry}) {
    fixture.directory.Replace(kStart + Ms(5000), {old});
    cr_assert(fixture.directory.ForService("shard").empty());
  }
}

Test(SearcherDirectory, ASearcherThatReportsAgainAfterItsEntryExpiredIsUsed) {
  Fixture fixture;
  SearcherEntry entry = MakeEntry("a");
  entry.report = 5;
  fixture.directory.Replace(kStart, {entry});
  fixture.directory.Apply(kStart, {{"a", std::nullopt}});
  fixture.directory.Expire(kStart + Ms(300));
  entry.report = 9;
  fixture.directory.Replace(kStart + Ms(5000), {entry});
  cr_assert(fixture.UsabilityOf(kStart + Ms(5000)) == Usability::kHealthy);
}

Test(SearcherDirectory, OnlyAnAnswerToAnExecutedRequestLiftsALimit) {
  RoutedSearcher searcher(kStart, MakeEntry("a"));
  AttemptOutcome outcome;
  outcome.end = AttemptEnd::kAnswered;
  outcome.request_limit = 5;
  searcher.OnSent(kStart, 1);
  searcher.OnEnded(kStart, 1, outcome, kTypical, Duration::zero());
  cr_assert(searcher.rate_limit().limit() == 5.0);
  outcome.request_limit.reset();
  outcome.end = AttemptEnd::kRejected;
  searcher.OnSent(kStart, 2);
  searcher.OnEnded(kStart, 2, outcome, kTypical, Duration::zero());
  cr_assert(searcher.rate_limit().limit() == 5.0);
  outcome.end = AttemptEnd::kAnswered;
  searcher.OnSent(kStart, 3);
  searcher.OnEnded(kStart, 3, outcome, kTypical, Duration::zero());
  cr_assert(!searcher.rate_limit().limit());
}

Test(SearcherDirectory, MisdirectedAttemptMakesSearcherUnusable) {
  Fixture fixture;
  fixture.directory.Replace(kStart, {MakeEntry("a")});
  const RoutedSearcherPtr searcher =
      fixture.directory.ForService("shard").front();
  searcher->OnSent(kStart, 1);
  AttemptOutcome outcome;
  outcome.end = AttemptEnd::kMisdirected;
  searcher->OnEnded(kStart, 1, outcome, kTypical, Duration::zero());
  cr_assert(fixture.UsabilityOf(kStart) == Usability::kUnusable);
}

Test(SearcherDirectory, UnresponsiveSearcherIsAvoidedUntilItAnswers) {
  Fixture fixture;
  fixture.directory.Replace(kStart, {MakeEntry("a")});
  const RoutedSearcherPtr searcher =
      fixture.directory.ForService("shard").front();
  searcher->OnSent(kStart, 1);
  cr_assert(fixture.UsabilityOf(kStart + Ms(50)) == Usability::kHealthy);
  cr_assert(fixture.UsabilityOf(kStart + Ms(70)) == Usability::kUnhealthy);
  AttemptOutcome outcome;
  outcome.end = AttemptEnd::kAnswered;
  searcher->OnEnded(kStart + Ms(300), 1, outcome, kTypical, Duration::zero());
  cr_assert(fixture.UsabilityOf(kStart + Ms(300)) == Usability::kHealthy);
}

Test(SearcherDirectory, SlowAnswersTemporarilyRaiseExpectedTime) {
  Fixture fixture;
  fixture.directory.Replace(kStart, {MakeEntry("a")});
  const RoutedSearcherPtr searcher =
      fixture.directory.ForService("shard").front();
  AttemptOutcome outcome;
  outcome.end = AttemptEnd::kAnswered;
  TimePoint now = kStart;
  for (uint64_t attempt = 1; attempt <= 8; ++attempt) {
    searcher->OnSent(now, attempt);
    now += 8 * kTypical;
    searcher->OnEnded(now, attempt, outcome, kTypical, Duration::zero());
  }
  const Duration slow =
      searcher->ExpectedLatency(now, kTypical, Duration::zero());
  cr_assert(slow > 4 * kTypical);
  const Duration later = searcher->ExpectedLatency(
      now + std::chrono::seconds(10), kTypical, Duration::zero());
  cr_assert(later < 2 * kTypical);
}

// A searcher may leave right after the state that a listing replaces. With the
// full grace period, a leave time of 3 s was exceeded by a change of the peer
// that an instance reads from.
Test(SearcherDirectory, ASearcherThatLeftIsDroppedWithinTheLeaveTime) {
  constexpr Duration kLeaveTime = Ms(3000);
  for (Duration age = Ms(0); age < kLeaveTime * 8 / 10; age += Ms(100)) {
    const Duration grace = ListingGracePeriod(age, kLeaveTime);
    cr_assert(age + grace < kLeaveTime);
    cr_assert(grace > Ms(0));
  }
  // After an outage of the store, entries of live searchers may have expired.
  cr_assert(ListingGracePeriod(kLeaveTime, kLeaveTime) == kListingGracePeriod);
}

// Guards against requests that wait for a connection and then exceed a limit
// that the searcher has named meanwhile.
Test(SearcherDirectory, RequestThatWaitedNeedsATokenOfALimitNamedMeanwhile) {
  RoutedSearcher searcher(kStart, MakeEntry("a"));
  constexpr uint64_t kWaiting = 20;
  for (uint64_t attempt = 1; attempt <= kWaiting; ++attempt) {
    searcher.OnSent(kStart, attempt);
  }
  searcher.rate_limit().OnAnswer(kStart, 2.0);
  const auto allowed_until = [&searcher](TimePoint now) {
    size_t allowed = 0;
    for (uint64_t attempt = 1; attempt <= kWaiting; ++attempt) {
      allowed += searcher.RenewToken(now, attempt, {}, {}) ? 1 : 0;
    }
    return allowed;
  };
  cr_assert(allowed_until(kStart) == 0);
  cr_assert(allowed_until(kStart + std::chrono::seconds(1)) == 2);
}

Test(SearcherDirectory, TokenOfARequestThatWaitedForLongIsReplaced) {
  RoutedSearcher searcher(kStart, MakeEntry("a"));
  searcher.rate_limit().OnAnswer(kStart, 1.0);
  searcher.OnSent(kStart, 1);
  const TimePoint soon = kStart + std::chrono::milliseconds(500);
  cr_assert(searcher.RenewToken(soon, 1, {}, {}));
  const TimePoint later = kStart + std::chrono::seconds(3);
  searcher.OnSent(later, 2);
  cr_assert(!searcher.RenewToken(later, 1, {}, {}));
  cr_assert(searcher.RenewToken(later, 2, {}, {}));
}

// Guards against a searcher that said that it leaves and is used again because
// of an entry that does not say so.
Test(SearcherDirectory, SearcherThatAnnouncedItsLeaveIsNotUsedAgain) {
  Fixture fixture;
  fixture.directory.Replace(kStart, {MakeEntry("a")});
  const RoutedSearcherPtr searcher =
      fixture.directory.ForService("shard").front();
  fixture.directory.OnAnnouncedLeaving(searcher);
  fixture.directory.OnAnnouncedLeaving(searcher);
  cr_assert(fixture.leaving == std::vector<std::string>{"announced"});
  SearcherEntry draining = MakeEntry("a");
  draining.draining = true;
  for (const SearcherEntry& entry :
       {MakeEntry("a"), draining, MakeEntry("a")}) {
    fixture.directory.Replace(kStart, {entry});
    cr_assert(fixture.UsabilityOf(kStart) == Usability::kUnusable);
  }
  cr_assert(fixture.leaving.size() == 1);
  // The store comes back from a copy that has the entry of before.
  fixture.directory.Apply(kStart, {{"a", std::nullopt}});
  fixture.directory.Expire(kStart + Ms(300));
  fixture.directory.Replace(kStart + Ms(300), {MakeEntry("a")});
  cr_assert(fixture.UsabilityOf(kStart + Ms(300)) == Usability::kUnusable);
  // Another process with the same id and address starts anew.
  fixture.directory.Replace(kStart + Ms(400), {MakeEntry("a", Ms(2))});
  cr_assert(fixture.UsabilityOf(kStart + Ms(400)) == Usability::kHealthy);
}

// An instance that is cut off from the searchers and the store hears from a
// peer that a searcher leaves.
Test(SearcherDirectory, SearcherThatLeavesByThePeersWordIsNotUsedAgain) {
  Fixture fixture;
  fixture.directory.Replace(kStart, {MakeEntry("a")});
  fixture.directory.OnAnnouncedLeaving(kStart, MakeEntry("a", Ms(2)));
  cr_assert(fixture.UsabilityOf(kStart) == Usability::kHealthy);
  fixture.directory.OnAnnouncedLeaving(kStart, MakeEntry("a"));
  cr_assert(fixture.UsabilityOf(kStart) == Usability::kUnusable);
  cr_assert(fixture.leaving == std::vector<std::string>{"announced"});
  // The process that the first word was about gets known later.
  fixture.directory.Replace(kStart + Ms(400), {MakeEntry("a", Ms(2))});
  cr_assert(fixture.UsabilityOf(kStart + Ms(400)) == Usability::kUnusable);
  fixture.directory.Replace(kStart + Ms(500), {MakeEntry("a", Ms(3))});
  cr_assert(fixture.UsabilityOf(kStart + Ms(500)) == Usability::kHealthy);
}

// A latency that overflows would be negative, and the searcher the best.
Test(RoutedSearcher, AbsurdLoadMakesASearcherNoBetter) {
  const TimePoint now{std::chrono::seconds(100)};
  constexpr Duration kTypicalLatency = std::chrono::milliseconds(20);
  AttemptOutcome answered;
  answered.end = AttemptEnd::kAnswered;
  answered.load = ReportedLoad{UINT32_MAX, 1, 1};
  SearcherEntry entry;
  entry.slots = 1;
  RoutedSearcher searcher(now, entry);
  searcher.OnSent(now, 1);
  searcher.OnEnded(now, 1, answered, kTypicalLatency, Duration::zero());
  cr_assert(searcher.ExpectedLatency(now, kTypicalLatency, Duration::zero()) >=
            std::chrono::seconds(1));
}

Test(SearcherDirectory, TrialsLeaveOutSearchersThatLeave) {
  Fixture fixture;
  SearcherEntry draining = MakeEntry("b");
  draining.draining = true;
  fixture.directory.Replace(
      kStart, {MakeEntry("a"), draining, MakeEntry("c"), MakeEntry("d")});
  fixture.directory.OnAnnouncedLeaving(
      fixture.directory.ForService("shard").at(2));
  fixture.directory.Apply(kStart, {{"d", std::nullopt}});
  std::minstd_rand random(1);
  const std::vector<SearcherEntry> sample =
      fixture.directory.Sample(kStart + Ms(300), 4, random);
  cr_assert(sample.size() == 1);
  cr_assert(sample.front().id == "a");
}

}  // namespace greengage
