// Experiments on failure detection between instances.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <future>
#include <optional>
#include <string>
#include <vector>

#include "tools/bench/datagram_fake.h"
#include "tools/bench/experiment.h"

namespace greengage::bench {

namespace {

using std::chrono::seconds;

constexpr double kMaxDetectionSeconds = 7;
constexpr double kMaxBytesPerSecond = 2048;
constexpr double kMaxGrowth = 1.1;
constexpr double kLoss = 0.3;
constexpr seconds kWarmUp{8};
constexpr seconds kHorizon{40};
constexpr seconds kPause{2};
constexpr seconds kCutLength{20};
constexpr size_t kKills = 2;
constexpr size_t kPauses = 4;
constexpr size_t kPausedAtOnce = 3;

constexpr size_t kSizes[] = {10, 100, 300, 940};

// Daily changes in the largest deployment: of the configuration, and of
// instances that join or leave.
constexpr double kChangesPerSecond = (4100.0 + 1925.0) / 86400;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

DatagramFakeOptions Options(size_t instances, uint64_t seed, double loss) {
  DatagramFakeOptions options;
  options.instances = instances;
  options.seed = seed;
  options.loss = loss;
  return options;
}

// Probes as many members as the policy, chosen at random for each probe.
DatagramFakeOptions RandomProbing(DatagramFakeOptions options) {
  options.membership.choose_probe_targets = ChooseRandom;
  return options;
}

// Declares instances gone that have not answered for one second.
DatagramFakeOptions ShortTimeout(DatagramFakeOptions options) {
  options.membership.gone_timeout = std::chrono::milliseconds(1000);
  options.membership.isolated_gone_timeout = std::chrono::milliseconds(1000);
  return options;
}

// Makes every instance probe all others.
DatagramFakeOptions AllPairs(DatagramFakeOptions options) {
  options.membership.successors = options.instances;
  return options;
}

// Returns the seconds until all other instances have declared the instances
// `killed` gone, at most the horizon.
double DetectionTime(DatagramFake& fake, const std::vector<size_t>& killed) {
  const TimePoint start = fake.now();
  TimePoint last = start + kHorizon;
  size_t missing = killed.size() * (fake.size() - killed.size());
  std::vector<std::string> ids;
  for (const size_t index : killed) {
    ids.push_back(fake.at(index).self().id);
    fake.Kill(index);
  }
  fake.OnChange([&](size_t, const MembershipChange& change, TimePoint now) {
    const bool counts =
        change.kind == MembershipChangeKind::kGone &&
        std::find(ids.begin(), ids.end(), change.instance.id) != ids.end();
    if (counts && --missing == 0) {
      last = now;
    }
  });
  while (missing > 0 && fake.now() < start + kHorizon) {
    fake.Run(seconds(1));
  }
  fake.OnChange({});
  return ToSeconds(last - start);
}

// Returns the longest detection time of several crashes, one after the other.
double DeadInstance(const DatagramFakeOptions& options) {
  DatagramFake fake(options);
  fake.Run(kWarmUp);
  double worst = 0;
  for (size_t i = 0; i < kKills; ++i) {
    const size_t victim = 1 + i * options.instances / (kKills + 1);
    worst = std::max(worst, DetectionTime(fake, {victim}));
    fake.Start(victim);
    fake.Run(kWarmUp);
  }
  return worst;
}

double LostDataCentre(const DatagramFakeOptions& options) {
  DatagramFake fake(options);
  fake.Run(kWarmUp);
  std::vector<size_t> killed;
  for (size_t i = 1; i < options.instances; i += options.data_centres) {
    killed.push_back(i);
  }
  return DetectionTime(fake, killed);
}

// Returns the number of declarations that an instance is gone while all are
// alive but some are paused.
double CountFalseGone(const DatagramFakeOptions& options) {
  DatagramFake fake(options);
  fake.Run(kWarmUp);
  size_t gone = 0;
  fake.OnChange([&](size_t, const MembershipChange& change, TimePoint) {
    gone += change.kind == MembershipChangeKind::kGone ? 1 : 0;
  });
  for (size_t round = 0; round < kPauses; ++round) {
    for (size_t i = 0; i < kPausedAtOnce; ++i) {
      fake.Pause(round * kPausedAtOnce % options.instances + i, kPause);
    }
    fake.Run(2 * kPause);
  }
  fake.Run(seconds(5));
  return static_cast<double>(gone);
}

// Returns the bytes sent and received per second and instance.
double IdleTraffic(const DatagramFakeOptions& options, seconds length) {
  DatagramFake fake(options);
  fake.Run(std::min(length, kWarmUp));
  const uint64_t before = fake.bytes();
  fake.Run(length);
  return static_cast<double>(fake.bytes() - before) /
         static_cast<double>(length.count() * options.instances);
}

// As IdleTraffic(), with changes at kChangesPerSecond, each a new configuration
// version or a restart.
double BusyTraffic(const DatagramFakeOptions& options) {
  constexpr seconds kLength{60};
  const auto changes = static_cast<size_t>(kChangesPerSecond * 60 + 1);
  DatagramFake fake(options);
  fake.OnVersion(
      [&](size_t at, const VersionAnnouncement& announcement, TimePoint) {
        fake.at(at).SetConfigurationVersion(announcement.version);
      });
  fake.Run(kWarmUp);
  const uint64_t before = fake.bytes();
  for (size_t i = 1; i <= changes; ++i) {
    if (i % 3 == 0) {
      fake.Start(i);
    } else {
      fake.at(i).SetConfigurationVersion(i);
    }
    fake.Run(kLength / static_cast<int>(changes));
  }
  return static_cast<double>(fake.bytes() - before) /
         static_cast<double>(kLength.count() * options.instances);
}

// Returns the seconds from the end of a partition between two halves until all
// tables agree.
double PartitionRecoverySeconds(const DatagramFakeOptions& options) {
  DatagramFake fake(options);
  fake.Run(kWarmUp);
  fake.SetCut([](size_t from, size_t to) { return from % 2 != to % 2; });
  fake.Run(kCutLength);
  fake.SetCut({});
  const TimePoint start = fake.now();
  const auto agree = [&] {
    for (size_t at = 0; at < fake.size(); ++at) {
      const MemberTablePtr table = fake.at(at).Table();
      for (const Instance& member : table->members) {
        if (member.state != InstanceState::kLive) {
          return false;
        }
      }
    }
    return true;
  };
  while (!agree() && fake.now() < start + kHorizon) {
    fake.Run(seconds(1));
  }
  return ToSeconds(fake.now() - start);
}

// A figure of the baseline and of the policy.
struct Pair {
  double baseline = 0;
  double policy = 0;
};

Pair Measure(const std::function<double(const DatagramFakeOptions&)>& figure,
             const DatagramFakeOptions& baseline,
             const DatagramFakeOptions& policy) {
  std::future<double> other =
      std::async(std::launch::async, [&] { return figure(baseline); });
  const double own = figure(policy);
  return {.baseline = other.get(), .policy = own};
}

Bound AtMost(double limit) {
  return {BoundOn::kPolicy, BoundKind::kAtMost, limit};
}

void AddDetection(size_t size, uint64_t seed, Measurements* out) {
  const std::string shape = std::to_string(size) + " instances";
  const auto add = [&](const std::string& name, const std::string& unit,
                       Pair pair, std::optional<Bound> bound) {
    out->push_back({shape, name, unit, pair.baseline, pair.policy, bound});
  };
  for (const double loss : {0.0, kLoss}) {
    const std::string suffix = loss > 0 ? ", 30 % lost" : "";
    const DatagramFakeOptions options = Options(size, seed, loss);
    add("dead known to all" + suffix, "s",
        Measure(DeadInstance, RandomProbing(options), options),
        AtMost(kMaxDetectionSeconds));
    add("falsely gone, 2 s pauses" + suffix, "",
        Measure(CountFalseGone, ShortTimeout(options), options), AtMost(0));
  }
  const DatagramFakeOptions options = Options(size, seed, 0);
  add("a third dead, known to all", "s",
      Measure(LostDataCentre, RandomProbing(options), options), std::nullopt);
  add("halves of a cut agree again", "s",
      Measure(PartitionRecoverySeconds, RandomProbing(options), options),
      std::nullopt);
}

double AddTraffic(size_t size, uint64_t seed, Measurements* out) {
  constexpr seconds kAllPairsLength{1};
  constexpr seconds kPolicyLength{30};
  const std::string shape = std::to_string(size) + " instances";
  const DatagramFakeOptions options = Options(size, seed, 0);
  const double all_pairs = IdleTraffic(AllPairs(options), kAllPairsLength);
  const double policy = IdleTraffic(options, kPolicyLength);
  out->push_back({shape, "traffic per instance, idle", "B/s", all_pairs, policy,
                  AtMost(kMaxBytesPerSecond)});
  out->push_back({shape, "the same with changes, 30 % lost", "B/s", all_pairs,
                  BusyTraffic(Options(size, seed, kLoss)),
                  AtMost(kMaxBytesPerSecond)});
  return policy;
}

Measurements RunMembership(uint64_t seed) {
  Measurements measurements;
  double smallest = 0;
  double smallest_all_pairs = 0;
  for (const size_t size : kSizes) {
    AddDetection(size, seed, &measurements);
    const size_t row = measurements.size();
    const double traffic = AddTraffic(size, seed, &measurements);
    const double all_pairs = measurements[row].baseline;
    if (smallest == 0) {
      smallest = traffic;
      smallest_all_pairs = all_pairs;
    }
    measurements.push_back({std::to_string(size) + " instances",
                            "traffic against 10 instances", "times",
                            all_pairs / smallest_all_pairs, traffic / smallest,
                            AtMost(kMaxGrowth)});
  }
  return measurements;
}

const Registration kRegistration(
    {.name = "membership",
     .summary = "Failure detection at 10 to 940 instances, against random "
                "probing, a short timeout and probing of all by all",
     .run = RunMembership});

}  // namespace

}  // namespace greengage::bench
