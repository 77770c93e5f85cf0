#include "state/metrics_text.h"

#include <ostream>
#include <string>

namespace greengage {

void WriteHead(std::ostream& out, const MetricInfo& info) {
  out << "# HELP " << info.name << ' ' << info.help << "\n# TYPE " << info.name
      << ' ' << info.type << '\n';
}

void WriteCounter(std::ostream& out,
                  const MetricInfo& info,
                  const Counter& counter) {
  WriteHead(out, info);
  out << info.name << ' ' << counter.value() << '\n';
}

void WriteSummary(std::ostream& out,
                  const MetricInfo& info,
                  std::string_view label,
                  const Distribution& distribution) {
  const Distribution::Summary summary = distribution.Summarize();
  const std::string separator = label.empty() ? "" : ",";
  for (size_t i = 0; i < Distribution::kQuantiles.size(); ++i) {
    out << info.name << '{' << label << separator << "quantile=\""
        << Distribution::kQuantiles[i] << "\"} " << summary.quantile_seconds[i]
        << '\n';
  }
  const std::string labels =
      label.empty() ? "" : "{" + std::string(label) + "}";
  out << info.name << "_sum" << labels << ' ' << summary.sum_seconds << '\n';
  out << info.name << "_count" << labels << ' ' << summary.count << '\n';
}

void WriteGauges(std::ostream& out, const std::vector<Gauge>& gauges) {
  for (const Gauge& gauge : gauges) {
    WriteHead(out, gauge.info);
    out << gauge.info.name << ' ' << gauge.read() << '\n';
  }
}

}  // namespace greengage
