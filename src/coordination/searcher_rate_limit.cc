#include "greengage/coordination/searcher_rate_limit.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace greengage {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr Duration kReportInterval = std::chrono::seconds(4);

// An idle instance saves the tokens of this time. If all instances used their
// savings at once, the searcher would get that much more than its limit.
constexpr Seconds kSavingTime{1};

// Requests per second that are assumed if a limit is lower. A searcher that
// gets no request cannot tell that its limit has been lifted.
constexpr double kMinLimit = 0.5;

}  // namespace

void SearcherRateLimit::OnAnswer(TimePoint now, std::optional<double> limit) {
  if (limit && !limit_) {
    tokens_ = 0;
    updated_at_ = now;
  }
  limit_ = limit;
}

double SearcherRateLimit::Rate(double share) const {
  return std::max(*limit_, kMinLimit) * share;
}

double SearcherRateLimit::SavedTokens(double share) const {
  return Rate(share) * kSavingTime.count();
}

double SearcherRateLimit::TokensAt(TimePoint now, double share) const {
  return std::min(std::max(1.0, SavedTokens(share)),
                  tokens_ + Rate(share) * Seconds(now - updated_at_).count());
}

void SearcherRateLimit::OnSent(TimePoint now, double share) {
  ++sent_;
  TakeToken(now, share);
}

void SearcherRateLimit::TakeToken(TimePoint now, double share) {
  if (limit_) {
    tokens_ = TokensAt(now, share) - 1;
  }
  updated_at_ = now;
}

void SearcherRateLimit::OnNotSent() {
  tokens_ += 1;
}

Duration SearcherRateLimit::WaitFor(TimePoint now,
                                    double share,
                                    const TokenDemand& demand) const {
  if (!limit_) {
    return Duration::zero();
  }
  const double saved = SavedTokens(share);
  double needed = demand.tokens + demand.reserve * std::max(0.0, saved - 1);
  if (needed > saved) {
    // A fraction counts only if it accrues within the saving time. Otherwise
    // hundreds of idle instances could send a request each at once.
    needed = std::max(1.0, needed);
  }
  const double missing = needed - TokensAt(now, share);
  if (missing <= 0) {
    return Duration::zero();
  }
  constexpr Seconds kMaxWait{3600};
  const double rate = Rate(share);
  return missing < rate * kMaxWait.count()
             ? std::chrono::duration_cast<Duration>(Seconds(missing / rate))
             : std::chrono::duration_cast<Duration>(kMaxWait);
}

std::optional<RateLimitReport> SearcherRateLimit::TakeReport(TimePoint now) {
  const bool changed = limit_ != reported_limit_;
  if (!changed && (!limit_ || now - reported_at_ < kReportInterval)) {
    return std::nullopt;
  }
  reported_limit_ = limit_;
  return RateLimitReport{limit_, std::exchange(sent_, 0),
                         now - std::exchange(reported_at_, now)};
}

}  // namespace greengage
