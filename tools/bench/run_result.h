// The result of one simulated run.
#ifndef TOOLS_BENCH_RUN_RESULT_H_
#define TOOLS_BENCH_RUN_RESULT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "greengage/state/rank.h"
#include "greengage/state/time.h"

namespace greengage::bench {

// Results of the queries of one rank that were offered during the measurement.
struct RankResult {
  uint64_t offered = 0;
  uint64_t rejected = 0;  // By admission at the entry.
  uint64_t whole = 0;
  // Whole answers sent during the measurement, including those to queries
  // offered before it.
  uint64_t completed = 0;
  uint64_t partial = 0;
  uint64_t failed = 0;
  // Time from the caller's request to its answer. An admitted query without a
  // whole answer counts with at least its whole deadline.
  std::vector<double> latencies_ms;

  // Returns quantile `q` (0 to 1) of the latencies, or 0 if there are none.
  double Quantile(double q) const;

  double WholeShare() const;
};

struct RunResult {
  std::array<RankResult, kRankCount> ranks;
  double seconds = 0;               // Length of the measurement.
  double capacity = 0;              // Queries per second.
  uint64_t first_sub_requests = 0;  // First sub-requests of admitted queries.
  uint64_t sent = 0;                // All sub-requests, over the whole run.
  uint64_t hedges = 0;
  uint64_t retries = 0;
  uint64_t reruns = 0;          // Sub-requests of queries that were run again.
  uint64_t mixed_versions = 0;  // Answers with hits of several index versions.
  // Answers whose covered and missing ranges do not tile the key space.
  uint64_t inconsistent_coverage = 0;
  uint64_t ejections = 0;
  // Hedges of sub-requests that were lost on a silent connection, and the
  // longest time by which one of them exceeded the hedge delay.
  uint64_t hedged_after_silent_loss = 0;
  double max_hedge_lateness_ms = 0;
  // Longest time from the first request on a silent connection to its end.
  double max_silent_time_ms = 0;
  // Longest time from a drain signal to the last sub-request that arrived.
  double last_arrival_after_drain_ms = 0;
  uint64_t rejections_without_retry_after = 0;

  const RankResult& rank(Rank r) const { return ranks[IndexOf(r)]; }

  // Returns the sum over all ranks.
  RankResult All() const;

  double SentPerFirst() const;

  // Sub-requests beyond the first ones, in percent of the first ones.
  double ExtraPercent() const;

  // Whole answers per second, in percent of the capacity.
  double GoodputPercent() const;
  double GoodputPercent(Rank r) const;
};

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_RUN_RESULT_H_
