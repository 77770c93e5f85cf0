// Experiments on floods of work.
#include "tools/bench/experiment.h"
#include "tools/bench/measures.h"
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

Scenario Flood(const Shape& shape, const RankRates& flood) {
  Scenario scenario;
  scenario.shape = shape;
  scenario.load = kUsual;
  scenario.flood = flood;
  scenario.measured = std::chrono::seconds(shape.shards > 100 ? 2 : 5);
  return scenario;
}

// The urgent rank's p99 with no other work at all.
double UnloadedP99(const Shape& shape, uint64_t seed, bool naive) {
  Scenario scenario;
  scenario.shape = shape;
  scenario.load = {kUsual[0], 0, 0};
  scenario.naive = naive;
  scenario.measured = std::chrono::seconds(shape.shards > 100 ? 4 : 10);
  return Simulation(scenario, seed).Run().rank(Rank::kUrgent).Quantile(0.99);
}

void AddUrgentSlowdown(const Shape& shape,
                       uint64_t seed,
                       const Comparison& runs,
                       Measurements* out) {
  const double naive = UnloadedP99(shape, seed, true);
  const double policy = UnloadedP99(shape, seed, false);
  out->push_back(
      {shape.name, "urgent p99 unloaded", "ms", naive, policy, std::nullopt});
  out->push_back({shape.name, "urgent p99 over unloaded", "times",
                  runs.baseline.rank(Rank::kUrgent).Quantile(0.99) / naive,
                  runs.policy.rank(Rank::kUrgent).Quantile(0.99) / policy,
                  Bound{BoundOn::kPolicy, BoundKind::kAtMost, kMostSlowdown}});
}

void AddFloors(const Measures& measures) {
  measures.Add(
      "normal rank's goodput", "% of capacity",
      [](const RunResult& r) { return r.GoodputPercent(Rank::kNormal); },
      Bound{BoundOn::kPolicy, BoundKind::kAtLeast, kNormalFloorPercent});
  measures.Add(
      "background rank's goodput", "% of capacity",
      [](const RunResult& r) { return r.GoodputPercent(Rank::kBackground); },
      Bound{BoundOn::kPolicy, BoundKind::kAtLeast, kBackgroundFloorPercent});
}

void AddOverload(const Measures& measures) {
  measures.Add("urgent goodput", "% of capacity", [](const RunResult& r) {
    return r.GoodputPercent(Rank::kUrgent);
  });
  measures.Add(
      "goodput", "% of capacity",
      [](const RunResult& r) { return r.GoodputPercent(); },
      Bound{BoundOn::kPolicy, BoundKind::kAtLeast, kLeastGoodputPercent});
  measures.Add(
      "sub-requests sent per one asked", "",
      [](const RunResult& r) { return r.SentPerAsked(); },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, kMostSentPerAsked});
  measures.Add("whole answers of the admitted", "%",
               [](const RunResult& r) { return 100 * r.All().WholeShare(); });
  measures.Add(
      "refusals without a time", "",
      [](const RunResult& r) {
        return static_cast<double>(r.refusals_without_time);
      },
      Bound{BoundOn::kPolicy, BoundKind::kAtMost, 0});
}

void AddLatency(const Measures& measures) {
  for (const Rank rank : kAllRanks) {
    const std::string name = "rank " + std::to_string(IndexOf(rank)) + " p99";
    measures.Add(name, "ms", [rank](const RunResult& r) {
      return r.rank(rank).Quantile(0.99);
    });
  }
}

Measurements RunFlood(uint64_t seed, const RankRates& flood) {
  const bool urgent_fits = flood[0] <= kUsual[0];
  Measurements measurements;
  for (const Shape& shape : AllShapes()) {
    const Comparison runs = Compare(Flood(shape, flood), seed);
    const Measures measures(shape.name, runs, &measurements);
    AddLatency(measures);
    if (urgent_fits) {
      AddUrgentSlowdown(shape, seed, runs, &measurements);
    }
    AddFloors(measures);
    AddOverload(measures);
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

}  // namespace

}  // namespace greengage::bench
