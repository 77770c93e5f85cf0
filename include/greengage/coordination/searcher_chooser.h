// Chooses the searcher of an attempt and estimates waiting times.
#ifndef GREENGAGE_COORDINATION_SEARCHER_CHOOSER_H_
#define GREENGAGE_COORDINATION_SEARCHER_CHOOSER_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "greengage/coordination/request_plan_context.h"
#include "greengage/state/request_terms.h"
#include "greengage/state/route.h"
#include "greengage/state/time.h"

namespace greengage {

// Upper bound of the retry delay that a rejected caller is given.
inline constexpr Duration kMaxRetryAfter = std::chrono::seconds(1);

struct SearcherChoice {
  RoutedSearcherPtr searcher;  // Null if there is none.
  Duration expected{};         // Estimated latency.
  Duration distance{};         // Extra network latency to its data centre.
};

// What an attempt requires of its searcher.
struct AttemptRequirements {
  bool only_healthy = false;  // Excludes unhealthy and unregistered searchers.
  // Prefers searchers nearby, as DataCentreSpill decides.
  bool prefers_nearby = false;
  TokenDemand tokens;
};

// Current latencies of the attempts of a route. One value serves all decisions
// that are made at the same time.
struct RouteTiming {
  Duration typical{};
  Duration hedge_delay{};
};

// Serves one request. Not thread-safe.
class SearcherChooser {
 public:
  // All must outlive it.
  SearcherChooser(RequestPlanContext* context,
                  const Route* route,
                  const RequestTerms* terms)
      : context_(context), route_(route), terms_(terms) {}

  RouteTiming TimingAt(TimePoint now) const;

  Duration TypicalLatency(TimePoint now) const;

  // Returns the best usable searcher of `service` that is not among `tried`.
  // Excludes those whose limit leaves no request to this instance now.
  SearcherChoice Choose(TimePoint now,
                        Duration typical,
                        const std::string& service,
                        const std::vector<RoutedSearcherPtr>& tried,
                        const AttemptRequirements& requirements);

  // Returns the estimated time until a searcher of `service` can answer in time
  // again: zero if a request that is sent now is likely to be answered by
  // `answer_by`, kMaxRetryAfter at most. Empty if no searcher is registered
  // that may serve the request.
  std::optional<Duration> EstimateWait(TimePoint now,
                                       Duration typical,
                                       const std::string& service,
                                       TimePoint answer_by,
                                       const TokenDemand& tokens) const;

  // Returns the time until the limits of the usable searchers of `service`
  // leave a request to this instance: zero if one of them does now,
  // kMaxRetryAfter at most.
  Duration EstimateLimitWait(TimePoint now,
                             Duration typical,
                             const std::string& service,
                             const TokenDemand& tokens) const;

  // Returns the time until a usable searcher of `service` wants requests again:
  // zero if one does now, or there is none.
  Duration ClosedWait(TimePoint now,
                      Duration typical,
                      const std::string& service) const;

 private:
  // Returns those with the best usability among the searchers that Choose() may
  // return.
  std::vector<SearcherChoice> Candidates(
      TimePoint now,
      Duration typical,
      const std::string& service,
      const std::vector<RoutedSearcherPtr>& tried,
      const AttemptRequirements& requirements);
  // Keeps the candidates of the locality that the spill chooses, if it applies
  // to the service.
  void KeepChosenLocality(TimePoint now,
                          const std::string& service,
                          std::vector<SearcherChoice>& candidates);
  Duration EstimateSearcherWait(TimePoint now,
                                Duration typical,
                                const RoutedSearcher& searcher,
                                TimePoint answer_by) const;
  // Returns the time until `searcher` wants requests and its limit leaves one
  // to this instance.
  Duration LimitWait(TimePoint now,
                     const RoutedSearcher& searcher,
                     const TokenDemand& tokens) const;
  Duration DistanceOf(const RoutedSearcher& searcher) const;
  // Returns whether the searcher's data centre may serve the request.
  bool IsPermitted(const RoutedSearcher& searcher) const;

  RequestPlanContext* const context_;
  const Route* const route_;
  const RequestTerms* const terms_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_SEARCHER_CHOOSER_H_
