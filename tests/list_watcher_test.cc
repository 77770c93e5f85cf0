#include "greengage/transport/list_watcher.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

namespace greengage {
namespace {

using Watcher = ListWatcher<int>;
using Page = StorePage<int>;
using Ms = std::chrono::milliseconds;

// A store that holds each call until the test calls Answer().
struct FakeStore {
  std::vector<std::string> calls;
  Watcher::PageCallback pending;

  void Answer(Result<Page> page) {
    std::exchange(pending, nullptr)(std::move(page));
  }
};

struct Fixture {
  explicit Fixture(ListWatchOptions options = {.watch_delay = Ms(0)},
                   std::shared_ptr<RevisionHistory> history = nullptr) {
    options.backoff = {Ms(1), Ms(4)};
    Watcher::Hooks hooks;
    hooks.list = [this](const std::string& after, auto done) {
      store.calls.push_back("list " + after);
      store.pending = std::move(done);
    };
    hooks.watch = [this](uint64_t revision, Ms, auto done) {
      store.calls.push_back("watch " + std::to_string(revision));
      store.pending = std::move(done);
      return [this] { store.calls.emplace_back("cancel"); };
    };
    if (options.poll_interval < Ms(1000)) {
      hooks.poll = [this](auto done) {
        store.calls.emplace_back("poll");
        store.pending = std::move(done);
      };
    }
    hooks.on_snapshot = [this](auto items, StoreRevision) {
      snapshots.push_back(items.size());
    };
    hooks.on_changes = [this](auto items, StoreRevision) {
      changes += items.size();
    };
    hooks.history = std::move(history);
    hooks.on_missed = [this](StoreRevision revision) {
      missed.push_back(revision.number);
    };
    hooks.on_failing = [this](const Failure&) { ++failing_calls; };
    hooks.on_recovered = [this] { ++recovered_calls; };
    hooks.on_restored = [this](StoreRevision revision, StoreRevision) {
      restored.push_back(revision.era);
    };
    watcher = std::make_shared<Watcher>(context, options, std::move(hooks));
    watcher->Start();
  }

  // Runs timers until a call is pending at the store.
  void RunUntilCall() {
    while (!store.pending && context.run_one() > 0) {
    }
    context.restart();
  }

