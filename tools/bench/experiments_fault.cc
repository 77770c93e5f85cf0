// Experiments on faults of searchers and connections.
#include "tools/bench/experiment.h"
#include "tools/bench/faults.h"
#include "tools/bench/measures.h"
#include "tools/bench/simulation.h"

namespace greengage::bench {

namespace {

constexpr double kMostSentPerAsked = 1.1;
constexpr double kMostP99Ms = 250;
constexpr double kLongestSilenceMs = 1000;
constexpr double kLyingHealthMost = 1.1;  // Times the p99 with true health.
constexpr Duration kFaultAfter = std::chrono::milliseconds(500);

Scenario Usual(const Shape& shape) {
  Scenario scenario;
  scenario.shape = shape;
  scenario.measured = std::chrono::seconds(shape.shards > 100 ? 5 : 10);
  scenario.deadline = std::chrono::seconds(1);
  return scenario;
}

void AddCommon(const Measures& measures) {
  measures.Add("p50", "ms",
               [](const RunResult& r) { return r.All().Quantile(0.5); });
  measures.Add(
      "p99", "ms", [](const RunResult& r) { return r.All().Quantile(0.99); },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, kMostP99Ms});
  measures.Add("p99.9", "ms",
               [](const RunResult& r) { return r.All().Quantile(0.999); });
  measures.Add("whole answers", "%", [](const RunResult& r) {
    return 100 * r.All().WholeShare();
  });
  measures.Add(
      "sub-requests sent per one asked", "",
      [](const RunResult& r) { return r.SentPerAsked(); },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, kMostSentPerAsked});
}

using Prepare = std::function<void(Simulation&)>;

// Runs a fault at all shapes; `add` adds the figures of its own.
Measurements RunFault(uint64_t seed,
                      const Prepare& prepare,
                      const std::function<void(const Measures&)>& add = {}) {
  Measurements measurements;
  for (const Shape& shape : AllShapes()) {
    Scenario scenario = Usual(shape);
    scenario.prepare = prepare;
    const Comparison runs = Compare(scenario, seed);
    const Measures measures(shape.name, runs, &measurements);
    AddCommon(measures);
    if (add) {
      add(measures);
    }
  }
  return measurements;
}

void AddSilence(const Measures& measures) {
  measures.Add(
      "longest time to replace", "ms",
      [](const RunResult& r) { return r.longest_silence_ms; },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, kLongestSilenceMs});
  measures.Add(
      "most beyond one hedge delay", "ms",
      [](const RunResult& r) { return r.hedge_lateness_ms; },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, 0});
  measures.Add(
      "searchers ejected", "",
      [](const RunResult& r) { return static_cast<double>(r.ejections); },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, 0});
}

void AddMixed(const Measures& measures) {
  measures.Add(
      "answers from several versions", "",
      [](const RunResult& r) { return static_cast<double>(r.mixed); },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, 0});
}

}  // namespace

}  // namespace greengage::bench
