#include "greengage/coordination/hedge_budget.h"

#include <algorithm>
#include <chrono>

namespace greengage {

namespace {

constexpr double kPercent = 100;
constexpr double kMaxTokens = 1000;   // Hedges accumulated for a burst.
constexpr double kSmoothing = 0.005;  // Weight of the newest answer.
// Fraction of time spent in queues above which no hedges are earned.
constexpr double kMaxQueueingRatio = 0.8;

}  // namespace

HedgeBudget::HedgeBudget(double percent) : share_(percent / kPercent) {}

void HedgeBudget::set_percent(double percent) {
  const std::lock_guard lock(mutex_);
  share_ = percent / kPercent;
}

void HedgeBudget::OnSent(Rank rank, size_t count) {
  const std::lock_guard lock(mutex_);
  Account& account = accounts_[IndexOf(rank)];
  const double scale =
      std::max(0.0, 1 - account.queueing_ratio / kMaxQueueingRatio);
  const double earned = share_ * scale * static_cast<double>(count);
  account.tokens = std::min(kMaxTokens, account.tokens + earned);
}

void HedgeBudget::OnAnswer(Rank rank,
                           Duration queue_time,
                           Duration service_time) {
  const Duration total = queue_time + service_time;
  if (total <= Duration::zero()) {
    return;
  }
  const double sample = std::chrono::duration<double>(queue_time) /
                        std::chrono::duration<double>(total);
  const std::lock_guard lock(mutex_);
  Account& account = accounts_[IndexOf(rank)];
  account.queueing_ratio += (sample - account.queueing_ratio) * kSmoothing;
}

bool HedgeBudget::TrySpend(Rank rank) {
  const std::lock_guard lock(mutex_);
  double& tokens = accounts_[IndexOf(rank)].tokens;
  if (tokens < 1) {
    return false;
  }
  tokens -= 1;
  return true;
}

}  // namespace greengage
