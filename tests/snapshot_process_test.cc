// Every answer reflects a single snapshot of the index, and every answer
// states truly which shards it covers.
#include <atomic>
#include <string>

#include "tests/harness/callers.h"
#include "tests/harness/deployment.h"
#include "tests/harness/naive_query.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

constexpr size_t kShards = 3;
constexpr size_t kLimit = 20;
constexpr char kText[] = "scones";

// What callers saw, counted over threads.
struct Seen {
  std::atomic<size_t> whole{0};
  std::atomic<size_t> partial{0};
  std::atomic<size_t> unanswered{0};
  std::atomic<size_t> untruthful{0};
};

void Ask(const Deployment& deployment, size_t instance, Seen& seen) {
  const JsonReply reply = deployment.Query(
      instance, {{"text", kText}, {"limit", kLimit}, {"deadline_ms", 1000}});
  if (reply.Text("outcome") != "answered") {
    ++seen.unanswered;
    return;
  }
  const bool whole = reply.body.at("whole").as_bool();
  ++(whole ? seen.whole : seen.partial);
  const bool all_covered =
      CoveredBy(reply) == std::vector<KeyRange>{{0, kShards * kKeysPerShard}};
  if (!IsTruthful(reply, kText, kLimit) || whole != all_covered) {
    ++seen.untruthful;
  }
}

// The version of the index rises on one searcher after the other, as when it
// is published; replicas hold two versions meanwhile.
void PublishVersion(const Deployment& deployment, uint64_t version) {
  for (const auto& searcher : deployment.searchers()) {
    SetFaults(searcher->endpoint(), {{"versions", {version - 1, version}}});
  }
}

Test(Snapshot, NaiveWayMixesTwoVersions) {
  Deployment deployment({.shards = kShards, .replicas = 1});
  SetFaults(deployment.searcher(0, 0).endpoint(), {{"versions", {1, 2}}});
  const NaiveAnswer answer =
      NaiveQuery(deployment, kShards, "naive-1", kText, kLimit);
  cr_assert(answer.answered == kShards);
  cr_assert(answer.index_versions.size() == 2);
}

Test(Snapshot, AnswersNeverMixWhileVersionsArePublished) {
  const Deployment deployment({.shards = kShards, .replicas = 2});
  Seen seen;
  Callers callers(4, [&](size_t thread, size_t) {
    Ask(deployment, thread % deployment.instances(), seen);
  });
  for (uint64_t version = 2; version <= 20; ++version) {
    PublishVersion(deployment, version);
  }
  const size_t before = seen.whole;
  cr_expect(Eventually([&] { return seen.whole > before + 20; }));
  callers.Stop();
  cr_log_info("%zu whole, %zu partial, %zu unanswered", seen.whole.load(),
              seen.partial.load(), seen.unanswered.load());
  cr_expect(seen.untruthful == 0, "%zu untruthful", seen.untruthful.load());
  cr_expect(seen.whole > 0);
}

// Two at once: a replica dies while versions are published.
Test(Snapshot, AnswersNeverMixWhileAReplicaDies) {
  Deployment deployment({.shards = kShards, .replicas = 2});
  Seen seen;
  Callers callers(4, [&](size_t thread, size_t) {
    Ask(deployment, thread % deployment.instances(), seen);
  });
  PublishVersion(deployment, 2);
  deployment.searcher(1, 0).Kill();
  for (const auto& searcher : deployment.searchers()) {
    if (searcher.get() != &deployment.searcher(1, 0)) {
      SetFaults(searcher->endpoint(), {{"versions", {2, 3}}});
    }
  }
  const size_t before = seen.whole;
  cr_expect(Eventually([&] { return seen.whole > before + 20; }));
  callers.Stop();
  cr_expect(seen.untruthful == 0, "%zu untruthful", seen.untruthful.load());
}

Test(Coverage, NaiveWayTakesHalfARangeForAWhole) {
  Deployment deployment({.shards = kShards, .replicas = 1});
  SetFaults(deployment.searcher(0, 0).endpoint(), {{"short_answers", 1}});
  const NaiveAnswer answer =
      NaiveQuery(deployment, kShards, "naive-2", kText, 1000);
  cr_assert(answer.answered == kShards);
  cr_assert(
      !SameHits(answer.hits,
                ExpectedHits(1, {{0, kShards * kKeysPerShard}}, kText, 1000)));
}

