#include "greengage/coordination/searcher_rate_limit.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "greengage/coordination/instance_share.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

using Ms = std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr TokenDemand kWholeToken{};

// Offers a request each `interval` for `time` and returns how many were sent.
int CountSent(SearcherRateLimit& limit,
              double share,
              Ms interval,
              Ms time,
              std::minstd_rand& random) {
  std::uniform_real_distribution<double> draw(0, 1);
  int sent = 0;
  for (TimePoint now = kStart; now < kStart + time; now += interval) {
    const TokenDemand demand{1 - draw(random), 0};
    if (limit.WaitFor(now, {share}, demand) == Duration::zero()) {
      limit.OnSent(now, {share});
      ++sent;
    }
  }
  return sent;
}

constexpr std::chrono::seconds kIdleTime(60);
constexpr std::chrono::seconds kLimitWindow(4);

struct SharedLoad {
  double limit = 1;  // Requests per second that the searcher names.
  size_t instances = 1;
  double demand = 1;  // Requests per second at each instance.
  Duration length{};
  // The wall clocks of the instances differ by up to this time.
  std::chrono::milliseconds clock_spread{0};
  // Every so often another instance joins: the others count it in the order of
  // their names, each up to a second later.
  std::optional<std::chrono::seconds> joins_each;
};

struct SharedLimitResult {
  std::vector<TimePoint> sent;
  size_t urgent = 0;  // Of those sent.
};

// Instances that share the limit of one searcher. They are idle for a minute
// after it has named the limit.
class SharedLimit {
 public:
  SharedLimit(const SharedLoad& load, uint64_t seed)
      : load_(load),
        random_(static_cast<std::minstd_rand::result_type>(seed)),
        limits_(load.instances, SearcherRateLimit(kStart)) {
    for (SearcherRateLimit& limit : limits_) {
      limit.OnAnswer(kStart, load.limit);
      clock_offsets_.push_back(
          std::uniform_real_distribution<double>(0, 1)(random_) *
          load.clock_spread);
      learning_delays_.push_back(std::chrono::milliseconds(
          std::uniform_int_distribution<int>(0, 1000)(random_)));
    }
  }

  SharedLimitResult Run() {
    const TimePoint start = kStart + kIdleTime;
    for (size_t i = 0; i < load_.instances; ++i) {
      arrivals_.emplace(start + Interval(), i);
    }
    SharedLimitResult result;
    while (arrivals_.top().first < start + load_.length) {
      const auto [now, instance] = arrivals_.top();
      arrivals_.pop();
      arrivals_.emplace(now + Interval(), instance);
      SearcherRateLimit& limit = limits_[instance];
      const LimitShare share = ShareOf(now, instance);
      const TokenDemand demand = Demand();
      if (limit.WaitFor(now, share, demand) == Duration::zero()) {
        limit.OnSent(now, share);
        result.sent.push_back(now);
        result.urgent += demand.reserve == 0 ? 1 : 0;
      }
    }
    return result;
  }

 private:
  // Those that join come first in the order of names. They send nothing.
  LimitShare ShareOf(TimePoint now, size_t instance) const {
    const size_t joined =
        load_.joins_each
            ? static_cast<size_t>((now - kStart - learning_delays_[instance]) /
                                  *load_.joins_each)
            : 0;
    const size_t count = load_.instances + joined;
    return {InstanceShare(1, count),
            static_cast<double>(instance + joined) / static_cast<double>(count),
            std::chrono::duration_cast<Duration>(clock_offsets_[instance])};
  }

  Duration Interval() {
    std::exponential_distribution<double> seconds(load_.demand);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(seconds(random_)));
  }

  // Half of the requests are urgent, the others of the rank below.
  TokenDemand Demand() {
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    return std::bernoulli_distribution()(random_)
               ? TokenDemand{(1 - draw) / 3, 0}
               : TokenDemand{(2 - draw) / 3, 0.9};
  }

  const SharedLoad load_;
  std::minstd_rand random_;
  std::vector<SearcherRateLimit> limits_;
  std::vector<std::chrono::duration<double, std::milli>> clock_offsets_;
  std::vector<std::chrono::milliseconds> learning_delays_;
  std::priority_queue<std::pair<TimePoint, size_t>,
                      std::vector<std::pair<TimePoint, size_t>>,
                      std::greater<>>
      arrivals_;
};

// Returns the largest number of requests within kLimitWindow.
size_t MaxInWindow(const std::vector<TimePoint>& sent) {
  size_t most = 0;
  size_t first = 0;
  for (size_t last = 0; last < sent.size(); ++last) {
    while (sent[last] - sent[first] > kLimitWindow) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

// Requests that a searcher with `limit` may get within kLimitWindow.
double AllowedInWindow(double limit) {
  return 1.5 * limit * kLimitWindow.count() + 5;
}

void ExpectLimitIsKept(const SharedLoad& load) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    const size_t most = MaxInWindow(SharedLimit(load, seed).Run().sent);
    cr_expect(static_cast<double>(most) <= AllowedInWindow(load.limit),
              "limit %g, %zu instances, demand %g, seed %u: %zu in 4 s",
              load.limit, load.instances, load.demand,
              static_cast<unsigned>(seed), most);
  }
}

}  // namespace

