#include "greengage/coordination/extra_arrival_budget.h"

#include <algorithm>

namespace greengage {

void ExtraArrivalBudget::SetLimits(TimePoint now, ExtraArrivalLimits limits) {
  if (limits.window != limits_.window) {
    services_.clear();
  }
  std::erase_if(past_allowances_, [&](const PastAllowance& past) {
    return past.until + limits.window <= now ||
           past.allowance >= limits.allowance;
  });
  if (limits_.allowance < limits.allowance) {
    past_allowances_.push_back({limits_.allowance, now});
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

double ExtraArrivalBudget::AllowanceAt(TimePoint now) const {
  const auto in_window =
      std::find_if(past_allowances_.begin(), past_allowances_.end(),
                   [&](const PastAllowance& past) {
                     return now < past.until + limits_.window;
                   });
  return in_window == past_allowances_.end()
             ? limits_.allowance
             : std::max(in_window->allowance,
                        std::min(limits_.joining_allowance, limits_.allowance));
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
  usage.allowed = AllowanceAt(now);
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
