// The limit that a searcher names on the requests of all instances together.
#ifndef GREENGAGE_COORDINATION_SEARCHER_RATE_LIMIT_H_
#define GREENGAGE_COORDINATION_SEARCHER_RATE_LIMIT_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "greengage/coordination/instance_share.h"
#include "greengage/state/time.h"

namespace greengage {

struct RateLimitReport {
  std::optional<double> limit;  // Requests per second; empty once lifted.
  // Requests sent since the previous report, or since the searcher is known,
  // and the time since then.
  uint64_t sent = 0;
  Duration interval{};
};

// What a request needs before it may be sent to a searcher with a limit.
struct TokenDemand {
  // Random, 0 to 1. The less urgent a request, the more.
  double tokens = 1;
  // Fraction (0 to 1) of the saved tokens beyond the first, or of the first
  // part of a turn, that is left to others.
  double reserve = 0;
};

// Keeps the requests of one instance within its share of a limit. The load that
// it answers is a searcher in need that names far less than it usually gets, to
// few or to hundreds of instances.
//
// A share of at least one request per second is kept by a token bucket: a
// request takes one token, and tokens accrue at the share of the limit. To be
// sent, a request needs a random number of tokens between 0 and 1.
//
// If the share is smaller, an instance that was idle must not save a whole
// token: hundreds of them would send one each at once. It has turns instead,
// one in the time in which a token accrues. In a turn it may send one request;
// a turn that is not used is lost. The turns of all instances follow each other
// at equal distances on the wall clock, so those that fall into a span of time
// bound the requests in it, whatever the demand. Turns that each instance drew
// at random would keep a low limit on average only. A clock that is off only
// moves the turns of its instance.
//
// The turns do not depend on the searcher: a gathered request needs all of its
// searchers at the same time. Not thread-safe.
class SearcherRateLimit {
 public:
  explicit SearcherRateLimit(TimePoint now)
      : updated_at_(now), reported_at_(now) {}

  // Requests per second from all instances together. Empty if there is none.
  std::optional<double> limit() const { return limit_; }

  // Sets the limit that the latest answer named, or none. No token has accrued
  // when a limit is named for the first time.
  void OnAnswer(TimePoint now, std::optional<double> limit);

  // Counts a request and takes its token.
  void OnSent(TimePoint now, const LimitShare& share);

  // Takes a token for a request that was counted before.
  void TakeToken(TimePoint now, const LimitShare& share);

  // Returns the token of a request that has reached nobody.
  void OnNotSent();

  // Returns the time until a request may be sent: zero if it may be sent now,
  // an hour at most.
  Duration WaitFor(TimePoint now,
                   const LimitShare& share,
                   const TokenDemand& demand) const;

  // Returns a report if the limit has changed, or regularly while there is one.
  std::optional<RateLimitReport> TakeReport(TimePoint now);

 private:
  // Tokens that accrue per second.
  double Rate(const LimitShare& share) const;
  // Tokens that accrue within the time for which an idle instance saves them.
  double SavedTokens(const LimitShare& share) const;
  double TokensAt(TimePoint now, const LimitShare& share) const;
  bool HasTurns(const LimitShare& share) const;
  // Time from the start of a turn to that of the next one.
  Duration TurnInterval(const LimitShare& share) const;
  Duration TurnLength(const LimitShare& share) const;
  // Time since the start of the latest turn.
  Duration SinceTurn(TimePoint time, const LimitShare& share) const;
  Duration WaitForTurn(TimePoint now,
                       const LimitShare& share,
                       const TokenDemand& demand) const;
  Duration WaitForTokens(TimePoint now,
                         const LimitShare& share,
                         const TokenDemand& demand) const;

  std::optional<double> limit_;
  double tokens_ = 0;  // At `updated_at_`. Negative after early requests.
  TimePoint updated_at_;
  // Start of the turn after the one that was used last.
  std::optional<TimePoint> next_turn_at_;
  std::optional<double> reported_limit_;
  uint64_t sent_ = 0;
  TimePoint reported_at_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_SEARCHER_RATE_LIMIT_H_
