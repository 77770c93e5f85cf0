// Experiments on faults of searchers and connections.
#include "tools/bench/experiment.h"
#include "tools/bench/faults.h"
#include "tools/bench/measurement_recorder.h"
#include "tools/bench/simulation.h"

namespace greengage::bench {

namespace {

constexpr double kMaxSentPerFirst = 1.1;
constexpr double kMaxP99Ms = 250;
constexpr double kMaxSilentTimeMs = 1000;
// Relative to the p99 with correct health.
constexpr double kMaxMisleadingHealthP99Ratio = 1.1;
// After the first drain signal.
constexpr double kMaxArrivalAfterDrainMs = 5000;

Scenario MakeScenario(const Shape& shape) {
  Scenario scenario;
  scenario.shape = shape;
  // A single replica of a shard can serve this load.
  scenario.load = {0.2, 0.1, 0.05};
  scenario.measured = std::chrono::seconds(8);
  scenario.deadline = std::chrono::seconds(1);
  scenario.returns_hits = true;
  scenario.tracks_hedges = true;
  return scenario;
}

void AddCommonFigures(const MeasurementRecorder& recorder) {
  recorder.Add("p50", "ms",
               [](const RunResult& r) { return r.All().Quantile(0.5); });
  recorder.Add(
      "p99", "ms", [](const RunResult& r) { return r.All().Quantile(0.99); },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, kMaxP99Ms});
  recorder.Add("p99.9", "ms",
               [](const RunResult& r) { return r.All().Quantile(0.999); });
  recorder.Add("whole answers", "%",
               [](const RunResult& r) { return 100 * r.All().WholeShare(); });
  recorder.Add(
      "answers with untrue coverage", "",
      [](const RunResult& r) {
        return static_cast<double>(r.inconsistent_coverage);
      },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, 0});
  recorder.Add(
      "sub-requests sent per one asked", "",
      [](const RunResult& r) { return r.SentPerFirst(); },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, kMaxSentPerFirst});
}

using Figures = std::function<void(const MeasurementRecorder&)>;

// Runs a fault in all deployments. `add` records figures specific to the fault.
Measurements RunFault(uint64_t seed,
                      const Fault& fault,
                      const Figures& add = {}) {
  Measurements measurements;
  for (const Shape& shape : AllShapes()) {
    Scenario scenario = MakeScenario(shape);
    scenario.prepare = fault;
    const Comparison runs = Compare(scenario, seed);
    const MeasurementRecorder recorder(shape.name, runs, &measurements);
    AddCommonFigures(recorder);
    if (add) {
      add(recorder);
    }
  }
  return measurements;
}

void AddSilentConnectionFigures(const MeasurementRecorder& recorder) {
  recorder.Add(
      "longest time to replace", "ms",
      [](const RunResult& r) { return r.max_silent_time_ms; },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, kMaxSilentTimeMs});
  recorder.Add(
      "most beyond one hedge delay", "ms",
      [](const RunResult& r) { return r.max_hedge_lateness_ms; },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, 0});
  recorder.Add(
      "searchers ejected", "",
      [](const RunResult& r) { return static_cast<double>(r.ejections); },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, 0});
}

void AddMixedVersionFigures(const MeasurementRecorder& recorder) {
  recorder.Add(
      "answers from several versions", "",
      [](const RunResult& r) { return static_cast<double>(r.mixed_versions); },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, 0});
}

void AddDrainFigures(const MeasurementRecorder& recorder) {
  recorder.Add(
      "last work after the first sign", "ms",
      [](const RunResult& r) { return r.last_arrival_after_drain_ms; },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, kMaxArrivalAfterDrainMs});
}

// Compares the p99 with misleading health to the p99 with correct health.
Measurements RunMisleadingHealth(uint64_t seed) {
  Measurements measurements;
  for (const Shape& shape : AllShapes()) {
    Scenario scenario = MakeScenario(shape);
    const Comparison correct = Compare(scenario, seed);
    scenario.prepare = MisleadingHealth();
    const Comparison misleading = Compare(scenario, seed);
    const MeasurementRecorder recorder(shape.name, misleading, &measurements);
    AddCommonFigures(recorder);
    const auto p99 = [](const RunResult& r) { return r.All().Quantile(0.99); };
    measurements.push_back({shape.name, "p99 over the p99 with true health",
                            "times",
                            p99(misleading.baseline) / p99(correct.baseline),
                            p99(misleading.policy) / p99(correct.policy),
                            Bound{BoundOn::kPolicy, BoundKind::kAtMost,
                                  kMaxMisleadingHealthP99Ratio}});
  }
  return measurements;
}

const Registration kReplicaLoss(
    {"replica-loss", "one replica of every tenth shard is killed",
     [](uint64_t seed) { return RunFault(seed, ReplicaLoss()); }});

const Registration kRepartition(
    {"repartition", "shard boundaries move under load",
     [](uint64_t seed) { return RunFault(seed, Repartition()); }});

const Registration kSilentConnections(
    {"silent-connections", "all connections to some searchers go silent",
     [](uint64_t seed) {
       return RunFault(seed, SilentConnections(), AddSilentConnectionFigures);
     }});

const Registration kMisleadingHealth({"lying-health",
                                      "health and load endpoints mislead",
                                      RunMisleadingHealth});

const Registration kColdStart(
    {"cold-start", "one replica of every tenth shard starts anew",
     [](uint64_t seed) { return RunFault(seed, ColdStart()); }});

const Registration kDrain(
    {"drain", "one replica of every tenth shard is leaving",
     [](uint64_t seed) { return RunFault(seed, Drain(), AddDrainFigures); }});

const Registration kVersionChange({"version-change",
                                   "the index changes its version under load",
                                   [](uint64_t seed) {
                                     return RunFault(seed, VersionChange(),
                                                     AddMixedVersionFigures);
                                   }});

const Registration kDrainAndSilence(
    {"drain-and-silence", "searchers leave while their connections are silent",
     [](uint64_t seed) {
       return RunFault(seed, Combine(Drain(), SilentConnections()),
                       [](const MeasurementRecorder& recorder) {
                         AddDrainFigures(recorder);
                         AddSilentConnectionFigures(recorder);
                       });
     }});

const Registration kLossAndVersionChange(
    {"loss-and-version-change", "replicas are lost during a version change",
     [](uint64_t seed) {
       return RunFault(seed, Combine(ReplicaLoss(), VersionChange()),
                       AddMixedVersionFigures);
     }});

}  // namespace

}  // namespace greengage::bench
