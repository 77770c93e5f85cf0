// Prints measurements and writes them to files.
#ifndef TOOLS_BENCH_REPORT_H_
#define TOOLS_BENCH_REPORT_H_

#include <ostream>
#include <string>

#include "greengage/state/result.h"
#include "tools/bench/experiment.h"

namespace greengage::bench {

// A table for people, with a line at its end that tells whether all hold.
void PrintReport(std::ostream& out,
                 const Experiment& experiment,
                 uint64_t seed,
                 const Measurements& measurements);

// Comma-separated values, one measurement a line, under a line of names.
// Fails with kUnreadableFile.
Result<Done> WriteCsv(const std::string& path,
                      const Measurements& measurements);

// A gnuplot script that draws baseline and policy side by side from the data
// that it contains, into an SVG file beside it. Fails with kUnreadableFile.
Result<Done> WritePlot(const std::string& path,
                       const Experiment& experiment,
                       const Measurements& measurements);

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_REPORT_H_
