// Limits the retries and hedges that one instance sends to each service.
#ifndef GREENGAGE_COORDINATION_EXTRA_ARRIVAL_BUDGET_H_
#define GREENGAGE_COORDINATION_EXTRA_ARRIVAL_BUDGET_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "greengage/state/time.h"

namespace greengage {

struct ExtraArrivalLimits {
  double ratio = 0;      // Extra arrivals per request in the window.
  double allowance = 0;  // Extra arrivals per window, regardless of requests.
  Duration window = std::chrono::seconds(10);
  // As `allowance`, until that has been in force for a window. Instances have
  // it beside their shares of the whole allowance.
  double joining_allowance = 0;
};

// Bounds the extra arrivals, which are the attempts beyond the first of each
// request, in a sliding window by the requests in the same window. If each
// instance gets its share of the allowance, all instances together stay within
// the whole allowance, also while instances leave and join: an allowance that
// grows is used only once it has been in force for a window, since another
// instance, or the process before this one, may have spent the difference. A
// process that has just started has the joining allowance. A window that starts
// between two bursts may hold more extra arrivals than its own requests permit,
// so callers should leave part of the limit unused. Not thread-safe.
class ExtraArrivalBudget {
 public:
  // `limits` hold as if they had always been in force.
  explicit ExtraArrivalBudget(ExtraArrivalLimits limits) : limits_(limits) {}

  const ExtraArrivalLimits& limits() const { return limits_; }

  // Keeps the counts unless the length of the window changes.
  void SetLimits(TimePoint now, ExtraArrivalLimits limits);

  void OnRequest(TimePoint now, const std::string& service);

  // Spends one extra arrival. Returns false, without effect, if none remains or
  // if less than `reserve`, a fraction (0 to 1) of the window's limit, would
  // remain.
  bool TrySpend(TimePoint now, const std::string& service, double reserve = 0);

  // Returns the number of extra arrivals that remain. Negative if the limits
  // were lowered below the number already spent.
  double Remaining(TimePoint now, const std::string& service) const;

 private:
  // The window is divided into buckets. The oldest bucket lies only partly in
  // the window: its extra arrivals are counted, its requests are not.
  static constexpr size_t kBuckets = 20;

  struct Bucket {
    int64_t number = -1;
    uint32_t requests = 0;
    uint32_t extra = 0;
  };
  using Buckets = std::array<Bucket, kBuckets + 1>;

  struct PastAllowance {
    double allowance = 0;
    TimePoint until;
  };

  struct Usage {
    double allowed = 0;
    double spent = 0;
  };

  // Returns the smallest allowance that was in force within the window, or the
  // joining allowance if that is larger.
  double AllowanceAt(TimePoint now) const;
  int64_t BucketNumber(TimePoint now) const;
  Bucket& BucketAt(TimePoint now, const std::string& service);
  Usage UsageOf(TimePoint now, const std::string& service) const;

  ExtraArrivalLimits limits_;
  // Smaller than the current one, in increasing order of both members.
  std::deque<PastAllowance> past_allowances_;
  std::map<std::string, Buckets, std::less<>> services_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_EXTRA_ARRIVAL_BUDGET_H_
