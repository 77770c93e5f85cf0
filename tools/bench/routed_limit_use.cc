#include "tools/bench/routed_limit_use.h"

#include <algorithm>

namespace greengage::bench {
namespace {

using Seconds = std::chrono::duration<double>;

}  // namespace

void FleetLimitUse::OnNamed(TimePoint now,
                            double limit,
                            size_t instance,
                            TimePoint arrival) {
  limit_ = limit;
  named_at_ = named_at_.value_or(now);
  counts_from_.try_emplace(instance, arrival + rule_.instance_delay);
}

void FleetLimitUse::OnRequest(TimePoint now, size_t instance) {
  const auto counts_from = counts_from_.find(instance);
  if (counts_from != counts_from_.end() && now >= counts_from->second &&
      now >= *named_at_ + rule_.settling_time) {
    requests_.push_back(now);
  }
}

double FleetLimitUse::PermittedRequests() const {
  return requests_.empty() ? 0
                           : limit_ * Seconds(requests_.back() - *named_at_ -
                                              rule_.settling_time)
                                          .count();
}

double FleetLimitUse::MaxWindowUse() const {
  const double allowed =
      rule_.tolerance * Seconds(rule_.window).count() * limit_ +
      rule_.allowance;
  double worst = 0;
  for (size_t first = 0, next = 0; first < requests_.size(); ++first) {
    while (next < requests_.size() &&
           requests_[next] - requests_[first] < rule_.window) {
      ++next;
    }
    worst = std::max(worst, static_cast<double>(next - first) / allowed);
  }
  return worst;
}

}  // namespace greengage::bench
