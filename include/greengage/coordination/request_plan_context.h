// State that the request plans of one instance share.
#ifndef GREENGAGE_COORDINATION_REQUEST_PLAN_CONTEXT_H_
#define GREENGAGE_COORDINATION_REQUEST_PLAN_CONTEXT_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <random>
#include <string>
#include <utility>

#include "greengage/coordination/data_centre_distance.h"
#include "greengage/coordination/extra_arrival_budget.h"
#include "greengage/coordination/hedge_policy.h"
#include "greengage/coordination/instance_share.h"
#include "greengage/coordination/searcher_directory.h"
#include "greengage/coordination/service_split.h"

namespace greengage {

// Hedging of routed requests.
inline constexpr HedgeOptions kRouteHedgeOptions{
    .quantile = 0.95,
    .max_delay_in_medians = 3,
    .min_delay = std::chrono::milliseconds(5),
    .initial_delay = std::chrono::milliseconds(80),
    .min_samples = 20,
};

// Returns the share of `whole`, the limits of all instances together, that each
// instance may use.
inline ExtraArrivalLimits InstanceLimits(const ExtraArrivalLimits& whole,
                                         size_t instances) {
  return {whole.ratio * kSharedLimitUsage,
          InstanceShare(whole.allowance, instances), whole.window,
          JoiningShare(whole.allowance, instances)};
}

// `extra_arrivals` permits none until its limits are set. Not thread-safe.
struct RequestPlanContext {
  RequestPlanContext(SearcherDirectory::Hooks hooks,
                     HedgeOptions hedge_options,
                     const std::string& data_centre)
      : searchers(std::move(hooks)),
        hedges(hedge_options),
        extra_arrivals({}),
        distances(data_centre) {}

  SearcherDirectory searchers;
  HedgePolicy hedges;
  ExtraArrivalBudget extra_arrivals;
  DataCentreDistance distances;
  ServiceSplit split;
  // Returns the fraction (0 to 1) of a limit that a searcher of the service
  // names for all instances, which this instance may use.
  std::function<double(const std::string& service)> limit_share =
      [](const std::string&) { return 1.0; };

  // Returns limit_share for the service of `searcher`, or 1 if it names no
  // limit.
  double LimitShareOf(const RoutedSearcher& searcher) const {
    return searcher.rate_limit().limit() ? limit_share(searcher.entry().service)
                                         : 1;
  }
  std::minstd_rand random;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_REQUEST_PLAN_CONTEXT_H_
