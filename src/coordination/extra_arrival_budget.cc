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
  ++BucketAt(now, service).requests;
}

bool ExtraArrivalBudget::TrySpend(TimePoint now,
                                  const std::string& service,
                                  double reserve) {
  const Usage usage = UsageOf(now, service);
  // Exclude one from the reserve, so that the first extra arrival is always
  // permitted.
  const double reserved = reserve * std::max(0.0, usage.allowed - 1);
  if (usage.allowed - usage.spent < 1 + reserved) {
    return false;
  }
  ++BucketAt(now, service).extra;
  return true;
}

double ExtraArrivalBudget::Remaining(TimePoint now,
                                     const std::string& service) const {
  const Usage usage = UsageOf(now, service);
  return usage.allowed - usage.spent;
}

int64_t ExtraArrivalBudget::BucketNumber(TimePoint now) const {
  const Duration bucket_length =
      limits_.window / static_cast<int64_t>(kBuckets);
  return now.time_since_epoch() / bucket_length;
}

ExtraArrivalBudget::Bucket& ExtraArrivalBudget::BucketAt(
    TimePoint now,
    const std::string& service) {
  const int64_t number = BucketNumber(now);
  Bucket& bucket =
      services_[service][static_cast<size_t>(number) % (kBuckets + 1)];
  if (bucket.number != number) {
    bucket = Bucket{number};
  }
  return bucket;
}

ExtraArrivalBudget::Usage ExtraArrivalBudget::UsageOf(
    TimePoint now,
    const std::string& service) const {
  Usage usage;
  usage.allowed = limits_.allowance;
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return usage;
  }
  const int64_t newest = BucketNumber(now);
  const int64_t oldest = newest - static_cast<int64_t>(kBuckets);
  for (const Bucket& bucket : found->second) {
    if (bucket.number < oldest) {
      continue;
    }
    usage.spent += bucket.extra;
    if (bucket.number > oldest) {
      usage.allowed += limits_.ratio * bucket.requests;
    }
  }
  return usage;
}

}  // namespace greengage
