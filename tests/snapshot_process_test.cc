// Every answer reflects a single snapshot of the index and states correctly
// which key ranges it covers.
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

// Counts of the answers to queries. Thread-safe.
struct AnswerCounts {
  std::atomic<size_t> whole{0};
  std::atomic<size_t> partial{0};
  std::atomic<size_t> unanswered{0};
  std::atomic<size_t> untruthful{0};
};

void SendQuery(const Deployment& deployment,
               size_t instance,
               AnswerCounts& counts) {
  const JsonReply reply = deployment.Query(
      instance, {{"text", kText}, {"limit", kLimit}, {"deadline_ms", 1000}});
  if (reply.Text("outcome") != "answered") {
    ++counts.unanswered;
    return;
  }
  const bool whole = reply.body.at("whole").as_bool();
  ++(whole ? counts.whole : counts.partial);
  const bool all_covered =
      CoveredBy(reply) == std::vector<KeyRange>{{0, kShards * kKeysPerShard}};
  if (!IsTruthful(reply, kText, kLimit) || whole != all_covered) {
    ++counts.untruthful;
  }
}

// Publishes an index version on one searcher after the other; each searcher
// then holds the previous version as well.
void PublishVersion(const Deployment& deployment, uint64_t version) {
  for (const auto& searcher : deployment.searchers()) {
    SetFaults(searcher->endpoint(), {{"versions", {version - 1, version}}});
  }
}

Test(Snapshot, NaiveClientMixesTwoVersions) {
  Deployment deployment({.shards = kShards, .replicas = 1});
  SetFaults(deployment.searcher(0, 0).endpoint(), {{"versions", {1, 2}}});
  const NaiveAnswer answer =
      NaiveQuery(deployment, kShards, "naive-1", kText, kLimit);
  cr_assert(answer.answered == kShards);
  cr_assert(answer.index_versions.size() == 2);
}

Test(Snapshot, AnswersNeverMixVersionsDuringPublication) {
  const Deployment deployment({.shards = kShards, .replicas = 2});
  AnswerCounts counts;
  Callers callers(4, [&](size_t thread, size_t) {
    SendQuery(deployment, thread % deployment.instances(), counts);
  });
  for (uint64_t version = 2; version <= 20; ++version) {
    PublishVersion(deployment, version);
  }
  const size_t before = counts.whole;
  cr_expect(Eventually([&] { return counts.whole > before + 20; }));
  callers.Stop();
  cr_log_info("%zu whole, %zu partial, %zu unanswered", counts.whole.load(),
              counts.partial.load(), counts.unanswered.load());
  cr_expect(counts.untruthful == 0, "%zu untruthful", counts.untruthful.load());
  cr_expect(counts.whole > 0);
}

// Two concurrent faults: a replica is killed while versions are published.
Test(Snapshot, AnswersNeverMixVersionsIfAReplicaCrashes) {
  Deployment deployment({.shards = kShards, .replicas = 2});
  AnswerCounts counts;
  Callers callers(4, [&](size_t thread, size_t) {
    SendQuery(deployment, thread % deployment.instances(), counts);
  });
  PublishVersion(deployment, 2);
  deployment.searcher(1, 0).Kill();
  for (const auto& searcher : deployment.searchers()) {
    if (searcher.get() != &deployment.searcher(1, 0)) {
      SetFaults(searcher->endpoint(), {{"versions", {2, 3}}});
    }
  }
  const size_t before = counts.whole;
  cr_expect(Eventually([&] { return counts.whole > before + 20; }));
  callers.Stop();
  cr_expect(counts.untruthful == 0, "%zu untruthful", counts.untruthful.load());
}

Test(Coverage, NaiveClientTakesAPartialRangeForComplete) {
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

Test(Coverage, ShortAnswersAndRepartitioningAreReported) {
  Deployment deployment({.shards = kShards, .replicas = 2});
  AnswerCounts counts;
  Callers callers(4, [&](size_t thread, size_t) {
    SendQuery(deployment, thread % deployment.instances(), counts);
  });
  deployment.SetSearcherFaults({{"short_answers", 20}});
  // One replica drops half of the keys of its shard.
  SetFaults(deployment.searcher(2, 0).endpoint(),
            {{"ranges", {{kService, {{200, 249}}}}}});
  cr_expect(Eventually([&] { return callers.completed() > 200; }));
  callers.Stop();
  cr_log_info("%zu whole, %zu partial, %zu unanswered", counts.whole.load(),
              counts.partial.load(), counts.unanswered.load());
  cr_expect(counts.untruthful == 0, "%zu untruthful", counts.untruthful.load());
  cr_expect(counts.whole > 0);
}

// Sends `count` queries sequentially and returns how many were not answered
// completely.
size_t CountIncomplete(const Deployment& deployment, size_t count) {
  AnswerCounts counts;
  for (size_t i = 0; i < count; ++i) {
    SendQuery(deployment, i % deployment.instances(), counts);
  }
  return count - counts.whole;
}

// The other replica still holds the complete shard, so that answers are
// complete once the instances have detected the replica that does not.
Test(Coverage, ReplicaWithoutAllItsKeysCostsNoCoverage) {
  Deployment deployment({.shards = 1, .replicas = 2});
  SetFaults(deployment.searcher(0, 0).endpoint(),
            {{"ranges", {{kService, {{0, 49}}}}}});
  CountIncomplete(deployment, 20);
  const size_t incomplete = CountIncomplete(deployment, 200);
  cr_expect(incomplete == 0, "%zu of 200 not whole", incomplete);
}

// As above, for a replica that does not hold the newest index version yet.
Test(Coverage, ReplicaWithoutTheNewestVersionCostsNoCoverage) {
  Deployment deployment({.shards = 2, .replicas = 2});
  for (size_t i = 0; i < 3; ++i) {
    SetFaults(deployment.searchers()[i]->endpoint(), {{"versions", {2, 3}}});
  }
  CountIncomplete(deployment, 20);
  const size_t incomplete = CountIncomplete(deployment, 200);
  cr_expect(incomplete == 0, "%zu of 200 not whole", incomplete);
}

// As above, for a replica whose answers are all malformed.
Test(Coverage, ReplicaWithMalformedAnswersCostsNoCoverage) {
  Deployment deployment({.shards = 1, .replicas = 2});
  SetFaults(deployment.searcher(0, 0).endpoint(),
            {{"truncated_answers", 100000}});
  CountIncomplete(deployment, 20);
  const size_t incomplete = CountIncomplete(deployment, 200);
  cr_expect(incomplete <= 4, "%zu of 200 not whole", incomplete);
}

}  // namespace
}  // namespace greengage
