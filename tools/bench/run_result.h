// What came out of one simulated run.
#ifndef TOOLS_BENCH_RUN_RESULT_H_
#define TOOLS_BENCH_RUN_RESULT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "greengage/state/rank.h"
#include "greengage/state/time.h"

namespace greengage::bench {

// The queries of one rank that were offered while the run was measured.
struct RankResult {
  uint64_t offered = 0;
  uint64_t rejected = 0;  // At the entry, at once.
  uint64_t whole = 0;
  // Whole answers given within the measured time, also to earlier queries.
  uint64_t completed = 0;
  uint64_t partial = 0;
  uint64_t failed = 0;
  // From the caller's sending to its answer. An admitted query without a whole
  // answer counts with its whole deadline, if that is longer.
  std::vector<double> latencies_ms;

  // Quantile `q` (0 to 1) of the latencies; 0 if there are none.
  double Quantile(double q) const;

  double WholeShare() const;
};

struct RunResult {
  std::array<RankResult, kRankCount> ranks;
  double seconds = 0;               // That were measured.
  double capacity = 0;              // Queries per second.
  uint64_t first_sub_requests = 0;  // First sub-requests of admitted queries.
  uint64_t sent = 0;                // All sub-requests, over the whole run.
  uint64_t hedges = 0;
  uint64_t retries = 0;
  uint64_t reruns = 0;          // Sub-requests of queries that ran anew.
  uint64_t mixed_versions = 0;  // Answers from more than one index version.
  uint64_t inconsistent_coverage =
      0;  // Covered and missing ranges do not tile.
  uint64_t ejections = 0;
  uint64_t hedged_after_silent_loss = 0;  // Hedged after a silent connection.
  double max_hedge_lateness_ms =
      0;                          // Of these, beyond the hedge delay, at most.
  double max_silent_time_ms = 0;  // Of a connection, from its first request.
  double last_arrival_after_drain_ms = 0;       // After the first sign.
  uint64_t rejections_without_retry_after = 0;  // To come back at.

  const RankResult& rank(Rank r) const { return ranks[IndexOf(r)]; }

  // All ranks together.
  RankResult All() const;

  double SentPerFirst() const;

  // Sub-requests beyond the first, in percent of these.
  double ExtraPercent() const;

  // Whole answers given per second, in percent of the capacity.
  double GoodputPercent() const;
  double GoodputPercent(Rank r) const;
};

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_RUN_RESULT_H_
