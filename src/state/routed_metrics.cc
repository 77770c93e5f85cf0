#include "greengage/state/routed_metrics.h"

#include <ostream>
#include <sstream>
#include <string_view>

#include "state/gauge_names.h"
#include "state/metrics_text.h"

namespace greengage {
namespace {

constexpr MetricInfo kRequests{"greengage_routed_requests_total", "counter",
                               "Requests of callers by route and end."};
constexpr MetricInfo kRequestTime{
    "greengage_routed_request_seconds", "summary",
    "From the arrival of a request to its answer, by route."};
constexpr MetricInfo kAttempts{
    "greengage_attempts_total", "counter",
    "Attempts at searchers by reason and end; beyond the first of a service "
    "they are extra load."};
constexpr MetricInfo kLimitedAttempts{
    "greengage_limited_attempts_total", "counter",
    "Attempts at searchers that name a limit on their requests, by service and "
    "reason."};
constexpr MetricInfo kLocalAttempts{
    "greengage_attempts_by_locality_total", "counter",
    "Attempts at searchers in the own data centre, in others of its region, "
    "and elsewhere, by reason."};
constexpr MetricInfo kQuotaDecisions{
    "greengage_quota_decisions_total", "counter",
    "Requests of organisations that have a quota, by organisation and whether "
    "they were admitted, over the quota, or beyond this instance's share while "
    "no ledger answered."};
constexpr MetricInfo kStoreChanges{
    "greengage_store_changes_total", "counter",
    "Times that a feed of the store was lost, regained or restored."};
constexpr MetricInfo kAdded{"greengage_searchers_added_total", "counter",
                            "Searchers that came into the registry."};
constexpr MetricInfo kLeft{"greengage_searchers_left_total", "counter",
                           "Searchers that drain or have gone."};
constexpr MetricInfo kCrashed{
    "greengage_searchers_crashed_total", "counter",
    "Attempts under which a searcher ended, whether because of the request or "
    "not."};
constexpr MetricInfo kCallersLeft{
    "greengage_callers_left_total", "counter",
    "Requests whose caller closed its connection before the answer."};

void WriteLabelled(std::ostream& out,
                   const MetricInfo& info,
                   std::string_view first,
                   std::string_view second,
                   const std::map<RoutedMetrics::Labels, Counter>& counters) {
  WriteHead(out, info);
  for (const auto& [labels, counter] : counters) {
    out << info.name << '{' << first << "=\"" << labels.first << "\"," << second
        << "=\"" << labels.second << "\"} " << counter.value() << '\n';
  }
}

}  // namespace

const std::vector<MetricInfo>& AllRoutedMetrics() {
  static const std::vector<MetricInfo> metrics{
      kRequests,       kRequestTime,    kAttempts,     kLimitedAttempts,
      kLocalAttempts,  kQuotaDecisions, kStoreChanges, kAdded,
      kLeft,           kCrashed,        kCallersLeft,  kUnfinishedAnswerBytes,
      kHandlerFailures};
  return metrics;
}

std::string SerializeMetrics(const RoutedMetrics& metrics,
                             const std::vector<Gauge>& gauges) {
  std::ostringstream out;
  WriteLabelled(out, kRequests, "route", "end", metrics.requests);
  WriteHead(out, kRequestTime);
  for (const auto& [route, distribution] : metrics.request_time) {
    WriteSummary(out, kRequestTime, "route=\"" + route + "\"", distribution);
  }
  WriteLabelled(out, kAttempts, "reason", "end", metrics.attempts);
  WriteLabelled(out, kLimitedAttempts, "service", "reason",
                metrics.limited_attempts);
  WriteLabelled(out, kLocalAttempts, "locality", "reason",
                metrics.local_attempts);
  WriteLabelled(out, kQuotaDecisions, "organisation", "decision",
                metrics.quota_decisions);
  WriteLabelled(out, kStoreChanges, "feed", "change", metrics.store_changes);
  WriteCounter(out, kAdded, metrics.searchers_added);
  WriteCounter(out, kLeft, metrics.searchers_left);
  WriteCounter(out, kCrashed, metrics.searchers_crashed);
  WriteCounter(out, kCallersLeft, metrics.callers_left);
  WriteGauges(out, gauges);
  return out.str();
}

}  // namespace greengage
