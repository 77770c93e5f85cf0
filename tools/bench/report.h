// Prints measurements and writes them to files.
#ifndef TOOLS_BENCH_REPORT_H_
#define TOOLS_BENCH_REPORT_H_

#include <ostream>
#include <string>

#include "greengage/state/result.h"
#include "tools/bench/experiment.h"

namespace greengage::bench {

// Prints a human-readable table whose last line states whether all bounds hold.
void PrintReport(std::ostream& out,
                 const Experiment& experiment,
                 uint64_t seed,
                 const Measurements& measurements);

// Writes comma-separated values with a header line, one measurement per line.
// Fails with kUnreadableFile.
Result<Done> WriteCsv(const std::string& path,
                      const Measurements& measurements);

// Writes a gnuplot script with inline data that draws baseline and policy side
// by side into the SVG file `path`.svg. Fails with kUnreadableFile.
Result<Done> WritePlot(const std::string& path,
                       const Experiment& experiment,
                       const Measurements& measurements);

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_REPORT_H_
