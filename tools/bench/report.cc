#include "tools/bench/report.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <sstream>

namespace greengage::bench {

namespace {

constexpr int kShapeWidth = 16;
constexpr int kNameWidth = 40;
constexpr int kFigureWidth = 12;

std::string FormatFigure(double figure) {
  std::ostringstream text;
  text << std::setprecision(4) << figure;
  return text.str();
}

std::string FormatBound(const Measurement& measurement) {
  if (!measurement.bound) {
    return "";
  }
  const Bound& bound = *measurement.bound;
  std::string text = bound.on == BoundOn::kRatio ? "ratio " : "";
  text += bound.kind == BoundKind::kAtMost ? "<= " : ">= ";
  return text + FormatFigure(bound.limit);
}

std::string Verdict(const Measurement& measurement) {
  if (!measurement.bound) {
    return "";
  }
  return measurement.holds() ? "holds" : "FAILS";
}

void PrintLine(std::ostream& out, const Measurement& measurement) {
  const std::string name = measurement.name + " [" + measurement.unit + "]";
  out << std::left << std::setw(kShapeWidth) << measurement.shape
      << std::setw(kNameWidth) << name << std::right << std::setw(kFigureWidth)
      << FormatFigure(measurement.baseline) << std::setw(kFigureWidth)
      << FormatFigure(measurement.policy) << std::setw(kFigureWidth)
      << FormatFigure(measurement.ratio()) << "  " << std::left
      << std::setw(kShapeWidth) << FormatBound(measurement)
      << Verdict(measurement) << '\n';
}

Failure CannotWrite(const std::string& path) {
  return {FailureKind::kUnreadableFile, path, "cannot be written"};
}

Result<Done> CloseFile(std::ofstream& file, const std::string& path) {
  file.close();
  if (!file) {
    return CannotWrite(path);
  }
  return Done{};
}

}  // namespace

void PrintReport(std::ostream& out,
                 const Experiment& experiment,
                 uint64_t seed,
                 const Measurements& measurements) {
  out << experiment.name << ": " << experiment.summary << "\nseed " << seed
      << (experiment.wall_clock ? ", wall clock\n\n" : ", virtual time\n\n");
  out << std::left << std::setw(kShapeWidth) << "shape" << std::setw(kNameWidth)
      << "figure" << std::right << std::setw(kFigureWidth) << "baseline"
      << std::setw(kFigureWidth) << "policy" << std::setw(kFigureWidth)
      << "ratio"
      << "  bound\n";
  for (const Measurement& measurement : measurements) {
    PrintLine(out, measurement);
  }
  const auto failed = std::count_if(
      measurements.begin(), measurements.end(),
      [](const Measurement& measurement) { return !measurement.holds(); });
  out << '\n' << (failed == 0 ? "all bounds hold" : "bounds FAIL: ");
  if (failed > 0) {
    out << failed;
  }
  out << '\n';
}

Result<Done> WriteCsv(const std::string& path,
                      const Measurements& measurements) {
  std::ofstream file(path);
  file << "shape,figure,unit,baseline,policy,ratio,bound,verdict\n";
  for (const Measurement& m : measurements) {
    file << m.shape << ',' << m.name << ',' << m.unit << ',' << m.baseline
         << ',' << m.policy << ',' << m.ratio() << ',' << FormatBound(m) << ','
         << Verdict(m) << '\n';
  }
  return CloseFile(file, path);
}

Result<Done> WritePlot(const std::string& path,
                       const Experiment& experiment,
                       const Measurements& measurements) {
  std::ofstream file(path);
  file << "$figures << EOD\n";
  for (const Measurement& m : measurements) {
    file << '"' << m.shape << ": " << m.name << " [" << m.unit << "]\" "
         << m.baseline << ' ' << m.policy << '\n';
  }
  file << "EOD\n"
       << "set terminal svg size 1200,700 noenhanced\n"
       << "set output '" << path << ".svg'\n"
       << "set title '" << experiment.name << "'\n"
       << "set style data histograms\n"
       << "set style fill solid\n"
       << "set logscale y\n"
       << "set xtics rotate by -45\n"
       << "plot $figures using 2:xtic(1) title 'baseline', "
       << "$figures using 3 title 'policy'\n";
  return CloseFile(file, path);
}

}  // namespace greengage::bench
