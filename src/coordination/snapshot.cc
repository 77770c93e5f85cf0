#include "greengage/coordination/snapshot.h"

#include <algorithm>
#include <set>

namespace greengage {

namespace {

bool IsUsable(const SearcherView& view) {
  return !view.draining && view.newest_version > 0;
}

bool Holds(const SearcherView& view, uint64_t version) {
  return IsUsable(view) && view.oldest_version <= version &&
         version <= view.newest_version;
}

// A shard is assumed to serve any version while no replica's versions are
// known.
bool CanServe(const std::vector<SearcherView>& replicas, uint64_t version) {
  const bool unknown = std::none_of(replicas.begin(), replicas.end(), IsUsable);
  return unknown ||
         std::any_of(replicas.begin(), replicas.end(),
                     [&](const auto& view) { return Holds(view, version); });
}

}  // namespace

uint64_t ChooseIndexVersion(const ServiceConfiguration& service,
                            const ReplicaViews& replicas) {
  std::vector<std::vector<SearcherView>> shards;
  std::set<uint64_t, std::greater<>> versions;
  shards.reserve(service.shards.size());
  for (const ShardConfiguration& shard : service.shards) {
    shards.push_back(replicas(shard));
    for (const SearcherView& view : shards.back()) {
      if (IsUsable(view)) {
        versions.insert(view.newest_version);
        versions.insert(view.oldest_version);
      }
    }
  }
  uint64_t best = 0;
  size_t best_served = 0;
  for (const uint64_t version : versions) {
    const auto served = static_cast<size_t>(std::count_if(
        shards.begin(), shards.end(),
        [&](const auto& shard) { return CanServe(shard, version); }));
    if (served > best_served) {
      best = version;
      best_served = served;
    }
  }
  return best;
}

}  // namespace greengage
