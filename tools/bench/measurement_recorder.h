// Turns a comparison of two runs into measurements.
#ifndef TOOLS_BENCH_MEASUREMENT_RECORDER_H_
#define TOOLS_BENCH_MEASUREMENT_RECORDER_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "tools/bench/experiment.h"
#include "tools/bench/run_result.h"
#include "tools/bench/simulation.h"

namespace greengage::bench {

// Adds figures of one comparison to a list. The comparison and the list must
// outlive it.
class MeasurementRecorder {
 public:
  using Figure = std::function<double(const RunResult&)>;

  MeasurementRecorder(std::string shape,
                      const Comparison& runs,
                      Measurements* out)
      : shape_(std::move(shape)), runs_(runs), out_(out) {}

  void Add(const std::string& name,
           const std::string& unit,
           const Figure& figure,
           std::optional<Bound> bound = std::nullopt) const {
    out_->push_back({shape_, name, unit, figure(runs_.baseline),
                     figure(runs_.policy), bound});
  }

 private:
  std::string shape_;
  const Comparison& runs_;
  Measurements* out_;
};

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_MEASUREMENT_RECORDER_H_
