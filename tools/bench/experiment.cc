#include "tools/bench/experiment.h"

#include <algorithm>
#include <utility>

namespace greengage::bench {

namespace {

std::vector<Experiment>& Registry() {
  static std::vector<Experiment> registry;
  return registry;
}

bool IsOrderedBefore(const Experiment& a, const Experiment& b) {
  return a.name < b.name;
}

}  // namespace

double Measurement::ratio() const {
  return policy == 0 ? 0 : baseline / policy;
}

bool Measurement::holds() const {
  if (!bound) {
    return true;
  }
  const double value = bound->on == BoundOn::kPolicy ? policy : ratio();
  return bound->kind == BoundKind::kAtMost ? value <= bound->limit
                                           : value >= bound->limit;
}

const std::vector<Experiment>& Experiments() {
  return Registry();
}

Registration::Registration(Experiment experiment) {
  std::vector<Experiment>& registry = Registry();
  const auto place = std::upper_bound(registry.begin(), registry.end(),
                                      experiment, IsOrderedBefore);
  registry.insert(place, std::move(experiment));
}

}  // namespace greengage::bench
