// The states of all searchers to which an instance sends work.
#ifndef GREENGAGE_COORDINATION_SEARCHER_TRACKER_H_
#define GREENGAGE_COORDINATION_SEARCHER_TRACKER_H_

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "greengage/coordination/searcher_state.h"
#include "greengage/state/configuration.h"
#include "greengage/state/endpoint.h"
#include "greengage/state/query.h"

namespace greengage {

// Thread-safe: the searchers are divided into stripes, each with its own lock.
class SearcherTracker {
 public:
  // Called, without a lock held, after a searcher was ejected, returned from
  // ejection, or began to drain.
  enum class Change : uint8_t { kEjected, kReturned, kDraining };
  using ChangeHook =
      std::function<void(TimePoint now, const Endpoint& searcher, Change)>;

  explicit SearcherTracker(SearcherStateOptions options,
                           ChangeHook on_change = {});

  // Applies the searchers of a configuration. Searchers that are added to a
  // non-empty set start cold; those no longer in the configuration are removed.
  void Apply(TimePoint now, const Configuration& configuration);

  // See SearcherState. Calls for unknown searchers are ignored.
  void OnSent(TimePoint now, const Endpoint& searcher, Rank rank);
  void OnEnded(TimePoint now,
               Rank rank,
               TimePoint sent,
               const SubAnswer& answer);
  void OnCancelled(TimePoint now,
                   const Endpoint& searcher,
                   Rank rank,
                   bool overdue);
  void OnLoad(TimePoint now,
              const Endpoint& searcher,
              const SearcherLoad& load);
  void OnDrainSignal(TimePoint now, const Endpoint& searcher);
  void OnColdStart(TimePoint now, const Endpoint& searcher);
  void OnRangeNotHeld(TimePoint now,
                      const Endpoint& searcher,
                      const std::string& shard);
  void OnHealthReport(TimePoint now, const Endpoint& searcher, bool healthy);

  // Returns the current state of a searcher; empty if it is unknown.
  std::optional<SearcherView> View(TimePoint now,
                                   const Endpoint& searcher) const;

  // Returns the states of the known replicas of `shard`, in their order.
  std::vector<SearcherView> Views(TimePoint now,
                                  const ShardConfiguration& shard) const;

 private:
  static constexpr size_t kStripes = 16;

  struct Stripe {
    mutable std::mutex mutex;
    std::unordered_map<Endpoint, SearcherState> states;
  };

  Stripe& StripeOf(const Endpoint& searcher);
  const Stripe& StripeOf(const Endpoint& searcher) const;
  void Update(TimePoint now,
              const Endpoint& searcher,
              const std::function<void(SearcherState&)>& update);
  void ReportChanges(TimePoint now,
                     const Endpoint& searcher,
                     const SearcherConditions& before,
                     const SearcherConditions& after) const;

  const SearcherStateOptions options_;
  const ChangeHook on_change_;
  std::array<Stripe, kStripes> stripes_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_SEARCHER_TRACKER_H_
