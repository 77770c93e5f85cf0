// Plays demand that moves between data centres, whose searchers slow down as
// they fill. Guards against requests that wait at home while others have room,
// against those that leave for nothing, and against shares that swing.
#include "greengage/coordination/data_centre_spill.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <numbers>
#include <optional>
#include <random>
#include <vector>

#include <criterion/criterion.h>

namespace greengage {
namespace {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr Duration kObjective = milliseconds(1000);

LocalityLatencies Latencies(int here, int region, int elsewhere) {
  return {milliseconds(here), milliseconds(region), milliseconds(elsewhere)};
}

// Returns the share of requests within `time` that leave the data centre.
double ShareLeaving(DataCentreSpill& spill,
                    TimePoint& now,
                    const LocalityLatencies& latencies,
                    Duration time) {
  size_t left = 0;
  size_t all = 0;
  for (const TimePoint end = now + time; now < end; now += milliseconds(5)) {
    ++all;
    left +=
        spill.Choose(now, "s", latencies, kObjective) == Locality::kDataCentre
            ? 0
            : 1;
  }
  return static_cast<double>(left) / static_cast<double>(all);
}

enum class Policy : uint8_t { kSpill, kNearest, kBestEstimate };

struct WaveResult {
  double on_time = 0;  // Fraction answered within the objective.
  double mean_ms = 0;  // Mean latency.
  double left = 0;     // Fraction that left the data centre.
};

// Six data centres in three regions with one searcher each, which runs `kSlots`
// requests at once, and many instances that learn of its queue some time later.
WaveResult PlayWave(Policy policy, double flood, uint64_t seed) {
  constexpr size_t kDataCentres = 6;
  constexpr double kSlots = 6;
  constexpr double kWorkMs = 220;
  constexpr double kPerSecond = 19;  // Requests of each data centre.
  constexpr Duration kStep = milliseconds(10);
  constexpr Duration kNewsDelay = milliseconds(300);
  std::mt19937_64 random(seed);
  std::array<double, kDataCentres> queue{};  // Requests, running ones included.
  std::vector<std::array<double, kDataCentres>> history;
  std::array<DataCentreSpill, kDataCentres> spills;
  const auto distance_ms = [](size_t a, size_t b) {
    return a == b ? 0.4 : a / 2 == b / 2 ? 2.2 : 40.4;
  };
  const auto latency_ms = [](double requests) {
    return kWorkMs * std::max(1.0, (requests + 1) / kSlots);
  };
  WaveResult result;
  double count = 0;
  for (TimePoint now = kStart; now < kStart + seconds(60); now += kStep) {
    history.push_back(queue);
    const auto lag = static_cast<size_t>(kNewsDelay / kStep);
    const auto& known =
        history[history.size() > lag ? history.size() - 1 - lag : 0];
    const double time = duration<double>(now - kStart).count();
    for (size_t from = 0; from < kDataCentres; ++from) {
      const double wave =
          1 + 0.55 * std::sin(2 * std::numbers::pi *
                              (time / 17 + 0.08 * static_cast<double>(from)));
      const double rate = kPerSecond * wave * (from == 0 ? flood : 1);
      std::poisson_distribution<int> arrivals(rate *
                                              duration<double>(kStep).count());
      for (int i = arrivals(random); i > 0; --i) {
        std::array<std::optional<size_t>, kLocalities> best;
        LocalityLatencies estimates;
        for (size_t to = 0; to < kDataCentres; ++to) {
          const size_t locality = from == to ? 0 : from / 2 == to / 2 ? 1 : 2;
          const auto estimate =
              duration_cast<Duration>(duration<double, std::milli>(
                  latency_ms(known[to]) + distance_ms(from, to)));
          if (!estimates[locality] || estimate < *estimates[locality]) {
            estimates[locality] = estimate;
            best[locality] = to;
          }
        }
        size_t chosen = from;
        if (policy == Policy::kSpill) {
          chosen = *best[static_cast<size_t>(
              spills[from].Choose(now, "s", estimates, kObjective))];
        } else if (policy == Policy::kBestEstimate) {
          const auto least =
              std::min_element(estimates.begin(), estimates.end());
          chosen = *best[static_cast<size_t>(least - estimates.begin())];
        }
        const double took =
            latency_ms(queue[chosen]) + distance_ms(from, chosen);
        queue[chosen] += 1;
        result.on_time += took <= 1000 ? 1 : 0;
        result.mean_ms += took;
        result.left += chosen == from ? 0 : 1;
        count += 1;
      }
    }
    for (double& requests : queue) {
      const double finished = std::min(requests, kSlots) *
                              duration<double, std::milli>(kStep).count() /
                              kWorkMs;
      requests = std::max(0.0, requests - finished);
    }
  }
  result.on_time /= count;
  result.mean_ms /= count;
  result.left /= count;
  return result;
}

}  // namespace

Test(DataCentreSpill, StaysWhileLeavingGainsLessThanItCosts) {
  DataCentreSpill spill;
  TimePoint now = kStart;
  cr_assert_eq(ShareLeaving(spill, now, Latencies(100, 99, 90), seconds(2)), 0);
}

Test(DataCentreSpill, SendsMoreAwayUntilTheEstimatesMeet) {
  DataCentreSpill spill;
  TimePoint now = kStart;
  ShareLeaving(spill, now, Latencies(300, 100, 140), milliseconds(400));
  const double first = spill.ShareLeaving("s", Locality::kDataCentre);
  cr_assert(first > 0.2 && first < 0.7);
  ShareLeaving(spill, now, Latencies(110, 108, 140), milliseconds(300));
  cr_assert_lt(spill.ShareLeaving("s", Locality::kDataCentre), first);
  ShareLeaving(spill, now, Latencies(100, 200, 240), milliseconds(600));
  cr_assert_eq(spill.ShareLeaving("s", Locality::kDataCentre), 0);
}

Test(DataCentreSpill, LeavesAtOnceIfNoSearcherIsLeftHere) {
  DataCentreSpill spill;
  const LocalityLatencies latencies{std::nullopt, milliseconds(500),
                                    milliseconds(540)};
  cr_assert(spill.Choose(kStart, "s", latencies, kObjective) ==
            Locality::kRegion);
}

Test(DataCentreSpill, StaysIfNoOtherDataCentreHasSearchers) {
  DataCentreSpill spill;
  TimePoint now = kStart;
  const LocalityLatencies latencies{milliseconds(5000), std::nullopt,
                                    std::nullopt};
  cr_assert_eq(ShareLeaving(spill, now, latencies, seconds(2)), 0);
}

// The region is left only for more than the data centre.
Test(DataCentreSpill, PrefersTheRegionToOthers) {
  DataCentreSpill spill;
  TimePoint now = kStart;
  size_t elsewhere = 0;
  for (int i = 0; i < 200; ++i, now += milliseconds(10)) {
    elsewhere += spill.Choose(now, "s", Latencies(300, 100, 95), kObjective) ==
                         Locality::kElsewhere
                     ? 1
                     : 0;
  }
  cr_assert_eq(elsewhere, 0);
}

// Callers get more answers in time than if requests never left, and leave less
// often than if each went to the best estimate, which herds.
Test(DataCentreSpill, ServesWavesOfDemandBetterThanTheAlternatives) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    for (const double flood : {1.0, 2.5}) {
      const WaveResult spill = PlayWave(Policy::kSpill, flood, seed);
      const WaveResult nearest = PlayWave(Policy::kNearest, flood, seed);
      const WaveResult best = PlayWave(Policy::kBestEstimate, flood, seed);
      cr_log_info(
          "flood %.1f: on time %.3f, %.3f, %.3f; ms %.0f, %.0f, %.0f; "
          "left %.2f, %.2f, %.2f",
          flood, spill.on_time, nearest.on_time, best.on_time, spill.mean_ms,
          nearest.mean_ms, best.mean_ms, spill.left, nearest.left, best.left);
      cr_expect_geq(spill.on_time, nearest.on_time);
      cr_expect_leq(spill.mean_ms, nearest.mean_ms);
      cr_expect_leq(spill.left, best.left);
      // As many answers in time, but for chance.
      cr_expect_geq(spill.on_time, best.on_time - 0.01);
    }
  }
}

}  // namespace greengage
