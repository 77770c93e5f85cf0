// State that the request plans of one instance share.
#ifndef GREENGAGE_COORDINATION_REQUEST_PLAN_CONTEXT_H_
#define GREENGAGE_COORDINATION_REQUEST_PLAN_CONTEXT_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>

#include "greengage/coordination/data_centre_distance.h"
#include "greengage/coordination/extra_arrival_budget.h"
#include "greengage/coordination/hedge_policy.h"
#include "greengage/coordination/instance_share.h"
#include "greengage/coordination/placement_rules.h"
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
                     const std::string& data_centre,
                     std::map<std::string, std::string> regions = {})
      : searchers(std::move(hooks)),
        hedges(hedge_options),
        extra_arrivals({}),
        distances(data_centre),
        placement(data_centre, std::move(regions)) {}

  SearcherDirectory searchers;
  HedgePolicy hedges;
  ExtraArrivalBudget extra_arrivals;
  DataCentreDistance distances;
  PlacementRules placement;
  SpillMode spill_mode = SpillMode::kOff;
  DataCentreSpill spill;
  ServiceSplit split;
  // Returns the part of this instance in a limit that a searcher of the service
  // names for all instances.
  std::function<LimitShare(const std::string& service)> limit_share =
      [](const std::string&) { return LimitShare{}; };

  // Returns limit_share for the service of `searcher`, or the whole if it names
  // no limit. Moves the place by the order of the searcher in its service, so
  // that the turns at replicas alternate, and those at the replicas of the same
  // order in other shards coincide.
  LimitShare LimitShareOf(const RoutedSearcher& searcher) const {
    if (!searcher.rate_limit().limit()) {
      return {};
    }
    const SearcherEntry& entry = searcher.entry();
    LimitShare share = limit_share(entry.service);
    const auto& replicas = searchers.ForService(entry.service);
    const auto before = std::count_if(
        replicas.begin(), replicas.end(),
        [&entry](const auto& other) { return other->entry().id < entry.id; });
    share.place += static_cast<double>(before) /
                   static_cast<double>(std::max<size_t>(1, replicas.size()));
    return share;
  }
  std::minstd_rand random;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_REQUEST_PLAN_CONTEXT_H_