  boost::asio::io_context context;
  FakeStore store;
  std::vector<size_t> snapshots;
  std::vector<uint64_t> restored;  // Eras.
  std::vector<uint64_t> missed;    // Revisions.
  size_t changes = 0;
  int failing_calls = 0;
  int recovered_calls = 0;
  std::shared_ptr<Watcher> watcher;
};

Page PageOf(uint64_t number,
            std::vector<std::string> names,
            bool more,
            uint64_t era = 1) {
  const StoreRevision revision{era, number};
  Page page;
  page.revision = revision;
  page.more = more;
  for (std::string& name : names) {
    page.items.push_back({std::move(name), revision, false, 1});
  }
  return page;
}

const Failure kStoreUnavailable{FailureKind::kUnavailable, "store",
                                "no answer"};

}  // namespace

Test(ListWatcher, ListsAllPagesAndWatchesFromTheFirstPagesRevision) {
  Fixture fixture;
  fixture.store.Answer(PageOf(7, {"a", "b"}, true));
  fixture.store.Answer(PageOf(9, {"c"}, false));
  fixture.RunUntilCall();
  cr_assert(fixture.store.calls ==
            std::vector<std::string>({"list ", "list b", "watch 7"}));
  cr_assert(fixture.snapshots == std::vector<size_t>{3});
}

Test(ListWatcher, ResumesFromTheRevisionOfTheLastAnswer) {
  Fixture fixture;
  fixture.store.Answer(PageOf(7, {"a"}, false));
  fixture.RunUntilCall();
  fixture.store.Answer(PageOf(12, {"b"}, false));
  fixture.RunUntilCall();
  cr_assert(fixture.store.calls.back() == "watch 12");
  cr_assert(fixture.changes == 1);
}

Test(ListWatcher, ListsAgainWhenHistoryIsDiscarded) {
  Fixture fixture;
  fixture.store.Answer(PageOf(7, {"a"}, false));
  fixture.RunUntilCall();
  fixture.store.Answer(Failure{FailureKind::kStaleVersion, "store", "gone"});
  fixture.RunUntilCall();
  cr_assert(fixture.store.calls.back() == "list ");
  cr_assert(fixture.failing_calls == 0);
}

// A store can discard its history without reporting it. A watch resumed from
// the old revision then waits for changes that the store can no longer report.
Test(ListWatcher, ListsAgainAfterAFailedWatch) {
  Fixture fixture;
  fixture.store.Answer(PageOf(7, {"a"}, false));
  fixture.RunUntilCall();
  fixture.store.Answer(kStoreUnavailable);
  fixture.RunUntilCall();
  cr_assert(fixture.store.calls.back() == "list ");
  cr_assert(fixture.failing_calls == 1);
  fixture.store.Answer(PageOf(9, {"a"}, false));
  cr_assert(fixture.recovered_calls == 1);
}

// The connection of the watch has stalled, so only a poll detects the change.
Test(ListWatcher, ListsAgainWhenAPollFindsAChangeThatTheWatchMissed) {
  Fixture fixture({.watch_delay = Ms(0), .poll_interval = Ms(1)});
  fixture.store.Answer(PageOf(7, {"a"}, false));
  fixture.RunUntilCall();
  const auto stalled_watch = std::exchange(fixture.store.pending, nullptr);
  fixture.RunUntilCall();
  cr_assert(fixture.store.calls.back() == "poll");
  fixture.store.Answer(PageOf(9, {"a"}, false));
  cr_assert(fixture.missed == std::vector<uint64_t>{9});
  cr_assert(fixture.store.calls.back() == "list ");
  // The stalled watch must not keep its connection to the store.
  cr_assert(std::ranges::count(fixture.store.calls, "cancel") == 1);
  fixture.store.Answer(PageOf(9, {"a"}, false));
  cr_assert(fixture.snapshots.size() == 2);
  // A late result of the stalled watch is ignored.
  stalled_watch(PageOf(8, {"a"}, false));
  cr_assert(fixture.changes == 0);
}

// With many changes the store returns the oldest first, up to its page size.
// With the usual delay after each page, the state falls behind for good.
Test(ListWatcher, FetchesTheNextPageAtOnceAfterAFullOne) {
  Fixture fixture({.watch_delay = Ms(300), .full_watch_items = 2});
  fixture.store.Answer(PageOf(7, {"a"}, false));
  fixture.RunUntilCall();
  fixture.store.Answer(PageOf(9, {"a", "b"}, false));
  fixture.context.run_for(Ms(100));
  cr_assert(fixture.store.calls.back() == "watch 9");
  cr_assert(fixture.store.pending);
  fixture.context.restart();
  fixture.store.Answer(PageOf(10, {"a"}, false));
  fixture.context.run_for(Ms(100));
  cr_assert(!fixture.store.pending);
}

Test(ListWatcher, IgnoresAPollWithoutChanges) {
  Fixture fixture({.watch_delay = Ms(0), .poll_interval = Ms(1)});
  fixture.store.Answer(PageOf(7, {"a"}, false));
  fixture.RunUntilCall();
  fixture.store.pending = nullptr;
  fixture.RunUntilCall();
  fixture.store.Answer(PageOf(5, {"a"}, false));
  cr_assert(fixture.snapshots.size() == 1);
}

Test(ListWatcher, BelievesARecentPollWithoutChanges) {
  Fixture fixture({.watch_delay = Ms(0),
                   .poll_interval = Ms(1),
                   .max_unverified_time = Ms(60000)},
                  std::make_shared<RevisionHistory>());
  fixture.store.Answer(PageOf(7, {"a"}, false));
  fixture.RunUntilCall();
  fixture.store.pending = nullptr;
  fixture.RunUntilCall();
  cr_assert(fixture.store.calls.back() == "poll");
  fixture.store.Answer(PageOf(7, {"a"}, false));
  fixture.RunUntilCall();
  cr_assert(fixture.store.calls.back() == "poll");
  cr_assert(fixture.missed.empty());
}

// The answer that reported a removal is lost.
Test(ListWatcher, ListsAgainAfterAPollThatLacksAnObject) {
  Fixture fixture({.watch_delay = Ms(0), .poll_interval = Ms(1)});
  fixture.store.Answer(PageOf(7, {"a", "b"}, false));
  fixture.RunUntilCall();
  fixture.store.pending = nullptr;
  fixture.RunUntilCall();
  // It may be from before the creation.
  fixture.store.Answer(PageOf(6, {"a"}, false));
  fixture.RunUntilCall();
  cr_assert(fixture.store.calls.back() == "poll");
  Page page = PageOf(7, {"a"}, false);
  page.revision.number = 9;
  fixture.store.Answer(page);
  cr_assert(fixture.store.calls.back() == "list ");
  cr_assert(fixture.missed == std::vector<uint64_t>{9});
}

// The answer to the watch is lost, and the polls are too old to show the
// change.
Test(ListWatcher, ReadsWhatIsCurrentAfterPollsThatAreTooOld) {
  Fixture fixture({.watch_delay = Ms(0),
                   .poll_interval = Ms(1),
                   .max_unverified_time = Ms(20)},
                  std::make_shared<RevisionHistory>());
  fixture.store.Answer(PageOf(7, {"a"}, false));
  fixture.RunUntilCall();
  fixture.store.pending = nullptr;
  fixture.RunUntilCall();
  cr_assert(fixture.store.calls.back() == "poll");
  std::this_thread::sleep_for(Ms(20));
  // The time of revision 5 is not known.
  fixture.store.Answer(PageOf(5, {"a"}, false));
  cr_assert(fixture.store.calls.back() == "list ");
  // The watch still waits.
  cr_assert(std::ranges::count(fixture.store.calls, "cancel") == 0);
  fixture.store.Answer(PageOf(9, {"a"}, false));
  cr_assert(fixture.missed == std::vector<uint64_t>{9});
  cr_assert(std::ranges::count(fixture.store.calls, "cancel") == 1);
  cr_assert(fixture.store.calls.back() == "list ");
  fixture.store.Answer(PageOf(9, {"a"}, false));
  cr_assert(fixture.snapshots.size() == 2);
}

// A store that does not answer a poll may not have answered the watch either.
Test(ListWatcher, ListsAgainAfterAFailedPoll) {
  Fixture fixture({.watch_delay = Ms(0), .poll_interval = Ms(1)},
                  std::make_shared<RevisionHistory>());
  fixture.store.Answer(PageOf(7, {"a"}, false));
  fixture.RunUntilCall();
  fixture.store.pending = nullptr;
  fixture.RunUntilCall();
  cr_assert(fixture.store.calls.back() == "poll");
  fixture.store.Answer(kStoreUnavailable);
  cr_assert(fixture.store.calls.back() == "list ");
  // The listing is not started again by the next poll.
  const auto listing = std::exchange(fixture.store.pending, nullptr);
  fixture.RunUntilCall();
  cr_assert(fixture.store.calls.back() == "poll");
  fixture.store.Answer(kStoreUnavailable);
  cr_assert(fixture.store.calls.back() == "poll");
  listing(PageOf(9, {"a"}, false));
  cr_assert(fixture.snapshots.size() == 2);
}

Test(ListWatcher, BacksOffBeforeRetryingAFailedCall) {
  Fixture fixture;
  fixture.store.Answer(kStoreUnavailable);
  cr_assert(!fixture.store.pending);
  fixture.RunUntilCall();
  cr_assert(fixture.store.calls ==
            std::vector<std::string>({"list ", "list "}));
  fixture.store.Answer(kStoreUnavailable);
  cr_assert(fixture.failing_calls == 1);
}

// The watched revision may exist again in the next era, with other changes.
Test(ListWatcher, ListsAgainWhenTheStoreWasRestoredDuringAWatch) {
  Fixture fixture;
  fixture.store.Answer(PageOf(7, {"a"}, false));
  fixture.RunUntilCall();
  fixture.store.Answer(PageOf(9, {"b"}, false, 2));
  cr_assert(fixture.changes == 0);
  fixture.RunUntilCall();
  cr_assert(fixture.store.calls.back() == "list ");
  fixture.store.Answer(PageOf(5, {"a"}, false, 2));
  fixture.RunUntilCall();
  cr_assert(fixture.store.calls.back() == "watch 5");
  cr_assert(fixture.snapshots.size() == 2);
  cr_assert(fixture.restored == std::vector<uint64_t>{2});
}

Test(ListWatcher, ListsAgainWhenTheStoreWasRestoredDuringAListing) {
  Fixture fixture;
  fixture.store.Answer(PageOf(7, {"a"}, true));
  fixture.store.Answer(PageOf(5, {"b"}, false, 2));
  cr_assert(fixture.store.calls.back() == "list ");
  cr_assert(fixture.snapshots.empty());
  fixture.store.Answer(PageOf(5, {"b"}, false, 2));
  cr_assert(fixture.snapshots == std::vector<size_t>{1});
}

Test(ListWatcher, IgnoresAListingOfAnEarlierEra) {
  Fixture fixture;
  fixture.store.Answer(PageOf(5, {"a"}, false, 2));
  fixture.RunUntilCall();
  fixture.store.Answer(Failure{FailureKind::kStaleVersion, "store", "gone"});
  fixture.RunUntilCall();
  fixture.store.Answer(PageOf(9, {"a", "b"}, false, 1));
  cr_assert(fixture.snapshots.size() == 1);
  fixture.RunUntilCall();
  cr_assert(fixture.store.calls.back() == "list ");
}

Test(ListWatcher, APollThatFindsALaterEraListsAgain) {
  Fixture fixture({.watch_delay = Ms(0), .poll_interval = Ms(5)});
  fixture.store.Answer(PageOf(7, {"a"}, false));
  fixture.RunUntilCall();
  fixture.store.pending = nullptr;
  fixture.RunUntilCall();
  cr_assert(fixture.store.calls.back() == "poll");
  fixture.store.Answer(PageOf(3, {"a"}, false, 2));
  cr_assert(fixture.store.calls.back() == "list ");
}

}  // namespace greengage
