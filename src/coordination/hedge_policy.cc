#include "greengage/coordination/hedge_policy.h"

#include <algorithm>

namespace greengage {

namespace {

constexpr size_t kLeastLatencies = 50;
constexpr Duration kRecomputePeriod = std::chrono::milliseconds(20);
constexpr double kMedian = 0.5;

}  // namespace

HedgePolicy::HedgePolicy(HedgeOptions options) : options_(options) {}

void HedgePolicy::Record(TimePoint now,
                         const std::string& service,
                         Rank rank,
                         Duration latency) {
  const std::lock_guard lock(mutex_);
  groups_[service][IndexOf(rank)].latency.Record(now, latency);
}

Duration HedgePolicy::Delay(TimePoint now,
                            const std::string& service,
                            Rank rank) {
  const std::lock_guard lock(mutex_);
  Group& group = groups_[service][IndexOf(rank)];
  if (!group.computed || now - *group.computed >= kRecomputePeriod) {
    group.delay = Compute(now, group);
    group.computed = now;
  }
  return group.delay;
}

Duration HedgePolicy::Compute(TimePoint now, const Group& group) const {
  const std::optional<Duration> slow =
      group.latency.Quantile(now, options_.quantile, kLeastLatencies);
  const std::optional<Duration> median =
      group.latency.Quantile(now, kMedian, kLeastLatencies);
  if (!slow || !median) {
    return options_.initial;
  }
  const auto longest = std::chrono::duration_cast<Duration>(
      *median * options_.longest_in_medians);
  return std::max(options_.shortest, std::min(*slow, longest));
}

}  // namespace greengage
