#include "greengage/coordination/searcher_rate_limit.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace greengage {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr Duration kMaxWait = std::chrono::hours(1);

constexpr Duration kReportInterval = std::chrono::seconds(4);

// An idle instance saves the tokens of this time. If all instances used their
// savings at once, the searcher would get that much more than its limit.
constexpr Seconds kSavingTime{1};

// Requests per second that are assumed if a limit is lower. A searcher that
// gets no request cannot tell that its limit has been lifted.
constexpr double kMinLimit = 0.5;

// Requests per second that are assumed if a limit is higher, since times of
// less than a nanosecond would be zero.
constexpr double kMaxLimit = 1e6;

// A turn lasts for kMinTurnLength and the time of kTurnRequests at the limit,
// at most kMaxTurnLength. Longer turns see more requests, but more of them
// overlap.
constexpr Seconds kMinTurnLength{1.5};
constexpr double kTurnRequests = 2.5;
constexpr Seconds kMaxTurnLength{4};

// Fraction of a turn after which the least urgent requests may use it. Requests
// that leave a part of the tokens to others wait for the same part of it.
constexpr double kReservedTurn = 1.0 / 3;

}  // namespace

void SearcherRateLimit::OnAnswer(TimePoint now, std::optional<double> limit) {
  if (limit && !limit_) {
    tokens_ = 0;
    updated_at_ = now;
  }
  limit_ = limit;
}

double SearcherRateLimit::Rate(const LimitShare& share) const {
  return std::clamp(*limit_, kMinLimit, kMaxLimit) * share.fraction;
}

double SearcherRateLimit::SavedTokens(const LimitShare& share) const {
  return Rate(share) * kSavingTime.count();
}

double SearcherRateLimit::TokensAt(TimePoint now,
                                   const LimitShare& share) const {
  return std::min(SavedTokens(share),
                  tokens_ + Rate(share) * Seconds(now - updated_at_).count());
}

bool SearcherRateLimit::HasTurns(const LimitShare& share) const {
  return SavedTokens(share) < 1;
}

Duration SearcherRateLimit::TurnInterval(const LimitShare& share) const {
  const double rate = Rate(share);
  return rate * Seconds(kMaxWait).count() > 1
             ? std::chrono::duration_cast<Duration>(Seconds(1 / rate))
             : kMaxWait;
}

Duration SearcherRateLimit::TurnLength(const LimitShare& share) const {
  const Seconds length =
      kMinTurnLength + Seconds(kTurnRequests / std::max(*limit_, kMinLimit));
  return std::min(TurnInterval(share), std::chrono::duration_cast<Duration>(
                                           std::min(kMaxTurnLength, length)));
}

Duration SearcherRateLimit::SinceTurn(TimePoint time,
                                      const LimitShare& share) const {
  const Duration interval = TurnInterval(share);
  const Duration since =
      (time.time_since_epoch() + share.wall_clock_offset -
       std::chrono::duration_cast<Duration>(share.place * Seconds(interval))) %
      interval;
  return since < Duration::zero() ? since + interval : since;
}

void SearcherRateLimit::OnSent(TimePoint now, const LimitShare& share) {
  ++sent_;
  TakeToken(now, share);
}

void SearcherRateLimit::TakeToken(TimePoint now, const LimitShare& share) {
  if (limit_) {
    tokens_ = HasTurns(share) ? 0 : TokensAt(now, share) - 1;
    next_turn_at_ = now + TurnInterval(share) - SinceTurn(now, share);
  }
  updated_at_ = now;
}

void SearcherRateLimit::OnNotSent() {
  tokens_ += 1;
  next_turn_at_.reset();
}

Duration SearcherRateLimit::WaitFor(TimePoint now,
                                    const LimitShare& share,
                                    const TokenDemand& demand) const {
  if (!limit_) {
    return Duration::zero();
  }
  if (share.fraction <= 0) {
    return kMaxWait;
  }
  return HasTurns(share) ? WaitForTurn(now, share, demand)
                         : WaitForTokens(now, share, demand);
}

Duration SearcherRateLimit::WaitForTurn(TimePoint now,
                                        const LimitShare& share,
                                        const TokenDemand& demand) const {
  const Duration interval = TurnInterval(share);
  const Duration length = TurnLength(share);
  const auto reserved = std::chrono::duration_cast<Duration>(
      kReservedTurn * demand.reserve * Seconds(length));
  TimePoint start = now;
  if (next_turn_at_) {
    // With fewer instances, the next turn comes sooner than it seemed.
    start = std::max(now, std::min(*next_turn_at_, updated_at_ + interval));
  }
  const Duration since = SinceTurn(start, share);
  if (since < reserved) {
    start += reserved - since;
  } else if (since >= length) {
    start += interval - since + reserved;
  }
  return std::min(kMaxWait, start - now);
}

Duration SearcherRateLimit::WaitForTokens(TimePoint now,
                                          const LimitShare& share,
                                          const TokenDemand& demand) const {
  const double saved = SavedTokens(share);
  const double needed = demand.tokens + demand.reserve * (saved - 1);
  const double missing = needed - TokensAt(now, share);
  if (missing <= 0) {
    return Duration::zero();
  }
  const Seconds wait(missing / Rate(share));
  return wait < kMaxWait ? std::chrono::duration_cast<Duration>(wait)
                         : kMaxWait;
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
