// Writes metrics in the Prometheus text exposition format.
#ifndef GREENGAGE_SRC_STATE_METRICS_TEXT_H_
#define GREENGAGE_SRC_STATE_METRICS_TEXT_H_

#include <iosfwd>
#include <string_view>
#include <vector>

#include "greengage/state/metrics.h"

namespace greengage {

// Writes the HELP and TYPE lines of a metric.
void WriteHead(std::ostream& out, const MetricInfo& info);

void WriteCounter(std::ostream& out,
                  const MetricInfo& info,
                  const Counter& counter);

// Writes the quantiles, sum and count of one distribution, without the HELP and
// TYPE lines. `label` is empty or has the form `rank="urgent"`.
void WriteSummary(std::ostream& out,
                  const MetricInfo& info,
                  std::string_view label,
                  const Distribution& distribution);

void WriteGauges(std::ostream& out, const std::vector<Gauge>& gauges);

}  // namespace greengage

#endif  // GREENGAGE_SRC_STATE_METRICS_TEXT_H_
