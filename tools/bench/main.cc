// greengage-bench: runs named experiments, each against a naive baseline.
#include <CLI/CLI.hpp>

#include <algorithm>
#include <iostream>
#include <string>

#include "tools/bench/capacity.h"
#include "tools/bench/experiment.h"
#include "tools/bench/report.h"

namespace greengage::bench {

namespace {

// Exit codes, documented in the help text.
constexpr int kBoundsHold = 0;
constexpr int kBoundFails = 1;
constexpr int kUsageError = 2;

struct RunOptions {
  std::string name;
  uint64_t seed = 1;
  std::string csv;
  std::string plot;
};

int List() {
  for (const Experiment& experiment : Experiments()) {
    std::cout << experiment.name << "\n    " << experiment.summary << '\n';
  }
  return kBoundsHold;
}

bool ReportFailure(const Result<Done>& result) {
  if (!result.ok()) {
    std::cerr << "greengage-bench: " << Describe(result.last_reason()) << '\n';
  }
  return !result.ok();
}

int Run(const RunOptions& options) {
  const std::vector<Experiment>& experiments = Experiments();
  const auto it =
      std::find_if(experiments.begin(), experiments.end(),
                   [&](const auto& e) { return e.name == options.name; });
  if (it == experiments.end()) {
    std::cerr << "greengage-bench: no experiment \"" << options.name
              << "\"; see greengage-bench list\n";
    return kUsageError;
  }
  const Measurements measurements = it->run(options.seed);
  PrintReport(std::cout, *it, options.seed, measurements);
  if (!options.csv.empty() &&
      ReportFailure(WriteCsv(options.csv, measurements))) {
    return kUsageError;
  }
  if (!options.plot.empty() &&
      ReportFailure(WritePlot(options.plot, *it, measurements))) {
    return kUsageError;
  }
  const bool all_hold =
      std::all_of(measurements.begin(), measurements.end(),
                  [](const Measurement& m) { return m.holds(); });
  return all_hold ? kBoundsHold : kBoundFails;
}

struct CapacityOptions {
  std::string fleet = "docs/capacity/fleet.csv";
  std::string measured = "docs/capacity/measured.csv";
};

int Capacity(const CapacityOptions& options) {
  const Result<Figures> fleet = ReadFigures(options.fleet);
  const Result<Figures> measured = ReadFigures(options.measured);
  for (const Result<Figures>* figures : {&fleet, &measured}) {
    if (!figures->ok()) {
      std::cerr << "greengage-bench: " << Describe(figures->last_reason())
                << '\n';
      return kUsageError;
    }
  }
  const Result<std::vector<CapacityRow>> rows =
      ComputeCapacity(*fleet, *measured);
  if (!rows) {
    std::cerr << "greengage-bench: " << Describe(rows.last_reason()) << '\n';
    return kUsageError;
  }
  PrintCapacity(std::cout, *rows);
  return kBoundsHold;
}

int Main(int argc, char** argv) {
  CLI::App app(
      "Runs named experiments, each beside a naive baseline. Exit code 0: "
      "all bounds hold; 1: a bound fails; 2: usage or file error.");
  app.require_subcommand(1);
  CLI::App* list = app.add_subcommand("list", "Lists the experiments");
  CLI::App* run = app.add_subcommand("run", "Runs one experiment");
  RunOptions options;
  run->add_option("name", options.name, "Name of the experiment")->required();
  run->add_option("--seed", options.seed, "Seed of all random numbers");
  run->add_option("--csv", options.csv, "File for the figures");
  run->add_option("--plot", options.plot, "File for a gnuplot script");
  CLI::App* capacity =
      app.add_subcommand("capacity", "Works out the table of docs/CAPACITY.md");
  CapacityOptions capacity_options;
  capacity->add_option("--fleet", capacity_options.fleet,
                       "CSV file with the sizes of the fleet");
  capacity->add_option("--measured", capacity_options.measured,
                       "CSV file with the measured figures");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kBoundsHold : kUsageError;
  }
  if (capacity->parsed()) {
    return Capacity(capacity_options);
  }
  return list->parsed() ? List() : Run(options);
}

}  // namespace

}  // namespace greengage::bench

int main(int argc, char** argv) {
  return greengage::bench::Main(argc, argv);
}
