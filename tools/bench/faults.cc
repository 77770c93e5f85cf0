#include "tools/bench/faults.h"

#include <algorithm>
#include <memory>
#include <random>
#include <utility>

namespace greengage::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kShardStep = 10;  // One shard in so many has the fault.
constexpr Duration kFaultAfter = milliseconds(500);

constexpr double kStragglerShare = 0.002;
// How often a searcher pauses, for example to collect garbage, and how long.
constexpr double kPausesPerSecond = 1.0 / 600;
constexpr double kShortestPauseSeconds = 0.1;
constexpr double kLongestPauseSeconds = 1.5;

constexpr double kColdFactor = 4;
constexpr Duration kWarmUp = seconds(2);
constexpr Duration kRestartAfter = seconds(2);

constexpr Duration kMoveGap = milliseconds(200);
constexpr Duration kMoveDropAfter = milliseconds(5);
constexpr uint64_t kMovedKeys = 10;

constexpr Duration kListLag = milliseconds(500);
constexpr uint32_t kReportedQueue = 50;

constexpr Duration kVersionGap = milliseconds(20);
constexpr Duration kVersionKept = milliseconds(700);

Duration FromSeconds(double value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(value));
}

using SearcherHook = std::function<void(Simulation&, size_t searcher)>;

// Runs `hook` for the first replica of every tenth shard.
void ForEveryTenthShard(Simulation& simulation,
                        Duration after,
                        SearcherHook hook) {
  simulation.events().At(
      simulation.MeasurementStart() + after,
      [&simulation, hook = std::move(hook)] {
        const size_t step = kShardStep * simulation.replicas();
        for (size_t i = 0; i < simulation.searchers(); i += step) {
          hook(simulation, i);
        }
      });
}

void SchedulePause(Simulation& simulation,
                   size_t searcher,
                   const std::shared_ptr<std::minstd_rand>& random) {
  std::exponential_distribution<double> gap(kPausesPerSecond);
  simulation.events().After(
      FromSeconds(gap(*random)), [&simulation, searcher, random] {
        std::uniform_real_distribution<double> length(kShortestPauseSeconds,
                                                      kLongestPauseSeconds);
        simulation.searcher(searcher).faults().paused_until =
            simulation.events().now() + FromSeconds(length(*random));
        SchedulePause(simulation, searcher, random);
      });
}

void RestartCold(Simulation& simulation, size_t searcher) {
  simulation.Restart(searcher);
  simulation.searcher(searcher).StartCold(kColdFactor, kWarmUp);
}

// Moves the boundary between shards `left` and `left` + 1.
void MoveBoundary(Simulation& simulation, size_t left) {
  Configuration next = *simulation.configuration();
  ++next.version;
  auto& shards = next.services.at(kServiceName).shards;
  shards[left].range.end -= kMovedKeys;
  shards[left + 1].range.begin -= kMovedKeys;
  const std::vector<ShardConfiguration> moved{shards[left], shards[left + 1]};
  simulation.ActivateConfiguration(std::move(next));
  simulation.events().After(kMoveDropAfter, [&simulation, moved] {
    for (const ShardConfiguration& shard : moved) {
      for (const Endpoint& replica : shard.replicas) {
        simulation.searcher(SearcherIndexOf(replica)).faults().held_range =
            shard.range;
      }
    }
  });
}

void BeginDrain(Simulation& simulation, size_t searcher, bool tells) {
  SearcherFaults& faults = simulation.searcher(searcher).faults();
  faults.draining = true;
  faults.reports_draining = tells;
  const TimePoint began = simulation.events().now();
  if (!tells) {
    simulation.events().After(kListLag, [&simulation, searcher] {
      simulation.tracker().OnDrainSignal(simulation.events().now(),
                                         EndpointOf(searcher));
    });
  }
  const TimePoint sign = tells ? began : began + kListLag;
  simulation.events().At(began + kDrainTime, [&simulation, searcher, sign] {
    const Duration last = simulation.searcher(searcher).last_arrival() - sign;
    double& longest = simulation.result().last_arrival_after_drain_ms;
    longest = std::max(longest,
                       std::chrono::duration<double, std::milli>(last).count());
    simulation.Kill(searcher);
  });
}

}  // namespace

