// Experiments on faults of searchers and connections.
#include "tools/bench/experiment.h"
#include "tools/bench/faults.h"
#include "tools/bench/measurement_recorder.h"
#include "tools/bench/simulation.h"

namespace greengage::bench {

namespace {

constexpr double kMostSentPerAsked = 1.1;
constexpr double kMostP99Ms = 250;
constexpr double kLongestSilenceMs = 1000;
constexpr double kLyingHealthMost = 1.1;  // Times the p99 with true health.
constexpr double kLatestWorkMs = 5000;    // After the first sign of leaving.

Scenario Usual(const Shape& shape) {
  Scenario scenario;
  scenario.shape = shape;
  // One replica of a shard alone can carry this.
  scenario.load = {0.2, 0.1, 0.05};
  scenario.measured = std::chrono::seconds(8);
  scenario.deadline = std::chrono::seconds(1);
  scenario.returns_hits = true;
  scenario.tracks_hedges = true;
  return scenario;
}

void AddCommon(const MeasurementRecorder& recorder) {
  recorder.Add("p50", "ms",
               [](const RunResult& r) { return r.All().Quantile(0.5); });
  recorder.Add(
      "p99", "ms", [](const RunResult& r) { return r.All().Quantile(0.99); },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, kMostP99Ms});
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
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, kMostSentPerAsked});
}

using Figures = std::function<void(const MeasurementRecorder&)>;

// Runs a fault at all shapes; `add` adds the figures of its own.
Measurements RunFault(uint64_t seed,
                      const Fault& fault,
                      const Figures& add = {}) {
  Measurements measurements;
  for (const Shape& shape : AllShapes()) {
    Scenario scenario = Usual(shape);
    scenario.prepare = fault;
    const Comparison runs = Compare(scenario, seed);
    const MeasurementRecorder recorder(shape.name, runs, &measurements);
    AddCommon(recorder);
    if (add) {
      add(recorder);
    }
  }
  return measurements;
}

void AddSilence(const MeasurementRecorder& recorder) {
  recorder.Add(
      "longest time to replace", "ms",
      [](const RunResult& r) { return r.max_silent_time_ms; },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, kLongestSilenceMs});
  recorder.Add(
      "most beyond one hedge delay", "ms",
      [](const RunResult& r) { return r.max_hedge_lateness_ms; },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, 0});
  recorder.Add(
      "searchers ejected", "",
      [](const RunResult& r) { return static_cast<double>(r.ejections); },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, 0});
}

void AddMixed(const MeasurementRecorder& recorder) {
  recorder.Add(
      "answers from several versions", "",
      [](const RunResult& r) { return static_cast<double>(r.mixed_versions); },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, 0});
}

void AddDrain(const MeasurementRecorder& recorder) {
  recorder.Add(
      "last work after the first sign", "ms",
      [](const RunResult& r) { return r.last_arrival_after_drain_ms; },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, kLatestWorkMs});
}

// The p99 with lying health over the p99 with true health.
Measurements RunLyingHealth(uint64_t seed) {
  Measurements measurements;
  for (const Shape& shape : AllShapes()) {
    Scenario scenario = Usual(shape);
    const Comparison honest = Compare(scenario, seed);
    scenario.prepare = MisleadingHealth();
    const Comparison lying = Compare(scenario, seed);
    const MeasurementRecorder recorder(shape.name, lying, &measurements);
    AddCommon(recorder);
    const auto p99 = [](const RunResult& r) { return r.All().Quantile(0.99); };
    measurements.push_back(
        {shape.name, "p99 over the p99 with true health", "times",
         p99(lying.baseline) / p99(honest.baseline),
         p99(lying.policy) / p99(honest.policy),
         Bound{BoundOn::kPolicy, BoundKind::kAtMost, kLyingHealthMost}});
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
       return RunFault(seed, SilentConnections(), AddSilence);
     }});

const Registration kLyingHealth({"lying-health",
                                 "health and load endpoints mislead",
                                 RunLyingHealth});

const Registration kColdStart(
    {"cold-start", "one replica of every tenth shard starts anew",
     [](uint64_t seed) { return RunFault(seed, ColdStart()); }});

const Registration kDrain(
    {"drain", "one replica of every tenth shard is leaving",
     [](uint64_t seed) { return RunFault(seed, Drain(), AddDrain); }});

const Registration kVersionChange(
    {"version-change", "the index changes its version under load",
     [](uint64_t seed) { return RunFault(seed, VersionChange(), AddMixed); }});

const Registration kDrainAndSilence(
    {"drain-and-silence", "searchers leave while their connections are silent",
     [](uint64_t seed) {
       return RunFault(seed, Combine(Drain(), SilentConnections()),
                       [](const MeasurementRecorder& recorder) {
                         AddDrain(recorder);
                         AddSilence(recorder);
                       });
     }});

const Registration kLossAndVersionChange(
    {"loss-and-version-change", "replicas are lost during a version change",
     [](uint64_t seed) {
       return RunFault(seed, Combine(ReplicaLoss(), VersionChange()), AddMixed);
     }});

}  // namespace

}  // namespace greengage::bench
