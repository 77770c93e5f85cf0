// Counters and distributions of an instance that routes opaque requests.
#ifndef GREENGAGE_STATE_ROUTED_METRICS_H_
#define GREENGAGE_STATE_ROUTED_METRICS_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "greengage/state/metrics.h"

namespace greengage {

// Not thread-safe. The label values come from fixed sets of names and from the
// routes of the configuration, so that their number is bounded.
struct RoutedMetrics {
  using Labels = std::pair<std::string, std::string>;

  std::map<Labels, Counter> requests;                // By route and end.
  std::map<std::string, Distribution> request_time;  // By route.
  std::map<Labels, Counter> attempts;                // By reason and end.
  std::map<Labels, Counter> limited_attempts;        // By service and reason.
  std::map<Labels, Counter> local_attempts;          // By locality and reason.
  // Of organisations with a quota, by organisation and decision.
  std::map<Labels, Counter> quota_decisions;
  std::map<Labels, Counter> store_changes;  // By feed and change.
  Counter searchers_added;
  Counter searchers_left;
  Counter searchers_crashed;
  Counter callers_left;
};

// All metrics of RoutedMetrics; tests compare the documentation with them.
const std::vector<MetricInfo>& AllRoutedMetrics();

// Renders the metrics page in the Prometheus text exposition format.
std::string SerializeMetrics(const RoutedMetrics& metrics,
                             const std::vector<Gauge>& gauges);

}  // namespace greengage

#endif  // GREENGAGE_STATE_ROUTED_METRICS_H_
