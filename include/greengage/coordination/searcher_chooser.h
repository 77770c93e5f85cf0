// Which searcher an attempt goes to, and when one is likely to answer.
#ifndef GREENGAGE_COORDINATION_SEARCHER_CHOOSER_H_
#define GREENGAGE_COORDINATION_SEARCHER_CHOOSER_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "greengage/coordination/request_plan_context.h"
#include "greengage/state/route.h"
#include "greengage/state/time.h"

namespace greengage {

// When to come back to what cannot be answered now, at the latest.
inline constexpr Duration kMaxRetryAfter = std::chrono::seconds(1);

struct SearcherChoice {
  RoutedSearcherPtr searcher;  // Null if there is none.
  Duration expected{};         // Until its answer, as far as can be told.
  Duration distance{};         // Of its data centre.
};

// How long attempts of a route take at present. The same for all decisions at
// one time.
struct RouteTiming {
  Duration typical{};
  Duration hedge_delay{};
};

// For the requests of one route. Not thread-safe.
class SearcherChooser {
 public:
  // Both must outlive it.
  SearcherChooser(RequestPlanContext* context, const Route* route)
      : context_(context), route_(route) {}

  RouteTiming TimingAt(TimePoint now) const;

  // The usual time of an attempt.
  Duration TypicalLatency(TimePoint now) const;

  // The best searcher of `service` that is not among `tried`. With
  // `only_healthy`, none that is avoided or missing.
  SearcherChoice Choose(TimePoint now,
                        Duration typical,
                        const std::string& service,
                        const std::vector<RoutedSearcherPtr>& tried,
                        bool only_healthy);

  // How much later a searcher of `service` is likely to answer by `answer_by`,
  // kMaxRetryAfter at most; zero: if it is asked now. Empty if none is
  // registered.
  std::optional<Duration> EstimateWait(TimePoint now,
                                       Duration typical,
                                       const std::string& service,
                                       TimePoint answer_by) const;

 private:
  Duration EstimateSearcherWait(TimePoint now,
                                Duration typical,
                                const RoutedSearcher& searcher,
                                TimePoint answer_by) const;
  Duration DistanceOf(const RoutedSearcher& searcher) const;

  RequestPlanContext* const context_;
  const Route* const route_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_SEARCHER_CHOOSER_H_
