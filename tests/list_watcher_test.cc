#include "greengage/transport/list_watcher.h"

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

namespace greengage {
namespace {

using Follower = ListWatcher<int>;
using Page = StorePage<int>;
using Ms = std::chrono::milliseconds;

// A store that answers calls when the test says so.
struct FakeStore {
  std::vector<std::string> calls;
  Follower::PageCallback waiting;

  void Answer(Result<Page> page) {
    std::exchange(waiting, nullptr)(std::move(page));
  }
};

struct Fixture {
  explicit Fixture(ListWatchOptions options = {.watch_delay = Ms(0)}) {
    options.backoff = {Ms(1), Ms(4)};
    Follower::Hooks hooks;
    hooks.list = [this](const std::string& after, auto done) {
      store.calls.push_back("list " + after);
      store.waiting = std::move(done);
    };
    hooks.watch = [this](uint64_t revision, Ms, auto done) {
      store.calls.push_back("watch " + std::to_string(revision));
      store.waiting = std::move(done);
    };
    if (options.poll_interval < Ms(1000)) {
      hooks.poll = [this](auto done) {
        store.calls.emplace_back("poll");
        store.waiting = std::move(done);
      };
    }
    hooks.on_snapshot = [this](auto items) {
      snapshots.push_back(items.size());
    };
    hooks.on_changes = [this](auto items) { changes += items.size(); };
    hooks.on_failing = [this](const Failure&) { ++lost; };
    hooks.on_recovered = [this] { ++regained; };
    follower = std::make_shared<Follower>(context, options, std::move(hooks));
    follower->Start();
  }

  // Runs timers until the next call waits at the store.
  void RunUntilCall() {
    while (!store.waiting && context.run_one() > 0) {
    }
    context.restart();
  }

  boost::asio::io_context context;
  FakeStore store;
  std::vector<size_t> snapshots;
  size_t changes = 0;
  int lost = 0;
  int regained = 0;
  std::shared_ptr<Follower> follower;
};

Page PageOf(uint64_t revision, std::vector<std::string> names, bool more) {
  Page page;
  page.revision = revision;
  page.more = more;
  for (std::string& name : names) {
    page.items.push_back({std::move(name), revision, false, 1});
  }
  return page;
}

const Failure kDown{FailureKind::kUnavailable, "store", "no answer"};

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

Test(ListWatcher, GoesOnFromTheRevisionOfTheLastAnswer) {
  Fixture fixture;
  fixture.store.Answer(PageOf(7, {"a"}, false));
  fixture.RunUntilCall();
  fixture.store.Answer(PageOf(12, {"b"}, false));
  fixture.RunUntilCall();
  cr_assert(fixture.store.calls.back() == "watch 12");
  cr_assert(fixture.changes == 1);
}

Test(ListWatcher, ListsAnewWhenHistoryIsGone) {
  Fixture fixture;
  fixture.store.Answer(PageOf(7, {"a"}, false));
  fixture.RunUntilCall();
  fixture.store.Answer(Failure{FailureKind::kStaleVersion, "store", "gone"});
  fixture.RunUntilCall();
  cr_assert(fixture.store.calls.back() == "list ");
  cr_assert(fixture.lost == 0);
}

// A store that had dropped its history without a word let a repeated watch
// wait for changes that it could no longer tell.
Test(ListWatcher, ListsAnewAfterAWatchWasCutOff) {
  Fixture fixture;
  fixture.store.Answer(PageOf(7, {"a"}, false));
  fixture.RunUntilCall();
  fixture.store.Answer(kDown);
  fixture.RunUntilCall();
  cr_assert(fixture.store.calls.back() == "list ");
  cr_assert(fixture.lost == 1);
  fixture.store.Answer(PageOf(9, {"a"}, false));
  cr_assert(fixture.regained == 1);
}

// The watch's connection has gone silent: only a look shows the news.
Test(ListWatcher, ListsAnewWhenALookShowsWhatTheWatchDidNotTell) {
  Fixture fixture({.watch_delay = Ms(0), .poll_interval = Ms(1)});
  fixture.store.Answer(PageOf(7, {"a"}, false));
  fixture.RunUntilCall();
  const auto silent = std::exchange(fixture.store.waiting, nullptr);
  fixture.RunUntilCall();
  cr_assert(fixture.store.calls.back() == "poll");
  fixture.store.Answer(PageOf(9, {"a"}, false));
  cr_assert(fixture.store.calls.back() == "list ");
  fixture.store.Answer(PageOf(9, {"a"}, false));
  cr_assert(fixture.snapshots.size() == 2);
  // What the silent watch still brings is of no use.
  silent(PageOf(8, {"a"}, false));
  cr_assert(fixture.changes == 0);
}

Test(ListWatcher, ALookThatShowsNothingNewChangesNothing) {
  Fixture fixture({.watch_delay = Ms(0), .poll_interval = Ms(1)});
  fixture.store.Answer(PageOf(7, {"a"}, false));
  fixture.RunUntilCall();
  fixture.store.waiting = nullptr;
  fixture.RunUntilCall();
  fixture.store.Answer(PageOf(5, {"a"}, false));
  cr_assert(fixture.snapshots.size() == 1);
}

Test(ListWatcher, PausesBeforeRepeatingACallThatFailed) {
  Fixture fixture;
  fixture.store.Answer(kDown);
  cr_assert(!fixture.store.waiting);
  fixture.RunUntilCall();
  cr_assert(fixture.store.calls ==
            std::vector<std::string>({"list ", "list "}));
  fixture.store.Answer(kDown);
  cr_assert(fixture.lost == 1);
}

}  // namespace greengage
