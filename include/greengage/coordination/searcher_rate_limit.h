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

// Remembers the limit that a searcher named last and counts the requests that
// this instance sends. Not thread-safe.
class SearcherRateLimit {
 public:
  explicit SearcherRateLimit(TimePoint now) : reported_at_(now) {}

  // Requests per second from all instances together. Empty if there is none.
  std::optional<double> limit() const { return limit_; }

  // Sets the limit that the latest answer named, or none.
  void OnAnswer(std::optional<double> limit) { limit_ = limit; }

  void OnSent() { ++sent_; }

  // Returns a report if the limit has changed, or regularly while there is one.
  std::optional<RateLimitReport> TakeReport(TimePoint now);

 private:
  std::optional<double> limit_;
  std::optional<double> reported_limit_;
  uint64_t sent_ = 0;
  TimePoint reported_at_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_SEARCHER_RATE_LIMIT_H_
