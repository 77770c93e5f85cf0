// Counters and distributions of one process.
#ifndef GREENGAGE_STATE_METRICS_H_
#define GREENGAGE_STATE_METRICS_H_

#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "greengage/state/outcome.h"
#include "greengage/state/rank.h"
#include "greengage/state/time.h"

namespace greengage {

// A monotonically increasing counter. Thread-safe.
class Counter {
 public:
  void Add(uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> value_{0};
};

// Quantiles, count, sum and maximum of durations since the process started.
// Thread-safe: divided into shards, each with its own lock.
class Distribution {
 public:
  struct Summary {
    uint64_t count = 0;
    double sum_seconds = 0;
    double max_seconds = 0;
    std::array<double, 3> quantile_seconds{};  // See kQuantiles.
  };

  static constexpr std::array<double, 3> kQuantiles{0.5, 0.99, 0.999};

  Distribution();

  void Record(Duration duration);

  // Each quantile is the mean of the shards' quantiles, weighted by their
  // counts.
  Summary Summarize() const;

 private:
  static constexpr size_t kShards = 4;

  using Accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<
          boost::accumulators::tag::count,
          boost::accumulators::tag::sum,
          boost::accumulators::tag::max,
          boost::accumulators::tag::extended_p_square_quantile>>;

  struct Shard {
    mutable std::mutex mutex;
    Accumulator accumulator;

    Shard();
  };

  std::array<Shard, kShards> shards_;
};

// One metric on the metrics page. `help` also stands in docs/OPERATIONS.md; a
// test compares both.
struct MetricInfo {
  std::string_view name;
  std::string_view type;  // "counter", "gauge" or "summary".
  std::string_view help;
};

// All counters and distributions of an instance.
struct Metrics {
  std::array<std::array<Counter, 3>, kRankCount> queries;  // Rank, outcome.
  std::array<Distribution, kRankCount> query_time;
  std::array<Distribution, kRankCount> queue_time;
  Distribution service_time;
  Counter sub_requests_sent;
  Counter sub_requests_hedged;
  Counter sub_requests_retried;
  Counter sub_requests_forwarded;
  Counter partial_answers;
  Counter rejected_requests;
  Counter claims_created;
  Counter claims_lost;
  Counter platform_failures;
};

// A value that is read when the metrics page is rendered.
struct Gauge {
  MetricInfo info;
  std::function<double()> read;
};

// All metrics of Metrics and all gauges; tests compare the documentation with
// them.
const std::vector<MetricInfo>& AllMetrics();

// Renders the metrics page in the Prometheus text exposition format.
std::string SerializeMetrics(const Metrics& metrics,
                             const std::vector<Gauge>& gauges);

}  // namespace greengage

#endif  // GREENGAGE_STATE_METRICS_H_
