#include "greengage/coordination/owner_set.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

#include "greengage/coordination/rendezvous.h"

namespace greengage {

namespace {

constexpr size_t kMaxSharePercent = 125;

// Returns the maximum number of searchers that each of `candidates` instances
// may own.
size_t MaxOwned(size_t searchers, size_t owners, size_t candidates) {
  return (searchers * owners * kMaxSharePercent + candidates * 100 - 1) /
         (candidates * 100);
}

}  // namespace

OwnerSet::OwnerSet(MemberTablePtr table,
                   const std::map<Endpoint, SearcherConfiguration>& searchers,
                   size_t owners)
    : table_(std::move(table)) {
  std::vector<Candidate> all;
  std::map<std::string, std::vector<Candidate>> local;
  for (const Instance& member : table_->members) {
    if (IsEligible(member)) {
      const Candidate candidate{.instance = &member,
                                .hash = RendezvousHash(member.id)};
      all.push_back(candidate);
      local[member.data_centre].push_back(candidate);
    }
  }
  std::map<std::string, std::vector<const SearcherConfiguration*>> groups;
  for (const auto& [endpoint, searcher] : searchers) {
    groups[searcher.data_centre].push_back(&searcher);
  }
  for (const auto& [data_centre, group] : groups) {
    const auto found = local.find(data_centre);
    Assign(group, found == local.end() ? all : found->second, owners);
  }
}

void OwnerSet::Assign(
    const std::vector<const SearcherConfiguration*>& searchers,
    std::vector<Candidate> candidates,
    size_t owners) {
  if (candidates.empty()) {
    return;
  }
  const size_t count = std::min(owners, candidates.size());
  const size_t max_owned = MaxOwned(searchers.size(), count, candidates.size());
  std::vector<std::pair<uint64_t, Candidate*>> order;
  for (const SearcherConfiguration* searcher : searchers) {
    const uint64_t key = RendezvousHash(ToString(searcher->endpoint));
    order.clear();
    for (Candidate& candidate : candidates) {
      if (candidate.owned < max_owned) {
        order.emplace_back(RendezvousWeight(key, candidate.hash), &candidate);
      }
    }
    const size_t chosen = std::min(count, order.size());
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(chosen);
    std::partial_sort(order.begin(), end, order.end(), std::greater<>());
    std::vector<const Instance*>& list = owners_[searcher->endpoint];
    for (auto entry = order.begin(); entry != end; ++entry) {
      ++entry->second->owned;
      list.push_back(entry->second->instance);
    }
  }
}

const std::vector<const Instance*>& OwnerSet::OwnersOf(
    const Endpoint& searcher) const {
  static const std::vector<const Instance*> none;
  const auto found = owners_.find(searcher);
  return found == owners_.end() ? none : found->second;
}

bool OwnerSet::Owns(std::string_view instance, const Endpoint& searcher) const {
  const std::vector<const Instance*>& owners = OwnersOf(searcher);
  return std::any_of(owners.begin(), owners.end(), [&](const Instance* owner) {
    return owner->id == instance;
  });
}

std::vector<Endpoint> OwnerSet::OwnedBy(std::string_view instance) const {
  std::vector<Endpoint> owned;
  for (const auto& [searcher, owners] : owners_) {
    if (Owns(instance, searcher)) {
      owned.push_back(searcher);
    }
  }
  return owned;
}

}  // namespace greengage
