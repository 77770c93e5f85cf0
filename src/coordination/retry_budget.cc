#include "greengage/coordination/retry_budget.h"

#include <algorithm>

namespace greengage {

namespace {

constexpr double kPercent = 100;

bool IsCausedByOverload(Refusal refusal) {
  return refusal == Refusal::kOverloaded || refusal == Refusal::kShed ||
         refusal == Refusal::kDeadline || refusal == Refusal::kCancelled;
}

}  // namespace

bool IsRetryable(const SubRequest& request, const SubAnswer& answer) {
  if (IsCausedByOverload(answer.refusal)) {
    return false;
  }
  return request.idempotent || answer.outcome == Outcome::kNotRun;
}

RetryBudget::RetryBudget(double percent, double burst)
    : share_(percent / kPercent), burst_(burst) {}

void RetryBudget::set_percent(double percent) {
  const std::lock_guard lock(mutex_);
  share_ = percent / kPercent;
}

void RetryBudget::OnSent(const std::string& service, Rank rank, size_t count) {
  const std::lock_guard lock(mutex_);
  double& tokens = TokensOf(service)[IndexOf(rank)];
  tokens = std::min(burst_, tokens + share_ * static_cast<double>(count));
}

bool RetryBudget::TrySpend(const std::string& service,
                           Rank rank,
                           size_t count) {
  const std::lock_guard lock(mutex_);
  double& tokens = TokensOf(service)[IndexOf(rank)];
  const auto spent = static_cast<double>(count);
  if (tokens < spent) {
    return false;
  }
  tokens -= spent;
  return true;
}

RetryBudget::Tokens& RetryBudget::TokensOf(const std::string& service) {
  const auto it = services_.find(service);
  if (it != services_.end()) {
    return it->second;
  }
  Tokens full;
  full.fill(burst_);
  return services_.emplace(service, full).first->second;
}

}  // namespace greengage
