// The limit that a searcher names on the requests of all instances together.
#ifndef GREENGAGE_COORDINATION_SEARCHER_RATE_LIMIT_H_
#define GREENGAGE_COORDINATION_SEARCHER_RATE_LIMIT_H_

#include <chrono>
#include <cstdint>
#include <optional>

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
  // Fraction of the saved tokens beyond the first that is left to others.
  double reserve = 0;
};

// Keeps the requests of one instance within its share of a limit, with a token
// bucket: a request takes one token, and tokens accrue at the share of the
// limit. The load that it answers is a searcher in need that names far less
// than it usually gets, to few or to hundreds of instances.
//
// A share may be far below one request per second. Requiring a whole token
// would then let none through for a long time, so a request needs a random
// number of tokens between 0 and 1 and still takes a whole one. On average,
// requests are sent at most at the rate at which tokens accrue, and the sum
// over all instances stays within the limit.
//
// `share` is the fraction (0 to 1) of the limit that the instance may use. Not
// thread-safe.
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
  void OnSent(TimePoint now, double share);

  // Takes a token for a request that was counted before.
  void TakeToken(TimePoint now, double share);

  // Returns the token of a request that has reached nobody.
  void OnNotSent();

  // Returns the time until a request may be sent: zero if it may be sent now,
  // an hour at most.
  Duration WaitFor(TimePoint now,
                   double share,
                   const TokenDemand& demand) const;

  // Returns a report if the limit has changed, or regularly while there is one.
  std::optional<RateLimitReport> TakeReport(TimePoint now);

 private:
  // Tokens that accrue per second.
  double Rate(double share) const;
  // Tokens that accrue within the time for which an idle instance saves them.
  double SavedTokens(double share) const;
  double TokensAt(TimePoint now, double share) const;

  std::optional<double> limit_;
  double tokens_ = 0;  // At `updated_at_`. Negative after early requests.
  TimePoint updated_at_;
  std::optional<double> reported_limit_;
  uint64_t sent_ = 0;
  TimePoint reported_at_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_SEARCHER_RATE_LIMIT_H_
