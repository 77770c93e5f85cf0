// The baseline: a random replica, no hedge, no cancellation, no budget, and
// whatever index version a searcher holds.
#ifndef TOOLS_BENCH_NAIVE_PLAN_H_
#define TOOLS_BENCH_NAIVE_PLAN_H_

#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include "tools/bench/query_driver.h"

namespace greengage::bench {

class NaivePlan : public QueryDriver {
 public:
  NaivePlan(Query query,
            ConfigurationPtr configuration,
            QueryContext* context,
            uint64_t seed);

  QueryActions Start(TimePoint now) override;
  QueryActions OnSubAnswer(TimePoint now, SubAnswer answer) override;
  QueryActions OnTimer(TimePoint now) override;
  TimePoint next_timer() const override { return query_.deadline; }
  bool done() const override { return done_; }

 private:
  struct Attempt {
    size_t shard = 0;
    uint32_t number = 1;
  };

  Endpoint ChooseReplica(const ShardConfiguration& shard);
  void Send(size_t shard,
            uint32_t number,
            SendReason reason,
            QueryActions& actions);
  void Finish(QueryActions& actions);

  Query query_;
  ConfigurationPtr configuration_;
  QueryContext* context_;
  std::minstd_rand random_;
  std::unordered_map<uint64_t, Attempt> open_;
  std::vector<bool> covered_;
  std::vector<Hit> hits_;
  size_t pending_shards_ = 0;
  bool done_ = false;
};

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_NAIVE_PLAN_H_
