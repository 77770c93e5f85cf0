#include "greengage/coordination/extra_arrival_budget.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "greengage/coordination/request_plan_context.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

using Ms = std::chrono::milliseconds;

const std::string kService = "s0";
constexpr TimePoint kStart{std::chrono::seconds(100)};

ExtraArrivalLimits Limits(double ratio, double allowance) {
  return {ratio, allowance, Ms(10000)};
}

size_t SpendAll(ExtraArrivalBudget& budget, TimePoint now) {
  size_t spent = 0;
  while (budget.TrySpend(now, kService)) {
    ++spent;
  }
  return spent;
}

// Returns how many of `times` lie in the window that starts at `from`.
double Count(const std::vector<int>& times, int from, int window) {
  return static_cast<double>(std::count_if(
      times.begin(), times.end(),
      [&](int time) { return time >= from && time < from + window; }));
}

// Returns the requests that count for a window: its own, or those of the
// windows that start a whole or half a window earlier, if these are more.
double MaxRequests(const std::vector<int>& times, int from, int window) {
  return std::max({Count(times, from, window),
                   Count(times, from - window, window),
                   Count(times, from - window / 2, window)});
}

// Returns the extra arrivals that `whole` allows in the window from `from`.
double AllowedExtra(const ExtraArrivalLimits& whole,
                    const std::vector<int>& requests,
                    int from,
                    int window) {
  return whole.ratio * MaxRequests(requests, from, window) + whole.allowance;
}

}  // namespace

Test(ExtraArrivalBudget, AllowsARatioOfTheRequestsPlusAFixedAllowance) {
  ExtraArrivalBudget budget(Limits(0.2, 3));
  for (int i = 0; i < 10; ++i) {
    budget.OnRequest(kStart, kService);
  }
  cr_assert(SpendAll(budget, kStart) == 5);
  cr_assert(budget.Remaining(kStart, "another") == 3);
}

Test(ExtraArrivalBudget, RenewsTheAllowanceInEachWindow) {
  ExtraArrivalBudget budget(Limits(0, 2));
  cr_assert(SpendAll(budget, kStart) == 2);
  cr_assert(SpendAll(budget, kStart + Ms(9900)) == 0);
  cr_assert(SpendAll(budget, kStart + Ms(10600)) == 2);
}

// Checks the limit in every window of a bursty load, whatever its start. An
// extra arrival may belong to a request that was sent up to one window earlier.
Test(ExtraArrivalBudget, KeepsTheLimitInAnyWindowOfABurstyLoad) {
  constexpr double kRatio = 0.2;
  constexpr double kAllowance = 10;
  constexpr double kUsage = 0.8;
  constexpr int kWindow = 10000;
  constexpr int kEnd = 200000;
  constexpr int kStep = 20;
  ExtraArrivalBudget budget(Limits(kRatio * kUsage, kAllowance * kUsage));
  std::minstd_rand random(7);
  std::vector<int> requests;
  std::vector<int> extra;
  for (int ms = 0; ms < kEnd; ms += kStep) {
    const TimePoint now = kStart + Ms(ms);
    const bool burst = ms / 7000 % 3 == 0;
    if (random() % (burst ? 2 : 40) == 0) {
      budget.OnRequest(now, kService);
      requests.push_back(ms);
    }
    if (budget.TrySpend(now, kService)) {
      extra.push_back(ms);
    }
  }
  for (int from = kWindow; from + kWindow <= kEnd; from += kStep) {
    cr_assert(
        Count(extra, from, kWindow) <=
        AllowedExtra(Limits(kRatio, kAllowance), requests, from, kWindow));
  }
}

Test(ExtraArrivalBudget, KeepsAReserve) {
  ExtraArrivalBudget budget(Limits(0, 5));
  cr_assert(budget.TrySpend(kStart, kService, 1));
  cr_assert(!budget.TrySpend(kStart, kService, 1));
  cr_assert(budget.TrySpend(kStart, kService, 0.5));
  cr_assert(budget.TrySpend(kStart, kService, 0.5));
  cr_assert(!budget.TrySpend(kStart, kService, 0.5));
  cr_assert(SpendAll(budget, kStart) == 2);
}

