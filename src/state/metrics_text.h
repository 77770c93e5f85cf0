// The text exposition format of metrics.
#ifndef GREENGAGE_SRC_STATE_METRICS_TEXT_H_
#define GREENGAGE_SRC_STATE_METRICS_TEXT_H_

#include <iosfwd>
#include <string_view>
#include <vector>

#include "greengage/state/metrics.h"

namespace greengage {

// The help and type lines of a metric.
void WriteHead(std::ostream& out, const MetricInfo& info);

void WriteCounter(std::ostream& out,
                  const MetricInfo& info,
                  const Counter& counter);

// The quantiles, sum and count of one distribution, without the head; `label`
// is empty or like `rank="urgent"`.
void WriteSummary(std::ostream& out,
                  const MetricInfo& info,
                  std::string_view label,
                  const Distribution& distribution);

void WriteGauges(std::ostream& out, const std::vector<Gauge>& gauges);

}  // namespace greengage

#endif  // GREENGAGE_SRC_STATE_METRICS_TEXT_H_
