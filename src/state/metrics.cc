#include "greengage/state/metrics.h"

#include <algorithm>
#include <sstream>
#include <thread>

#include "state/gauge_names.h"
#include "state/metrics_text.h"

namespace greengage {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<std::string_view, kRankCount> kRankLabels{
    "urgent", "normal", "background"};

constexpr MetricInfo kQueries{"greengage_queries_total", "counter",
                              "Queries ended, by rank and outcome."};
constexpr MetricInfo kQueryTime{"greengage_query_seconds", "summary",
                                "Time from admission to answer, by rank."};
constexpr MetricInfo kQueueTime{
    "greengage_queue_seconds", "summary",
    "Time that sub-requests waited at this instance as owner, by rank."};
constexpr MetricInfo kServiceTime{
    "greengage_service_seconds", "summary",
    "Time from sending a sub-request to its searcher to the answer."};
constexpr MetricInfo kSent{"greengage_sub_requests_sent_total", "counter",
                           "Sub-requests sent to searchers."};
constexpr MetricInfo kHedged{"greengage_sub_requests_hedged_total", "counter",
                             "Second attempts because the first was slow."};
constexpr MetricInfo kRetried{"greengage_sub_requests_retried_total", "counter",
                              "Second attempts because the first failed."};
constexpr MetricInfo kForwarded{
    "greengage_sub_requests_forwarded_total", "counter",
    "Sub-requests sent to another instance that owns their searcher."};
constexpr MetricInfo kPartial{"greengage_partial_answers_total", "counter",
                              "Answers that lack a part of the shards."};
constexpr MetricInfo kRejected{"greengage_rejected_requests_total", "counter",
                               "Requests of callers that were not valid."};
constexpr MetricInfo kClaims{"greengage_claims_created_total", "counter",
                             "Claims created for non-idempotent requests."};
constexpr MetricInfo kClaimsLost{
    "greengage_claims_lost_total", "counter",
    "Non-idempotent requests whose id was claimed before."};
constexpr MetricInfo kPlatformFailures{
    "greengage_platform_failures_total", "counter",
    "Calls to the platform without an answer."};

void WriteByRank(std::ostream& out,
                 const MetricInfo& info,
                 const std::array<Distribution, kRankCount>& distributions) {
  WriteHead(out, info);
  for (size_t rank = 0; rank < kRankCount; ++rank) {
    WriteSummary(out, info, "rank=\"" + std::string(kRankLabels[rank]) + "\"",
                 distributions[rank]);
  }
}

void WriteQueries(std::ostream& out, const Metrics& metrics) {
  WriteHead(out, kQueries);
  for (size_t rank = 0; rank < kRankCount; ++rank) {
    for (size_t outcome = 0; outcome < 3; ++outcome) {
      out << kQueries.name << "{rank=\"" << kRankLabels[rank] << "\",outcome=\""
          << OutcomeName(static_cast<Outcome>(outcome)) << "\"} "
          << metrics.queries[rank][outcome].value() << '\n';
    }
  }
}

// The estimator returns no quantiles until all its markers have a sample.
constexpr size_t kMarkers = 2 * Distribution::kQuantiles.size() + 3;

template <typename Accumulator>
double QuantileOf(const Accumulator& accumulator, double probability) {
  if (accumulators::count(accumulator) < kMarkers) {
    return accumulators::max(accumulator);
  }
  return accumulators::quantile(
      accumulator, accumulators::quantile_probability = probability);
}

}  // namespace

Distribution::Shard::Shard()
    : accumulator(accumulators::tag::extended_p_square::probabilities =
                      kQuantiles) {}

Distribution::Distribution() = default;

void Distribution::Record(Duration duration) {
  const size_t index =
      std::hash<std::thread::id>()(std::this_thread::get_id()) % kShards;
  Shard& shard = shards_[index];
  const double seconds = std::chrono::duration<double>(duration).count();
  const std::lock_guard lock(shard.mutex);
  shard.accumulator(seconds);
}

Distribution::Summary Distribution::Summarize() const {
  Summary summary;
  for (const Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    const auto count = accumulators::count(shard.accumulator);
    if (count == 0) {
      continue;
    }
    summary.count += count;
    summary.sum_seconds += accumulators::sum(shard.accumulator);
    summary.max_seconds =
        std::max(summary.max_seconds, accumulators::max(shard.accumulator));
    for (size_t i = 0; i < kQuantiles.size(); ++i) {
      const double quantile = accumulators::quantile(
          shard.accumulator,
          accumulators::quantile_probability = kQuantiles[i]);
      summary.quantile_seconds[i] += quantile * static_cast<double>(count);
    }
  }
  for (double& quantile : summary.quantile_seconds) {
    quantile /= static_cast<double>(std::max<uint64_t>(summary.count, 1));
  }
  return summary;
}

const std::vector<MetricInfo>& AllMetrics() {
  static const std::vector<MetricInfo> metrics{kQueries,
                                               kQueryTime,
                                               kQueueTime,
                                               kServiceTime,
                                               kSent,
                                               kHedged,
                                               kRetried,
                                               kForwarded,
                                               kPartial,
                                               kRejected,
                                               kClaims,
                                               kClaimsLost,
                                               kPlatformFailures,
                                               kQueriesInFlight,
                                               kSubRequestsInFlight,
                                               kSearcherConnections,
                                               kMembers,
                                               kGossipSent,
                                               kGossipReceived,
                                               kGossipDatagrams,
                                               kRejectedAnswers,
                                               kHandlerFailures};
  return metrics;
}

std::string SerializeMetrics(const Metrics& metrics,
                             const std::vector<Gauge>& gauges) {
  std::ostringstream out;
  WriteQueries(out, metrics);
  WriteByRank(out, kQueryTime, metrics.query_time);
  WriteByRank(out, kQueueTime, metrics.queue_time);
  WriteHead(out, kServiceTime);
  WriteSummary(out, kServiceTime, "", metrics.service_time);
  WriteCounter(out, kSent, metrics.sub_requests_sent);
  WriteCounter(out, kHedged, metrics.sub_requests_hedged);
  WriteCounter(out, kRetried, metrics.sub_requests_retried);
  WriteCounter(out, kForwarded, metrics.sub_requests_forwarded);
  WriteCounter(out, kPartial, metrics.partial_answers);
  WriteCounter(out, kRejected, metrics.rejected_requests);
  WriteCounter(out, kClaims, metrics.claims_created);
  WriteCounter(out, kClaimsLost, metrics.claims_lost);
  WriteCounter(out, kPlatformFailures, metrics.platform_failures);
  WriteGauges(out, gauges);
  return out.str();
}

}  // namespace greengage
