// Experiments on floods of work.
#include "tools/bench/experiment.h"
#include "tools/bench/faults.h"
#include "tools/bench/measurement_recorder.h"
#include "tools/bench/simulation.h"

namespace greengage::bench {

namespace {

constexpr RankRates kUsual{0.3, 0.2, 0.1};
constexpr double kFlood = 10;  // Times the capacity.
constexpr double kMostSlowdown = 1.2;
constexpr double kLeastGoodputPercent = 95;
constexpr double kMostSentPerAsked = 1.1;
constexpr double kNormalFloorPercent = 10;
constexpr double kBackgroundFloorPercent = 5;

Scenario Flood(const Shape& shape, const RankRates& flood, const Fault& fault) {
  Scenario scenario;
  scenario.shape = shape;
  scenario.load = kUsual;
  scenario.flood = flood;
  scenario.prepare = fault;
  scenario.measured = std::chrono::seconds(shape.shards > 100 ? 3 : 5);
  return scenario;
}

// The urgent rank's p99 with no other work at all.
double UnloadedP99(const Shape& shape,
                   uint64_t seed,
                   const Fault& fault,
                   bool naive) {
  Scenario scenario;
  scenario.prepare = fault;
  scenario.shape = shape;
  scenario.load = {kUsual[0], 0, 0};
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
                  Bound{BoundOn::kPolicy, BoundKind::kAtMost, kMostSlowdown}});
}

void AddFloors(const MeasurementRecorder& recorder) {
  recorder.Add(
      "normal rank's goodput", "% of capacity",
      [](const RunResult& r) { return r.GoodputPercent(Rank::kNormal); },
      Bound{BoundOn::kPolicy, BoundKind::kAtLeast, kNormalFloorPercent});
  recorder.Add(
      "background rank's goodput", "% of capacity",
      [](const RunResult& r) { return r.GoodputPercent(Rank::kBackground); },
      Bound{BoundOn::kPolicy, BoundKind::kAtLeast, kBackgroundFloorPercent});
}

void AddOverload(const MeasurementRecorder& recorder) {
  recorder.Add("urgent goodput", "% of capacity", [](const RunResult& r) {
    return r.GoodputPercent(Rank::kUrgent);
  });
  recorder.Add(
      "goodput", "% of capacity",
      [](const RunResult& r) { return r.GoodputPercent(); },
      Bound{BoundOn::kPolicy, BoundKind::kAtLeast, kLeastGoodputPercent});
  recorder.Add(
      "sub-requests sent per one asked", "",
      [](const RunResult& r) { return r.SentPerFirst(); },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, kMostSentPerAsked});
  recorder.Add("whole answers of the admitted", "%",
               [](const RunResult& r) { return 100 * r.All().WholeShare(); });
  recorder.Add(
      "refusals without a time", "",
      [](const RunResult& r) {
        return static_cast<double>(r.rejections_without_retry_after);
      },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, 0});
}

void AddLatency(const MeasurementRecorder& recorder) {
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
  const bool urgent_fits = flood[0] <= kUsual[0];
  Measurements measurements;
  for (const Shape& shape : AllShapes()) {
    const Comparison runs = Compare(Flood(shape, flood, fault), seed);
    const MeasurementRecorder recorder(shape.name, runs, &measurements);
    AddLatency(recorder);
    if (urgent_fits) {
      AddUrgentSlowdown(shape, seed, fault, runs, &measurements);
    }
    AddFloors(recorder);
    AddOverload(recorder);
  }
  return measurements;
}

const Registration kLeastUrgent(
    {"flood-least-urgent", "ten times the capacity of background work",
     [](uint64_t seed) {
       return RunFlood(seed, {kUsual[0], kUsual[1], kFlood});
     }});

const Registration kMostUrgent(
    {"flood-most-urgent", "ten times the capacity of urgent work",
     [](uint64_t seed) {
       return RunFlood(seed, {kFlood, kUsual[1], kUsual[2]});
     }});

const Registration kAllAtOnce(
    {"flood-all", "ten times the capacity of every rank", [](uint64_t seed) {
       return RunFlood(seed, {kFlood, kFlood, kFlood});
     }});

const Registration kStragglersInFlood(
    {"stragglers-in-flood",
     "slow sub-requests and pauses in a flood of background work",
     [](uint64_t seed) {
       return RunFlood(seed, {kUsual[0], kUsual[1], kFlood},
                       StragglersAndPauses(seed));
     }});

// Strict priority with floors as the policy, weighted queues as the baseline.
Measurements RunOrdering(uint64_t seed) {
  Measurements measurements;
  for (const Shape& shape : AllShapes()) {
    for (const double urgent : {0.3, 0.6, 0.8}) {
      Scenario scenario = Flood(shape, {urgent, kUsual[1], kFlood}, {});
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