Test(SearcherRateLimit, InstancesThatWereIdleKeepALowLimitTogether) {
  for (const double limit : {1.0, 2.0, 4.0}) {
    for (const size_t instances : {size_t{9}, size_t{295}}) {
      for (const double demand : {10.0, 0.2}) {
        ExpectLimitIsKept({.limit = limit,
                           .instances = instances,
                           .demand = demand,
                           .length = std::chrono::seconds(60)});
      }
    }
  }
}

Test(SearcherRateLimit, InstancesKeepALowLimitThoughTheirClocksDiffer) {
  for (const double limit : {0.0, 1.0, 2.0, 4.0, 26.0}) {
    for (const size_t instances : {size_t{9}, size_t{60}, size_t{295}}) {
      ExpectLimitIsKept({.limit = limit,
                         .instances = instances,
                         .demand = 10,
                         .length = std::chrono::seconds(60),
                         .clock_spread = Ms(500)});
    }
  }
}

Test(SearcherRateLimit, InstancesKeepALowLimitWhileOthersJoin) {
  for (const double limit : {1.0, 2.0, 4.0, 26.0}) {
    for (const size_t instances : {size_t{9}, size_t{60}, size_t{295}}) {
      ExpectLimitIsKept({.limit = limit,
                         .instances = instances,
                         .demand = 10,
                         .length = std::chrono::seconds(60),
                         .joins_each = std::chrono::seconds(10)});
    }
  }
}

Test(SearcherRateLimit, MostOfALowLimitIsUsedByUrgentRequestsFirst) {
  constexpr std::chrono::seconds kLength(400);
  for (const double limit : {1.0, 2.0, 4.0}) {
    for (const size_t instances : {size_t{9}, size_t{295}}) {
      const SharedLimitResult result = SharedLimit({.limit = limit,
                                                    .instances = instances,
                                                    .demand = 10,
                                                    .length = kLength},
                                                   1)
                                           .Run();
      const auto sent = static_cast<double>(result.sent.size());
      cr_expect(sent >= 0.75 * limit * kLength.count());
      cr_expect(static_cast<double>(result.urgent) >= 0.9 * sent);
    }
  }
}

Test(SearcherRateLimit, WithoutALimitNothingWaits) {
  SearcherRateLimit limit(kStart);
  for (int i = 0; i < 1000; ++i) {
    limit.OnSent(kStart, {0.001});
  }
  cr_assert(limit.WaitFor(kStart, {0.001}, kWholeToken) == Duration::zero());
}

// Guards against a division by a time that is rounded to zero, which ends the
// process on x86-64.
Test(SearcherRateLimit, AVeryHighLimitBoundsNothing) {
  for (const double high : {1e6, 1e9, 1.25e9, 1e12, 1e308}) {
    for (const double share : {0.8, 1e-3}) {
      SearcherRateLimit limit(kStart);
      limit.OnAnswer(kStart, high);
      for (int i = 1; i <= 100; ++i) {
        const TimePoint now = kStart + i * Ms(10);
        cr_assert(limit.WaitFor(now, {share}, kWholeToken) == Duration::zero());
        limit.OnSent(now, {share});
      }
      cr_assert(limit.limit() == high);
    }
  }
}

Test(SearcherRateLimit, ALimitAppliesAtOnceAndUntilAnAnswerNamesNone) {
  SearcherRateLimit limit(kStart);
  limit.OnSent(kStart, {0.5});
  limit.OnAnswer(kStart, 4.0);
  cr_assert(limit.WaitFor(kStart, {0.5}, kWholeToken) == Ms(500));
  cr_assert(limit.WaitFor(kStart + Ms(500), {0.5}, kWholeToken) ==
            Duration::zero());
  limit.OnAnswer(kStart, std::nullopt);
  cr_assert(limit.WaitFor(kStart, {0.5}, kWholeToken) == Duration::zero());
}

Test(SearcherRateLimit, SendsAtItsShareHoweverSmall) {
  std::minstd_rand random(1);
  for (const double share : {0.5, 0.1, 0.02}) {
    SearcherRateLimit limit(kStart);
    limit.OnAnswer(kStart, 10.0);
    constexpr std::chrono::seconds kTime(200);
    const int sent = CountSent(limit, share, Ms(20), kTime, random);
    const double allowed = 10 * share * kTime.count();
    cr_assert(sent <= allowed + 10 * share + 1);
    cr_assert(sent >= 0.9 * allowed);
  }
}

Test(SearcherRateLimit, AnIdleInstanceSavesTheTokensOfOneSecond) {
  SearcherRateLimit limit(kStart);
  limit.OnAnswer(kStart, 20.0);
  const TimePoint later = kStart + std::chrono::seconds(60);
  int sent = 0;
  while (limit.WaitFor(later, {0.5}, kWholeToken) == Duration::zero()) {
    limit.OnSent(later, {0.5});
    ++sent;
  }
  cr_assert(sent == 10);
}

