#include "tools/bench/faults.h"

#include <algorithm>
#include <memory>
#include <random>
#include <utility>

namespace greengage::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kShardStep = 10;  // Every tenth shard has the fault.
constexpr Duration kFaultStart = milliseconds(500);

constexpr double kStragglerShare = 0.002;
// Pauses of a searcher, for example for garbage collection.
constexpr double kPausesPerSecond = 1.0 / 600;
constexpr double kShortestPauseSeconds = 0.1;
constexpr double kLongestPauseSeconds = 1.5;

constexpr double kColdFactor = 4;
constexpr Duration kWarmUp = seconds(2);
constexpr Duration kRestartDelay = seconds(2);

constexpr Duration kMoveInterval = milliseconds(200);
constexpr Duration kRangeDropDelay = milliseconds(5);
constexpr uint64_t kMovedKeys = 10;

constexpr Duration kDrainSignalLag = milliseconds(500);
constexpr uint32_t kReportedQueue = 50;

constexpr Duration kVersionInterval = milliseconds(20);
constexpr Duration kOldVersionRetention = milliseconds(700);

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
  simulation.events().After(kRangeDropDelay, [&simulation, moved] {
    for (const ShardConfiguration& shard : moved) {
      for (const Endpoint& replica : shard.replicas) {
        simulation.searcher(SearcherIndexOf(replica)).faults().held_range =
            shard.range;
      }
    }
  });
}

void BeginDrain(Simulation& simulation, size_t searcher, bool reports) {
  SearcherFaults& faults = simulation.searcher(searcher).faults();
  faults.draining = true;
  faults.reports_draining = reports;
  const TimePoint start = simulation.events().now();
  if (!reports) {
    simulation.events().After(kDrainSignalLag, [&simulation, searcher] {
      simulation.tracker().OnDrainSignal(simulation.events().now(),
                                         EndpointOf(searcher));
    });
  }
  const TimePoint signal = reports ? start : start + kDrainSignalLag;
  simulation.events().At(start + kDrainTime, [&simulation, searcher, signal] {
    const Duration last = simulation.searcher(searcher).last_arrival() - signal;
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
        simulation, kFaultStart,
        [](Simulation& s, size_t searcher) { s.Kill(searcher); });
    ForEveryTenthShard(simulation, kFaultStart + kRestartDelay, RestartCold);
  };
}

Fault Repartition() {
  return [](Simulation& simulation) {
    const size_t shards =
        simulation.configuration()->services.at(kServiceName).shards.size();
    Duration after = kFaultStart;
    for (size_t left = 0; left + 1 < shards; left += kShardStep) {
      simulation.events().At(
          simulation.MeasurementStart() + after,
          [&simulation, left] { MoveBoundary(simulation, left); });
      after += kMoveInterval;
    }
  };
}

Fault SilentConnections() {
  return [](Simulation& simulation) {
    ForEveryTenthShard(simulation, kFaultStart,
                       [](Simulation& s, size_t searcher) {
                         s.owner(searcher).SilenceConnections();
                       });
  };
}

Fault MisleadingHealth() {
  return [](Simulation& simulation) {
    simulation.events().At(simulation.MeasurementStart(), [&simulation] {
      const size_t unhealthy_searchers = 2 * simulation.replicas();
      for (size_t i = 0; i < simulation.searchers(); ++i) {
        const bool reported_unhealthy = i % 2 == 0 || i < unhealthy_searchers;
        simulation.tracker().OnHealthReport(simulation.events().now(),
                                            EndpointOf(i), !reported_unhealthy);
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
    ForEveryTenthShard(simulation, kFaultStart,
                       [](Simulation& s, size_t searcher) {
                         s.Kill(searcher);
                         RestartCold(s, searcher);
                       });
  };
}

Fault Drain() {
  return [](Simulation& simulation) {
    ForEveryTenthShard(
        simulation, kFaultStart, [](Simulation& s, size_t searcher) {
          const size_t number = searcher / (kShardStep * s.replicas());
          BeginDrain(s, searcher, number % 2 == 0);
        });
  };
}

Fault VersionChange() {
  return [](Simulation& simulation) {
    for (size_t i = 0; i < simulation.searchers(); ++i) {
      const TimePoint update_time =
          simulation.MeasurementStart() + kFaultStart +
          kVersionInterval * static_cast<int64_t>(i % (2 * kShardStep));
      simulation.events().At(update_time, [&simulation, i] {
        simulation.searcher(i).faults().newest_version = 2;
      });
      simulation.events().At(
          update_time + kOldVersionRetention, [&simulation, i] {
            simulation.searcher(i).faults().oldest_version = 2;
          });
    }
  };
}

}  // namespace greengage::bench
