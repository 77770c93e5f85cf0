// The registry of named experiments.
#ifndef TOOLS_BENCH_EXPERIMENT_H_
#define TOOLS_BENCH_EXPERIMENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace greengage::bench {

// The value that a bound applies to: the policy's figure, or the ratio of the
// baseline's figure to the policy's figure.
enum class BoundOn : uint8_t { kPolicy, kRatio };

enum class BoundKind : uint8_t { kAtMost, kAtLeast };

// A limit derived from a stated target, not from a measured figure.
struct Bound {
  BoundOn on = BoundOn::kPolicy;
  BoundKind kind = BoundKind::kAtMost;
  double limit = 0;
};

// One measured figure, for the naive baseline and for the policy.
struct Measurement {
  std::string shape;  // Name or size of the simulated deployment.
  std::string name;
  std::string unit;
  double baseline = 0;
  double policy = 0;
  std::optional<Bound> bound;

  // Returns the baseline's figure divided by the policy's, or 0 if the policy's
  // is 0.
  double ratio() const;

  // Returns true if the bound is met or there is none.
  bool holds() const;
};

using Measurements = std::vector<Measurement>;

// Experiments in virtual time are deterministic for a given seed. If
// `wall_clock` is set, the results vary between runs.
struct Experiment {
  std::string name;
  std::string summary;
  std::function<Measurements(uint64_t seed)> run;
  bool wall_clock = false;
};

// Returns all experiments, ordered by name.
const std::vector<Experiment>& Experiments();

// Adds an experiment to the registry on construction. Intended for objects at
// namespace scope.
class Registration {
 public:
  explicit Registration(Experiment experiment);
};

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_EXPERIMENT_H_
