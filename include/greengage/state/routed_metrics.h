// Counters and distributions of an instance that routes opaque requests.
#ifndef GREENGAGE_STATE_ROUTED_METRICS_H_
#define GREENGAGE_STATE_ROUTED_METRICS_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "greengage/state/metrics.h"

namespace greengage {

// Used on one thread. The labels of a counter come from fixed sets of names
// and from the routes of the configuration.
struct RoutedMetrics {
  using Labels = std::pair<std::string, std::string>;

  std::map<Labels, Counter> requests;                // Route, end.
  std::map<std::string, Distribution> request_time;  // Route.
  std::map<Labels, Counter> attempts;                // Reason, end.
  std::map<Labels, Counter> store_changes;           // Feed, change.
  Counter searchers_added;
  Counter searchers_left;
  Counter callers_left;
};

// All metrics of RoutedMetrics, for documentation checks.
const std::vector<MetricInfo>& AllRoutedMetrics();

// The page in the text exposition format.
std::string SerializeMetrics(const RoutedMetrics& metrics,
                             const std::vector<Gauge>& gauges);

}  // namespace greengage

#endif  // GREENGAGE_STATE_ROUTED_METRICS_H_
