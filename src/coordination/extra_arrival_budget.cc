#include "greengage/coordination/extra_arrival_budget.h"

#include <algorithm>

namespace greengage {

void ExtraArrivalBudget::set_limits(ExtraArrivalLimits limits) {
  if (limits.window != limits_.window) {
    services_.clear();
  }
  limits_ = limits;
}

void ExtraArrivalBudget::OnRequest(TimePoint now, const std::string& service) {
  ++StepAt(now, service).requests;
}

bool ExtraArrivalBudget::TrySpend(TimePoint now,
                                  const std::string& service,
                                  double reserve) {
  const Account account = AccountOf(now, service);
  // A reserve never keeps the last one back while nothing is spent.
  const double kept = reserve * std::max(0.0, account.allowed - 1);
  if (account.allowed - account.spent < 1 + kept) {
    return false;
  }
  ++StepAt(now, service).extra;
  return true;
}

double ExtraArrivalBudget::Left(TimePoint now,
                                const std::string& service) const {
  const Account account = AccountOf(now, service);
  return account.allowed - account.spent;
}

int64_t ExtraArrivalBudget::NumberAt(TimePoint now) const {
  const Duration step = limits_.window / static_cast<int64_t>(kSteps);
  return now.time_since_epoch() / step;
}

ExtraArrivalBudget::Step& ExtraArrivalBudget::StepAt(
    TimePoint now,
    const std::string& service) {
  const int64_t number = NumberAt(now);
  Step& step = services_[service][static_cast<size_t>(number) % (kSteps + 1)];
  if (step.number != number) {
    step = Step{number};
  }
  return step;
}

ExtraArrivalBudget::Account ExtraArrivalBudget::AccountOf(
    TimePoint now,
    const std::string& service) const {
  Account account;
  account.allowed = limits_.allowance;
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return account;
  }
  const int64_t last = NumberAt(now);
  const int64_t cut = last - static_cast<int64_t>(kSteps);
  for (const Step& step : found->second) {
    if (step.number < cut) {
      continue;
    }
    account.spent += step.extra;
    if (step.number > cut) {
      account.allowed += limits_.ratio * step.requests;
    }
  }
  return account;
}

}  // namespace greengage