Test(ExtraArrivalBudget, AppliesLowerLimitsAtOnce) {
  ExtraArrivalBudget budget(Limits(0, 5));
  cr_assert(SpendAll(budget, kStart) == 5);
  budget.SetLimits(kStart, Limits(0, 3));
  cr_assert(budget.Remaining(kStart, kService) == -2);
  cr_assert(SpendAll(budget, kStart) == 0);
}

Test(ExtraArrivalBudget, UsesALargerAllowanceAfterAWindow) {
  ExtraArrivalBudget budget(Limits(0, 5));
  budget.SetLimits(kStart, Limits(0, 2));
  budget.SetLimits(kStart + Ms(1000), Limits(0, 3));
  budget.SetLimits(kStart + Ms(2000), Limits(0, 6));
  cr_assert(budget.Remaining(kStart + Ms(10999), kService) == 2);
  cr_assert(budget.Remaining(kStart + Ms(11000), kService) == 3);
  cr_assert(budget.Remaining(kStart + Ms(11999), kService) == 3);
  cr_assert(budget.Remaining(kStart + Ms(12000), kService) == 6);
  budget.SetLimits(kStart + Ms(12000), Limits(0, 1));
  cr_assert(budget.Remaining(kStart + Ms(12000), kService) == 1);
}

Test(ExtraArrivalBudget, AProcessThatHasJustStartedMayUseTheJoiningAllowance) {
  ExtraArrivalBudget budget({});
  ExtraArrivalLimits limits = Limits(0, 5);
  limits.joining_allowance = 2;
  budget.SetLimits(kStart, limits);
  cr_assert(SpendAll(budget, kStart) == 2);
  cr_assert(SpendAll(budget, kStart + Ms(9999)) == 0);
  cr_assert(SpendAll(budget, kStart + Ms(10600)) == 5);
}

// Guards against extra arrivals beyond the limit of all instances while these
// are restarted.
Test(ExtraArrivalBudget, RestartsLeaveTheSumOverInstancesWithinTheLimit) {
  constexpr int kWindow = 10000;
  constexpr int kEnd = 80000;
  constexpr int kStep = 50;
  constexpr int kAway = 3000;
  constexpr int kCountDelay = 1000;  // Until a process counts the others.
  constexpr size_t kInstances = 8;
  const ExtraArrivalLimits whole = Limits(0.2, 56);
  struct Instance {
    std::optional<ExtraArrivalBudget> budget;
    int started = 0;
  };
  for (const int gap : {100, 300, 1000}) {
    std::vector<Instance> instances(kInstances);
    for (Instance& instance : instances) {
      instance.budget.emplace(InstanceLimits(whole, kInstances));
    }
    std::vector<int> requests;
    std::vector<int> extra;
    std::minstd_rand random(5);
    for (int ms = 0; ms < kEnd; ms += kStep) {
      const TimePoint now = kStart + Ms(ms);
      for (size_t i = 0; i < kInstances; ++i) {
        for (const int roll : {15000, 23000, 31000, 45000}) {
          const int stop = roll + static_cast<int>(i) * gap;
          if (ms == stop) {
            instances[i].budget.reset();
          } else if (ms == stop + kAway) {
            instances[i] = {ExtraArrivalBudget({}), ms};
          }
        }
      }
      const auto up = static_cast<size_t>(
          std::count_if(instances.begin(), instances.end(),
                        [](const auto& item) { return item.budget; }));
      for (Instance& instance : instances) {
        if (!instance.budget) {
          continue;
        }
        if (instance.started == 0 || ms - instance.started >= kCountDelay) {
          instance.budget->SetLimits(now, InstanceLimits(whole, up));
        }
        if (random() % 10 == 0) {
          instance.budget->OnRequest(now, kService);
          requests.push_back(ms);
        }
        extra.insert(extra.end(), SpendAll(*instance.budget, now), ms);
      }
    }
    for (int from = kWindow; from + kWindow <= kEnd; from += kStep) {
      cr_expect(Count(extra, from, kWindow) <=
                    AllowedExtra(whole, requests, from, kWindow),
                "gap %d ms: %g extra arrivals from %d ms", gap,
                Count(extra, from, kWindow), from);
    }
    cr_assert(Count(extra, kEnd - kWindow, kWindow) > 0.6 * whole.allowance);
  }
}

}  // namespace greengage