Fault Combine(Fault first, Fault second) {
  return [first = std::move(first),
          second = std::move(second)](Simulation& simulation) {
    first(simulation);
    second(simulation);
  };
}

Fault StragglersAndPauses(uint64_t seed) {
  return [seed](Simulation& simulation) {
    const auto random = std::make_shared<std::minstd_rand>(
        static_cast<std::minstd_rand::result_type>(seed));
    for (size_t i = 0; i < simulation.searchers(); ++i) {
      simulation.searcher(i).faults().straggler_share = kStragglerShare;
      SchedulePause(simulation, i, random);
    }
  };
}

Fault ReplicaLoss() {
  return [](Simulation& simulation) {
    ForEveryTenthShard(
        simulation, kFaultAfter,
        [](Simulation& s, size_t searcher) { s.Kill(searcher); });
    ForEveryTenthShard(simulation, kFaultAfter + kRestartAfter, RestartCold);
  };
}

Fault Repartition() {
  return [](Simulation& simulation) {
    const size_t shards =
        simulation.configuration()->services.at(kServiceName).shards.size();
    Duration after = kFaultAfter;
    for (size_t left = 0; left + 1 < shards; left += kShardStep) {
      simulation.events().At(
          simulation.MeasurementStart() + after,
          [&simulation, left] { MoveBoundary(simulation, left); });
      after += kMoveGap;
    }
  };
}

Fault SilentConnections() {
  return [](Simulation& simulation) {
    ForEveryTenthShard(simulation, kFaultAfter,
                       [](Simulation& s, size_t searcher) {
                         s.owner(searcher).SilenceConnections();
                       });
  };
}

Fault MisleadingHealth() {
  return [](Simulation& simulation) {
    simulation.events().At(simulation.MeasurementStart(), [&simulation] {
      const size_t whole_shards = 2 * simulation.replicas();
      for (size_t i = 0; i < simulation.searchers(); ++i) {
        const bool called_unhealthy = i % 2 == 0 || i < whole_shards;
        simulation.tracker().OnHealthReport(simulation.events().now(),
                                            EndpointOf(i), !called_unhealthy);
        if (i % kShardStep == 0) {
          simulation.searcher(i).faults().reported_queue = kReportedQueue;
        } else if (i % kShardStep == 1) {
          simulation.searcher(i).faults().reported_queue = 0;
        }
      }
    });
  };
}

Fault ColdStart() {
  return [](Simulation& simulation) {
    ForEveryTenthShard(simulation, kFaultAfter,
                       [](Simulation& s, size_t searcher) {
                         s.Kill(searcher);
                         RestartCold(s, searcher);
                       });
  };
}

Fault Drain() {
  return [](Simulation& simulation) {
    ForEveryTenthShard(
        simulation, kFaultAfter, [](Simulation& s, size_t searcher) {
          const size_t number = searcher / (kShardStep * s.replicas());
          BeginDrain(s, searcher, number % 2 == 0);
        });
  };
}

Fault VersionChange() {
  return [](Simulation& simulation) {
    for (size_t i = 0; i < simulation.searchers(); ++i) {
      const TimePoint learns =
          simulation.MeasurementStart() + kFaultAfter +
          kVersionGap * static_cast<int64_t>(i % (2 * kShardStep));
      simulation.events().At(learns, [&simulation, i] {
        simulation.searcher(i).faults().newest_version = 2;
      });
      simulation.events().At(learns + kVersionKept, [&simulation, i] {
        simulation.searcher(i).faults().oldest_version = 2;
      });
    }
  };
}

}  // namespace greengage::bench
