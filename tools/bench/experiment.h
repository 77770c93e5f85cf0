// The registry of named experiments.
#ifndef TOOLS_BENCH_EXPERIMENT_H_
#define TOOLS_BENCH_EXPERIMENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace greengage::bench {

// What a bound is set on: the policy's own figure, or the ratio of the
// baseline's figure to the policy's.
enum class BoundOn : uint8_t { kPolicy, kRatio };

enum class BoundKind : uint8_t { kAtMost, kAtLeast };

// A bound taken from a stated target, never from a measured figure.
struct Bound {
  BoundOn on = BoundOn::kPolicy;
  BoundKind kind = BoundKind::kAtMost;
  double limit = 0;
};

// One measured figure, for the naive baseline and for the policy.
struct Measurement {
  std::string shape;  // The deployment or size that it was measured at.
  std::string name;
  std::string unit;
  double baseline = 0;
  double policy = 0;
  std::optional<Bound> bound;

  // The baseline's figure over the policy's; 0 if the policy's is 0.
  double ratio() const;

  // True also when there is no bound.
  bool holds() const;
};

using Measurements = std::vector<Measurement>;

// In virtual time the measurements are a function of the seed alone;
// otherwise, `wall_clock` says that they vary from run to run.
struct Experiment {
  std::string name;
  std::string summary;
  std::function<Measurements(uint64_t seed)> run;
  bool wall_clock = false;
};

// All experiments, ordered by name.
const std::vector<Experiment>& Experiments();

// Adds an experiment to the registry; for objects at namespace scope, one in
// each file of experiments.
class Registration {
 public:
  explicit Registration(Experiment experiment);
};

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_EXPERIMENT_H_
