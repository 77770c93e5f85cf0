// Compares answers to random queries under random faults with those of the
// naive reference implementation, which is sequential and does not hedge. The
// hits must be equal if both answers are complete and of the same index
// version.
#include <random>
#include <string>
#include <vector>

#include "tests/harness/deployment.h"
#include "tests/harness/naive_query.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

constexpr uint64_t kSeed = 20260104;
constexpr size_t kShards = 4;
constexpr size_t kSteps = 400;
constexpr char kRankNames[][8] = {"guest", "suggest", "publish"};
const KeyRange kWholeKeySpace{0, kShards* kKeysPerShard};

class Differential {
 public:
  explicit Differential(uint64_t seed)
      : random_(seed), deployment_({.shards = kShards, .replicas = 2}) {}

  void Step(size_t step) {
    if (Draw(4) == 0) {
      ChangeFaults();
    }
    const std::string text = "text " + std::to_string(Draw(50));
    const size_t limit = 1 + Draw(60);
    const JsonReply reply =
        deployment_.Query(Draw(deployment_.instances()),
                          {{"request_id", "random-" + std::to_string(step)},
                           {"text", text},
                           {"limit", limit},
                           {"rank", kRankNames[Draw(std::size(kRankNames))]},
                           {"deadline_ms", 500}});
    const NaiveAnswer naive = NaiveQuery(
        deployment_, kShards, "naive-" + std::to_string(step), text, limit);
    Compare(reply, naive, text, limit);
  }

  size_t compared() const { return compared_; }
  size_t whole() const { return whole_; }
  size_t naive_whole() const { return naive_whole_; }
  size_t different() const { return different_; }
  size_t untruthful() const { return untruthful_; }

 private:
  uint64_t Draw(uint64_t bound) { return random_() % bound; }

  // Resets the faults of all searchers and injects a fault into a random
  // searcher twice.
  void ChangeFaults() {
    deployment_.SetSearcherFaults({{"shed", false},

                                   {"slow_ms", 0},
                                   {"stall", false},
                                   {"ranges", boost::json::object()}});
    if (Draw(4) == 0) {
      ++version_;
      deployment_.SetSearcherFaults({{"versions", {version_ - 1, version_}}});
    }
    for (int i = 0; i < 2; ++i) {
      const size_t chosen = Draw(deployment_.searchers().size());
      SetFaults(deployment_.searchers()[chosen]->endpoint(), DrawFault());
    }
  }

  boost::json::object DrawFault() {
    const std::vector<boost::json::object> faults = {
        {{"shed", true}},
        {{"slow_ms", 20 + Draw(60)}},
        {{"stall", true}},
        {{"short_answers", 2}},
        {{"crossed_answers", 2}},
        {{"truncated_answers", 2}},
        {{"lost_answers", 2}},
        {{"ranges", {{kService, {{0, 49}}}}}},
        {{"versions", {version_, version_ + 1}}}};
    return faults[Draw(faults.size())];
  }

  void Compare(const JsonReply& reply,
               const NaiveAnswer& naive,
               const std::string& text,
               size_t limit) {
    const bool naive_whole =
        naive.answered == kShards && naive.index_versions.size() == 1 &&
        SameHits(naive.hits, ExpectedHits(*naive.index_versions.begin(),
                                          {kWholeKeySpace}, text, limit));
    naive_whole_ += naive_whole ? 1 : 0;
    if (reply.Text("outcome") != "answered") {
      return;
    }
    untruthful_ += IsTruthful(reply, text, limit) ? 0 : 1;
    const bool whole = reply.body.at("whole").as_bool();
    whole_ += whole ? 1 : 0;
    const bool comparable =
        whole && naive_whole &&
        naive.index_versions.count(reply.Number("index_version")) == 1;
    if (comparable) {
      ++compared_;
      different_ += SameHits(HitsOf(reply), naive.hits) ? 0 : 1;
    }
  }

  std::mt19937_64 random_;
  Deployment deployment_;
  uint64_t version_ = 1;
  size_t compared_ = 0;
  size_t whole_ = 0;
  size_t naive_whole_ = 0;
  size_t different_ = 0;
  size_t untruthful_ = 0;
};

Test(Differential, EqualsTheNaiveVersionIfBothAreWhole) {
  Differential differential(kSeed);
  for (size_t step = 0; step < kSteps; ++step) {
    differential.Step(step);
  }
  cr_log_info("%zu compared, %zu whole, naive %zu whole, of %zu",
              differential.compared(), differential.whole(),
              differential.naive_whole(), kSteps);
  cr_expect(differential.different() == 0, "%zu differ",
            differential.different());
  cr_expect(differential.untruthful() == 0, "%zu untruthful",
            differential.untruthful());
  cr_expect(differential.compared() > kSteps / 20);
}

}  // namespace
}  // namespace greengage