Test(SearcherRateLimit, LessUrgentRequestsLeaveSavedTokensToOthers) {
  SearcherRateLimit limit(kStart);
  limit.OnAnswer(kStart, 10.0);
  const TimePoint later = kStart + std::chrono::seconds(1);
  const TokenDemand reserving{1, 1};
  cr_assert(limit.WaitFor(later, {1}, reserving) == Duration::zero());
  limit.OnSent(later, {1});
  cr_assert(limit.WaitFor(later, {1}, reserving) > Duration::zero());
  cr_assert(limit.WaitFor(later, {1}, kWholeToken) == Duration::zero());
}

// An instance with a small share must learn that a limit has been lifted.
Test(SearcherRateLimit, ASparedSearcherIsTriedAgain) {
  constexpr std::chrono::seconds kInterval(20);
  for (const double place : {0.0, 0.3, 0.6, 0.9}) {
    const LimitShare share{0.01, place};
    SearcherRateLimit limit(kStart);
    limit.OnSent(kStart, share);
    limit.OnAnswer(kStart, 5.0);
    TimePoint turn = kStart + limit.WaitFor(kStart, share, kWholeToken);
    cr_assert(turn < kStart + kInterval);
    for (int i = 0; i < 5; ++i) {
      cr_assert(limit.WaitFor(turn, share, kWholeToken) == Duration::zero());
      limit.OnSent(turn, share);
      cr_assert(limit.WaitFor(turn, share, kWholeToken) == kInterval);
      cr_assert(limit.WaitFor(turn + Ms(19900), share, kWholeToken) == Ms(100));
      turn += kInterval;
    }
  }
}

// Otherwise nobody would learn that the limit has been lifted.
Test(SearcherRateLimit, ASearcherThatTakesNothingIsTriedNowAndThen) {
  constexpr std::chrono::seconds kInterval(4);
  SearcherRateLimit limit(kStart);
  limit.OnAnswer(kStart, 0.0);
  const LimitShare share{0.5};
  TimePoint turn = kStart + limit.WaitFor(kStart, share, kWholeToken);
  cr_assert(turn < kStart + kInterval);
  for (int i = 0; i < 5; ++i) {
    limit.OnSent(turn, share);
    cr_assert(limit.WaitFor(turn, share, kWholeToken) == kInterval);
    turn += kInterval;
    cr_assert(limit.WaitFor(turn, share, kWholeToken) == Duration::zero());
  }
  cr_assert(limit.WaitFor(kStart, {0}, kWholeToken) == std::chrono::hours(1));
}

Test(SearcherRateLimit, AClockThatIsSetBackGivesNoSecondTurn) {
  SearcherRateLimit limit(kStart);
  limit.OnAnswer(kStart, 5.0);
  limit.OnSent(kStart, {0.01});
  const LimitShare set_back{0.01, 0, -std::chrono::seconds(3)};
  for (int second = 0; second < 20; ++second) {
    cr_assert(limit.WaitFor(kStart + std::chrono::seconds(second), set_back,
                            kWholeToken) > Duration::zero());
  }
}

// An instance that starts assumes that there are a thousand.
Test(SearcherRateLimit, AShareThatGrowsDoesNotWaitForTheTurnOfASmallOne) {
  SearcherRateLimit limit(kStart);
  limit.OnAnswer(kStart, 1.0);
  limit.OnSent(kStart, {InstanceShare(1, 1000)});
  cr_assert(limit.WaitFor(kStart, {InstanceShare(1, 8)}, kWholeToken) <=
            std::chrono::seconds(10));
}

Test(SearcherRateLimit, InstancesInOneRegistryHaveTurnsAtEqualDistances) {
  const std::vector<std::string> ids{"a", "c"};
  cr_assert(PlaceAmong(ids, "a", 2) == 0);
  cr_assert(PlaceAmong(ids, "c", 2) == 0.5);
}

// All instances may start at once, before any has read the registry.
Test(SearcherRateLimit, InstancesWithoutARegistryHaveNoTurnAtTheSameTime) {
  constexpr size_t kParts = 10;
  std::vector<size_t> counts(kParts);
  for (int i = 0; i < 300; ++i) {
    const double place = PlaceAmong({}, "entry-" + std::to_string(i), 1000);
    ++counts.at(std::min(kParts - 1, static_cast<size_t>(place * kParts)));
  }
  cr_assert(*std::max_element(counts.begin(), counts.end()) <= 60);
}

Test(SearcherRateLimit, ARequestThatReachedNobodyCostsNothing) {
  SearcherRateLimit limit(kStart);
  limit.OnAnswer(kStart, 2.0);
  const TimePoint later = kStart + std::chrono::seconds(1);
  limit.OnSent(later, {0.5});
  cr_assert(limit.WaitFor(later, {0.5}, kWholeToken) > Duration::zero());
  limit.OnNotSent();
  cr_assert(limit.WaitFor(later, {0.5}, kWholeToken) == Duration::zero());
}

}  // namespace greengage
