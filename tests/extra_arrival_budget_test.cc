#include "greengage/coordination/extra_arrival_budget.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <vector>

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
  const auto count = [](const std::vector<int>& times, int from) {
    return std::count_if(times.begin(), times.end(), [from](int time) {
      return time >= from && time < from + kWindow;
    });
  };
  for (int from = kWindow; from + kWindow <= kEnd; from += kStep) {
    const auto max_requests =
        std::max({count(requests, from), count(requests, from - kWindow),
                  count(requests, from - kWindow / 2)});
    cr_assert(static_cast<double>(count(extra, from)) <=
              kRatio * static_cast<double>(max_requests) + kAllowance);
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

Test(ExtraArrivalBudget, AppliesChangedLimits) {
  ExtraArrivalBudget budget(Limits(0, 5));
  cr_assert(SpendAll(budget, kStart) == 5);
  budget.set_limits(Limits(0, 3));
  cr_assert(budget.Remaining(kStart, kService) == -2);
  cr_assert(SpendAll(budget, kStart) == 0);
  budget.set_limits(Limits(0, 6));
  cr_assert(SpendAll(budget, kStart) == 1);
}

}  // namespace greengage
