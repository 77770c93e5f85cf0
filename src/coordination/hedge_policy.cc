#include "greengage/coordination/hedge_policy.h"

#include <algorithm>

namespace greengage {

namespace {

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
  return UpToDateGroup(now, service, rank).delay;
}

Duration HedgePolicy::TypicalLatency(TimePoint now,
                                     const std::string& service,
                                     Rank rank) {
  const std::lock_guard lock(mutex_);
  return UpToDateGroup(now, service, rank).typical;
}

HedgePolicy::Group& HedgePolicy::UpToDateGroup(TimePoint now,
                                               const std::string& service,
                                               Rank rank) {
  Group& group = groups_[service][IndexOf(rank)];
  if (!group.computed_at || now - *group.computed_at >= kRecomputePeriod) {
    Recompute(now, group);
    group.computed_at = now;
  }
  return group;
}

void HedgePolicy::Recompute(TimePoint now, Group& group) const {
  const std::optional<Duration> high_quantile =
      group.latency.Quantile(now, options_.quantile, options_.min_samples);
  const std::optional<Duration> median =
      group.latency.Quantile(now, kMedian, options_.min_samples);
  if (!high_quantile || !median) {
    group.delay = options_.initial_delay;
    group.typical = options_.initial_delay / 2;
    return;
  }
  const auto max_delay = std::chrono::duration_cast<Duration>(
      *median * options_.max_delay_in_medians);
  group.delay =
      std::max(options_.min_delay, std::min(*high_quantile, max_delay));
  group.typical = *median;
}

}  // namespace greengage
