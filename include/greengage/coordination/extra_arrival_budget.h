// How many arrivals at a service beyond the first of each request one instance
// may cause.
#ifndef GREENGAGE_COORDINATION_EXTRA_ARRIVAL_BUDGET_H_
#define GREENGAGE_COORDINATION_EXTRA_ARRIVAL_BUDGET_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "greengage/state/time.h"

namespace greengage {

struct ExtraArrivalLimits {
  double ratio = 0;      // Of the requests in a window.
  double allowance = 0;  // Besides, in each window.
  Duration window = std::chrono::seconds(10);
};

// Bounds the extra arrivals of the window that ends now by the requests in it.
// If each instance has its share of the allowance, all of them together keep
// the whole. A window that begins between two bursts may hold more than its own
// requests allow; leave a part of the bound unused for that. Not thread-safe.
class ExtraArrivalBudget {
 public:
  explicit ExtraArrivalBudget(ExtraArrivalLimits limits) : limits_(limits) {}

  const ExtraArrivalLimits& limits() const { return limits_; }

  // What has been counted stays; a new window length forgets it.
  void set_limits(ExtraArrivalLimits limits);

  void OnRequest(TimePoint now, const std::string& service);

  // Takes one; false, without effect, if none is left, or if not so much would
  // be left as `reserve`, a share (0 to 1) of all that the window allows.
  bool TrySpend(TimePoint now, const std::string& service, double reserve = 0);

  // What TrySpend() could take now; less than 0 after the limits have sunk.
  double Remaining(TimePoint now, const std::string& service) const;

 private:
  // A window is counted in steps. The bucket that a window's beginning cuts
  // counts for the extra arrivals and not for the requests.
  static constexpr size_t kBuckets = 20;

  struct Bucket {
    int64_t number = -1;
    uint32_t requests = 0;
    uint32_t extra = 0;
  };
  using Buckets = std::array<Bucket, kBuckets + 1>;

  struct Usage {
    double allowed = 0;
    double spent = 0;
  };

  int64_t BucketNumber(TimePoint now) const;
  Bucket& BucketAt(TimePoint now, const std::string& service);
  Usage UsageOf(TimePoint now, const std::string& service) const;

  ExtraArrivalLimits limits_;
  std::map<std::string, Buckets, std::less<>> services_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_EXTRA_ARRIVAL_BUDGET_H_