Test(Coverage, LostShardIsNamed) {
  Deployment deployment({.shards = kShards, .replicas = 2});
  deployment.searcher(1, 0).Kill();
  deployment.searcher(1, 1).Kill();
  const JsonReply reply = deployment.Query(
      0, {{"text", kText}, {"limit", kLimit}, {"deadline_ms", 1000}});
  cr_assert(reply.Text("outcome") == "answered", "%u %s", reply.status,
            boost::json::serialize(reply.body).c_str());
  cr_expect(!reply.body.at("whole").as_bool());
  cr_expect(IsTruthful(reply, kText, kLimit));
  cr_expect(CoveredBy(reply) ==
            (std::vector<KeyRange>{{0, kKeysPerShard},
                                   {2 * kKeysPerShard, 3 * kKeysPerShard}}));
  const boost::json::array& missing = reply.body.at("missing").as_array();
  cr_assert(missing.size() == 1);
  cr_expect(missing[0].at("shard").as_string() == "table-finder/1");
}

Test(Coverage, ShortAnswersAndRepartitioningAreStatedTruly) {
  Deployment deployment({.shards = kShards, .replicas = 2});
  Seen seen;
  Callers callers(4, [&](size_t thread, size_t) {
    Ask(deployment, thread % deployment.instances(), seen);
  });
  deployment.SetSearcherFaults({{"short_answers", 20}});
  // One replica gives up half of its shard's keys.
  SetFaults(deployment.searcher(2, 0).endpoint(),
            {{"ranges", {{kService, {{200, 249}}}}}});
  cr_expect(Eventually([&] { return callers.made() > 200; }));
  callers.Stop();
  cr_log_info("%zu whole, %zu partial, %zu unanswered", seen.whole.load(),
              seen.partial.load(), seen.unanswered.load());
  cr_expect(seen.untruthful == 0, "%zu untruthful", seen.untruthful.load());
  cr_expect(seen.whole > 0);
}

// Queries out of `count` that were not answered whole, one after the other.
size_t CountNotWhole(const Deployment& deployment, size_t count) {
  Seen seen;
  for (size_t i = 0; i < count; ++i) {
    Ask(deployment, i % deployment.instances(), seen);
  }
  return count - seen.whole;
}

// The other replica still holds the shard, so that answers stay whole once the
// tier has learnt which one does not.
Test(Coverage, ReplicaThatGaveUpItsKeysCostsNoCoverage) {
  Deployment deployment({.shards = 1, .replicas = 2});
  SetFaults(deployment.searcher(0, 0).endpoint(),
            {{"ranges", {{kService, {{0, 49}}}}}});
  CountNotWhole(deployment, 20);
  const size_t not_whole = CountNotWhole(deployment, 200);
  cr_expect(not_whole == 0, "%zu of 200 not whole", not_whole);
}

// The same for a replica that still lacks the newest index version.
Test(Coverage, ReplicaThatLacksTheNewestVersionCostsNoCoverage) {
  Deployment deployment({.shards = 2, .replicas = 2});
  for (size_t i = 0; i < 3; ++i) {
    SetFaults(deployment.searchers()[i]->endpoint(), {{"versions", {2, 3}}});
  }
  CountNotWhole(deployment, 20);
  const size_t not_whole = CountNotWhole(deployment, 200);
  cr_expect(not_whole == 0, "%zu of 200 not whole", not_whole);
}

// The same for a replica whose answers are all malformed.
Test(Coverage, ReplicaThatAnswersWronglyCostsNoCoverage) {
  Deployment deployment({.shards = 1, .replicas = 2});
  SetFaults(deployment.searcher(0, 0).endpoint(),
            {{"truncated_answers", 100000}});
  CountNotWhole(deployment, 20);
  const size_t not_whole = CountNotWhole(deployment, 200);
  cr_expect(not_whole <= 4, "%zu of 200 not whole", not_whole);
}

}  // namespace
}  // namespace greengage
