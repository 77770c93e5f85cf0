// Experiments on overload.
#include "tools/bench/experiment.h"
#include "tools/bench/faults.h"
#include "tools/bench/measurement_recorder.h"
#include "tools/bench/simulation.h"

namespace greengage::bench {

namespace {

constexpr RankRates kUsualLoad{0.3, 0.2, 0.1};
constexpr double kFloodLoad = 10;  // Multiple of the capacity.
constexpr double kMaxSlowdown = 1.2;
constexpr double kMinGoodputPercent = 95;
constexpr double kMaxSentPerFirst = 1.1;
constexpr double kNormalFloorPercent = 10;
constexpr double kBackgroundFloorPercent = 5;

Scenario Flood(const Shape& shape, const RankRates& flood, const Fault& fault) {
  Scenario scenario;
  scenario.shape = shape;
  scenario.load = kUsualLoad;
  scenario.flood = flood;
  scenario.prepare = fault;
  scenario.measured = std::chrono::seconds(shape.shards > 100 ? 3 : 5);
  return scenario;
}

// Returns the p99 of the urgent rank without load of other ranks.
double UnloadedP99(const Shape& shape,
                   uint64_t seed,
                   const Fault& fault,
                   bool naive) {
  Scenario scenario;
  scenario.prepare = fault;
  scenario.shape = shape;
  scenario.load = {kUsualLoad[0], 0, 0};
  scenario.naive = naive;
  scenario.measured = std::chrono::seconds(shape.shards > 100 ? 4 : 10);
  return Simulation(scenario, seed).Run().rank(Rank::kUrgent).Quantile(0.99);
}

void AddUrgentSlowdown(const Shape& shape,
                       uint64_t seed,
                       const Fault& fault,
                       const Comparison& runs,
                       Measurements* out) {
  const double naive = UnloadedP99(shape, seed, fault, true);
  const double policy = UnloadedP99(shape, seed, fault, false);
  out->push_back(
      {shape.name, "urgent p99 unloaded", "ms", naive, policy, std::nullopt});
  out->push_back({shape.name, "urgent p99 over unloaded", "times",
                  runs.baseline.rank(Rank::kUrgent).Quantile(0.99) / naive,
                  runs.policy.rank(Rank::kUrgent).Quantile(0.99) / policy,
                  Bound{BoundOn::kPolicy, BoundKind::kAtMost, kMaxSlowdown}});
}

void AddFloorFigures(const MeasurementRecorder& recorder) {
  recorder.Add(
      "normal rank's goodput", "% of capacity",
      [](const RunResult& r) { return r.GoodputPercent(Rank::kNormal); },
      Bound{BoundOn::kPolicy, BoundKind::kAtLeast, kNormalFloorPercent});
  recorder.Add(
      "background rank's goodput", "% of capacity",
      [](const RunResult& r) { return r.GoodputPercent(Rank::kBackground); },
      Bound{BoundOn::kPolicy, BoundKind::kAtLeast, kBackgroundFloorPercent});
}

void AddOverloadFigures(const MeasurementRecorder& recorder) {
  recorder.Add("urgent goodput", "% of capacity", [](const RunResult& r) {
    return r.GoodputPercent(Rank::kUrgent);
  });
  recorder.Add(
      "goodput", "% of capacity",
      [](const RunResult& r) { return r.GoodputPercent(); },
      Bound{BoundOn::kPolicy, BoundKind::kAtLeast, kMinGoodputPercent});
  recorder.Add(
      "sub-requests sent per one asked", "",
      [](const RunResult& r) { return r.SentPerFirst(); },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, kMaxSentPerFirst});
  recorder.Add("whole answers of the admitted", "%",
               [](const RunResult& r) { return 100 * r.All().WholeShare(); });
  recorder.Add(
      "refusals without a time", "",
      [](const RunResult& r) {
        return static_cast<double>(r.rejections_without_retry_after);
      },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, 0});
}

void AddLatencyFigures(const MeasurementRecorder& recorder) {
  for (const Rank rank : kAllRanks) {
    const std::string name = "rank " + std::to_string(IndexOf(rank)) + " p99";
    recorder.Add(name, "ms", [rank](const RunResult& r) {
      return r.rank(rank).Quantile(0.99);
    });
  }
}

Measurements RunFlood(uint64_t seed,
                      const RankRates& flood,
                      const Fault& fault = {}) {
  const bool urgent_fits = flood[0] <= kUsualLoad[0];
  Measurements measurements;
  for (const Shape& shape : AllShapes()) {
    const Comparison runs = Compare(Flood(shape, flood, fault), seed);
    const MeasurementRecorder recorder(shape.name, runs, &measurements);
    AddLatencyFigures(recorder);
    if (urgent_fits) {
      AddUrgentSlowdown(shape, seed, fault, runs, &measurements);
    }
    AddFloorFigures(recorder);
    AddOverloadFigures(recorder);
  }
  return measurements;
}

const Registration kBackgroundFlood(
    {"flood-least-urgent", "ten times the capacity of background work",
     [](uint64_t seed) {
       return RunFlood(seed, {kUsualLoad[0], kUsualLoad[1], kFloodLoad});
     }});

const Registration kUrgentFlood(
    {"flood-most-urgent", "ten times the capacity of urgent work",
     [](uint64_t seed) {
       return RunFlood(seed, {kFloodLoad, kUsualLoad[1], kUsualLoad[2]});
     }});

const Registration kAllRanksFlood(
    {"flood-all", "ten times the capacity of every rank", [](uint64_t seed) {
       return RunFlood(seed, {kFloodLoad, kFloodLoad, kFloodLoad});
     }});

const Registration kStragglersInFlood(
    {"stragglers-in-flood",
     "slow sub-requests and pauses in a flood of background work",
     [](uint64_t seed) {
       return RunFlood(seed, {kUsualLoad[0], kUsualLoad[1], kFloodLoad},
                       StragglersAndPauses(seed));
     }});

// Compares strict priority with floors (policy) to weighted queues (baseline).
Measurements RunOrdering(uint64_t seed) {
  Measurements measurements;
  for (const Shape& shape : AllShapes()) {
    for (const double urgent : {0.3, 0.6, 0.8}) {
      Scenario scenario = Flood(shape, {urgent, kUsualLoad[1], kFloodLoad}, {});
      scenario.load = {urgent, 0, 0};
      Comparison runs;
      runs.policy = Simulation(scenario, seed).Run();
      scenario.ordering = RankOrdering::kWeighted;
      runs.baseline = Simulation(scenario, seed).Run();
      const std::string load =
          " at urgent load " + std::to_string(static_cast<int>(urgent * 100));
      const MeasurementRecorder recorder(shape.name, runs, &measurements);
      recorder.Add("urgent p99" + load, "ms", [](const RunResult& r) {
        return r.rank(Rank::kUrgent).Quantile(0.99);
      });
      recorder.Add("background goodput" + load, "%", [](const RunResult& r) {
        return r.GoodputPercent(Rank::kBackground);
      });
      recorder.Add("goodput" + load, "%",
                   [](const RunResult& r) { return r.GoodputPercent(); });
    }
  }
  return measurements;
}

const Registration kOrdering(
    {"rank-ordering",
     "weighted queues (as baseline) against strict priority with floors, in a "
     "flood of background work",
     RunOrdering});

}  // namespace

}  // namespace greengage::bench
