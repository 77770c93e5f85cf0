// The searchers of all services, as the registry names them.
#ifndef GREENGAGE_COORDINATION_SEARCHER_DIRECTORY_H_
#define GREENGAGE_COORDINATION_SEARCHER_DIRECTORY_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "greengage/coordination/data_centre_distance.h"
#include "greengage/coordination/routed_searcher.h"
#include "greengage/state/searcher_entry.h"
#include "greengage/state/time.h"

namespace greengage {

// One change of the registry.
struct SearcherChange {
  std::string id;
  std::optional<SearcherEntry> entry;  // Empty: it has gone.
};

// Not thread-safe.
class SearcherDirectory {
 public:
  struct Hooks {
    // A searcher is known for the first time, with "ready" or "draining".
    std::function<void(const RoutedSearcher&)> on_added;
    // A searcher leaves or has gone; work under way at it may end.
    std::function<void(const RoutedSearcher&, std::string_view why)> on_leaving;
  };

  explicit SearcherDirectory(Hooks hooks) : hooks_(std::move(hooks)) {}

  // Takes in the whole registry; searchers that it lacks go missing.
  void Replace(TimePoint now, const std::vector<SearcherEntry>& entries);

  // Takes in what has changed, in the order in which it did.
  void Apply(TimePoint now, const std::vector<SearcherChange>& changes);

  // Forgets searchers that have been missing for long. Call about each second.
  void Expire(TimePoint now);

  const std::vector<RoutedSearcherPtr>& ForService(const std::string& service) const;

  size_t size() const { return by_id_.size(); }

 private:
  void Upsert(TimePoint now, const SearcherEntry& entry);
  void Drop(const RoutedSearcherPtr& searcher, std::string_view why);

  const Hooks hooks_;
  std::unordered_map<std::string, RoutedSearcherPtr> by_id_;
  std::unordered_map<std::string, std::vector<RoutedSearcherPtr>> by_service_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_SEARCHER_DIRECTORY_H_
