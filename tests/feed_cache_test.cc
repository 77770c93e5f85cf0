#include "greengage/coordination/feed_cache.h"

#include <chrono>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "greengage/protocol/feed_codec.h"

namespace greengage {
namespace {

using Ms = std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr uint64_t kEpoch = 7;

FeedObject MakeSearcher(const std::string& id, bool draining = false) {
  SearcherEntry entry;
  entry.id = id;
  entry.service = "shard";
  entry.endpoint = {"10.0.0.1", 80};
  entry.data_centre = "a";
  entry.draining = draining;
  entry.warm_up_left = Ms(100);
  entry.started = Ms(5);
  return {FeedKind::kSearcher, id, {1, 1}, false, entry};
}

FeedObject MakeConfiguration(uint64_t revision, const std::string& text) {
  return {FeedKind::kConfiguration,
          "main",
          {1, revision},
          false,
          ConfigurationText{text}};
}

struct Fixture {
  Fixture() {
    cache.Replace(kStart, FeedKind::kConfiguration, {1, 3},
                  {MakeConfiguration(3, "v1")});
    cache.Replace(kStart, FeedKind::kSearcher, {1, 4},
                  {MakeSearcher("x"), MakeSearcher("y")});
  }

  FeedCache cache{kEpoch};
};

}  // namespace

Test(FeedCache, FirstPageIsCompleteAndLaterOnesHaveTheChanges) {
  Fixture fixture;
  const FeedPage first = fixture.cache.PageAfter(kStart, 0, 0);
  cr_assert(first.complete);
  cr_assert(first.objects.size() == 3);
  fixture.cache.Apply(kStart, FeedKind::kSearcher, {1, 9},
                      {MakeSearcher("y", true)});
  const FeedPage next =
      fixture.cache.PageAfter(kStart + Ms(50), first.epoch, first.sequence);
  cr_assert(!next.complete);
  cr_assert(next.objects.size() == 1);
  cr_assert(std::get<SearcherEntry>(next.objects[0].value).draining);
  cr_assert(next.searchers_revision.number == 9);
  cr_assert(next.age == Ms(50));
}

// All searchers repeat their entries all the time.
Test(FeedCache, HeartbeatsAreNoChange) {
  Fixture fixture;
  const uint64_t sequence = fixture.cache.sequence();
  FeedObject heartbeat = MakeSearcher("x");
  heartbeat.revision = {1, 8};
  std::get<SearcherEntry>(heartbeat.value).warm_up_left = Ms(0);
  fixture.cache.Apply(kStart, FeedKind::kSearcher, {1, 8}, {heartbeat});
  cr_assert(fixture.cache.sequence() == sequence);
  // A new process of the same id is a change.
  std::get<SearcherEntry>(heartbeat.value).started = Ms(6);
  fixture.cache.Apply(kStart, FeedKind::kSearcher, {1, 9}, {heartbeat});
  cr_assert(fixture.cache.sequence() == sequence + 1);
}

Test(FeedCache, DistinguishesRemovedFromUnlistedSearchers) {
  Fixture fixture;
  const uint64_t sequence = fixture.cache.sequence();
  fixture.cache.Apply(kStart, FeedKind::kSearcher, {1, 8},
                      {{FeedKind::kSearcher, "x", {1, 8}, true, {}}});
  fixture.cache.Replace(kStart, FeedKind::kSearcher, {1, 9}, {});
  const FeedPage page = fixture.cache.PageAfter(kStart, kEpoch, sequence);
  cr_assert(page.objects.size() == 2);
  cr_assert(page.objects[0].removed);
  cr_assert(!page.objects[1].removed && !page.objects[1].is_present());
}

// A store that was restored from a copy still has the entry.
Test(FeedCache, ASearcherThatLeftDoesNotComeBackAfterARestore) {
  Fixture fixture;
  FeedObject searcher = MakeSearcher("z");
  std::get<SearcherEntry>(searcher.value).report = 5;
  fixture.cache.Apply(kStart, FeedKind::kSearcher, {1, 8}, {searcher});
  const FeedObject copied = searcher;
  std::get<SearcherEntry>(searcher.value).report = 6;
  fixture.cache.Apply(kStart, FeedKind::kSearcher, {1, 9}, {searcher});
  fixture.cache.Apply(kStart, FeedKind::kSearcher, {1, 10},
                      {{FeedKind::kSearcher, "z", {1, 10}, true, {}}});
  const uint64_t sequence = fixture.cache.sequence();
  fixture.cache.Apply(kStart, FeedKind::kSearcher, {2, 8}, {copied});
  cr_assert(fixture.cache.sequence() == sequence);
  std::get<SearcherEntry>(searcher.value).report = 7;
  fixture.cache.Apply(kStart, FeedKind::kSearcher, {2, 9}, {searcher});
  cr_assert(fixture.cache.sequence() == sequence + 1);
}

Test(FeedCache, AClientThatMissedARemovalGetsACompletePage) {
  Fixture fixture;
  const uint64_t sequence = fixture.cache.sequence();
  fixture.cache.Apply(kStart, FeedKind::kSearcher, {1, 8},
                      {{FeedKind::kSearcher, "x", {1, 8}, true, {}}});
  const TimePoint later = kStart + std::chrono::seconds(61);
  fixture.cache.Apply(later, FeedKind::kSearcher, {1, 9}, {});
  cr_assert(fixture.cache.PageAfter(later, kEpoch, sequence).complete);
  cr_assert(!fixture.cache.PageAfter(later, kEpoch, sequence + 1).complete);
}

Test(FeedCache, AgeCountsFromTheLastReadOfTheSearchers) {
  Fixture fixture;
  fixture.cache.Replace(kStart + Ms(900), FeedKind::kInstance, {1, 0}, {});
  cr_assert(fixture.cache.AgeAt(kStart + Ms(1000)) == Ms(1000));
}

Test(FeedCodec, PagesSurviveTheEncoding) {
  Fixture fixture;
  fixture.cache.Apply(
      kStart, FeedKind::kInstance, {1, 0},
      {{FeedKind::kInstance,
        "i",
        {},
        false,
        InstanceRecord{"i", "a", {"10.0.0.2", 81}, 0.5, true}}});
  const FeedPage page = fixture.cache.PageAfter(kStart + Ms(30), 0, 0);
  const Result<FeedPage> read = ParseFeedPage(SerializeFeedPage(page));
  cr_assert(read);
  cr_assert(read->epoch == kEpoch && read->sequence == page.sequence);
  cr_assert(read->complete && read->age == Ms(30));
  cr_assert(read->searchers_revision.era == 1);
  cr_assert(read->searchers_revision.number == 4);
  cr_assert(read->objects.size() == 4);
  cr_assert(std::get<ConfigurationText>(read->objects[0].value).text == "v1");
  const auto& entry = std::get<SearcherEntry>(read->objects[1].value);
  cr_assert(
      entry.SameProcess(std::get<SearcherEntry>(MakeSearcher("x").value)));
  cr_assert(entry.data_centre == "a" && entry.warm_up_left == Ms(100));
  const auto& instance = std::get<InstanceRecord>(read->objects[3].value);
  const InstanceRecord expected{"i", "a", {"10.0.0.2", 81}, 0.5, true};
  cr_assert(instance == expected);
}

Test(FeedCodec, RejectsWhatIsNoPage) {
  cr_assert(!ParseFeedPage("not a page"));
  const std::string whole =
      SerializeFeedPage(Fixture().cache.PageAfter(kStart, 0, 0));
  // No prefix may be accepted with an object cut short.
  for (size_t length = 1; length < whole.size(); ++length) {
    const Result<FeedPage> page = ParseFeedPage(whole.substr(0, length));
    cr_assert(!page || page->objects.size() < 3);
  }
}

}  // namespace greengage
