// The searchers of all services, as listed in the registry.
#ifndef GREENGAGE_COORDINATION_SEARCHER_DIRECTORY_H_
#define GREENGAGE_COORDINATION_SEARCHER_DIRECTORY_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "greengage/coordination/data_centre_distance.h"
#include "greengage/coordination/routed_searcher.h"
#include "greengage/state/searcher_entry.h"
#include "greengage/state/time.h"

namespace greengage {

// A change of the registry.
struct SearcherChange {
  std::string id;
  std::optional<SearcherEntry> entry;  // Empty if it is not registered.
  // Without an entry: the registry did not report a removal, a listing just
  // lacked the searcher.
  bool unlisted = false;
};

// Grace period after a listing that lacks a searcher. While the store is away,
// the entries of live searchers may expire; they reappear within this time.
inline constexpr Duration kListingGracePeriod = std::chrono::seconds(2);

// Returns the grace period after a listing, given the age of the state that it
// replaces. A searcher that left right after that state was current gets no
// more requests within `leave_time`. A state older than `leave_time` means that
// the store was away, and entries may have expired.
Duration ListingGracePeriod(Duration replaced_state_age, Duration leave_time);

// Not thread-safe.
class SearcherDirectory {
 public:
  struct Hooks {
    // Called for a searcher that was not in the directory, whether it is ready
    // or draining.
    std::function<void(const RoutedSearcher&)> on_added;
    // Called when a searcher starts to drain or is removed. `reason` is
    // "draining", "announced", "restarted" or "gone".
    std::function<void(const RoutedSearcher&, std::string_view reason)>
        on_leaving;
  };

  explicit SearcherDirectory(Hooks hooks) : hooks_(std::move(hooks)) {}

  // Applies a complete listing of the registry. Searchers that are not listed
  // become missing and are dropped after `grace`. Entries that are older than
  // the known ones are ignored, here and in Apply().
  void Replace(TimePoint now,
               const std::vector<SearcherEntry>& entries,
               Duration grace = kListingGracePeriod);

  // Applies changes in the given order, which must be that of the registry.
  void Apply(TimePoint now, const std::vector<SearcherChange>& changes);

  // Reports that the searcher said in an answer that it leaves. The registry
  // may not say so yet, or be out of reach. Older entries do not take it back.
  void OnAnnouncedLeaving(const RoutedSearcherPtr& searcher);

  // The same for an answer that another instance got. `entry` identifies the
  // process, which need not be known here yet; it is remembered for a while.
  void OnAnnouncedLeaving(TimePoint now, const SearcherEntry& entry);

  // Removes searchers that have been missing for longer than their grace
  // period. Must be called about once per second.
  void Expire(TimePoint now);

  const std::vector<RoutedSearcherPtr>& ForService(
      const std::string& service) const;

  // Returns a report for each searcher that names a limit on its requests, or
  // no longer does, and for which one is due.
  std::vector<std::pair<RoutedSearcherPtr, RateLimitReport>>
  TakeRateLimitReports(TimePoint now) const;

  // Returns up to `count` searchers, chosen at random among those that have not
  // left and accept requests.
  std::vector<SearcherEntry> Sample(TimePoint now,
                                    size_t count,
                                    std::minstd_rand& random) const;

  size_t size() const { return by_id_.size(); }

 private:
  // The last known entry of a searcher that is no longer in the directory, or
  // that of one of which another instance said that it leaves.
  struct Departure {
    SearcherEntry entry;
    TimePoint at;
  };

  void Upsert(TimePoint now, const SearcherEntry& entry);
  bool HasDeparted(const SearcherEntry& entry) const;
  // Returns whether the process was draining when it was last known.
  bool IsKnownToLeave(const SearcherEntry& entry) const;
  void Remove(TimePoint now,
              const RoutedSearcherPtr& searcher,
              std::string_view reason);

  const Hooks hooks_;
  std::unordered_map<std::string, RoutedSearcherPtr> by_id_;
  std::unordered_map<std::string, std::vector<RoutedSearcherPtr>> by_service_;
  std::unordered_map<std::string, Departure> departures_;  // By id.
  std::unordered_map<std::string, Departure> announced_;   // By id.
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_SEARCHER_DIRECTORY_H_
