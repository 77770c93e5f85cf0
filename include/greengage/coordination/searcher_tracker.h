// The states of all searchers that an instance sends work to.
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

// Thread-safe: searchers are divided into shards, each under its own lock.
class SearcherTracker {
 public:
  // Runs after a searcher became ejected, returned, or began to drain, without
  // any lock held; for the time line.
  enum class Change : uint8_t { kEjected, kReturned, kDraining };
  using ChangeHook =
      std::function<void(TimePoint now, const Endpoint& searcher, Change)>;

  explicit SearcherTracker(SearcherStateOptions options,
                           ChangeHook on_change = {});

  // Takes in the searchers of a configuration. Searchers that are new while
  // others are known start cold; those no longer named are forgotten.
  void Apply(TimePoint now, const Configuration& configuration);

  // See SearcherState; searchers that are not known are ignored.
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

  // How a searcher looks now; empty if it is not known.
  std::optional<SearcherView> View(TimePoint now,
                                   const Endpoint& searcher) const;

  // The views of those replicas of `shard` that are known, in their order.
  std::vector<SearcherView> Views(TimePoint now,
                                  const ShardConfiguration& shard) const;

 private:
  static constexpr size_t kShards = 16;

  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<Endpoint, SearcherState> states;
  };

  Shard& ShardOf(const Endpoint& searcher);
  const Shard& ShardOf(const Endpoint& searcher) const;
  void Update(TimePoint now,
              const Endpoint& searcher,
              const std::function<void(SearcherState&)>& update);
  void Report(TimePoint now,
              const Endpoint& searcher,
              const SearcherConditions& before,
              const SearcherConditions& after) const;

  const SearcherStateOptions options_;
  const ChangeHook on_change_;
  std::array<Shard, kShards> shards_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_SEARCHER_TRACKER_H_
