#include "greengage/coordination/searcher_directory.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <unordered_set>
#include <utility>

namespace greengage {
namespace {

// Part of the leave time, as a percentage, after which a searcher that left
// gets no more requests. The rest covers requests on their way.
constexpr int kLastUsePercent = 85;

// The removal of an entry means that its searcher has left or no longer sends
// heartbeats. The short grace period covers a searcher that renews its
// registration.
constexpr Duration kRemovalGracePeriod = std::chrono::milliseconds(300);

// How long a departed searcher is remembered. The store may be restored from a
// copy that has its entry.
constexpr Duration kDepartureMemory = std::chrono::seconds(60);

// Searchers of which other instances say that they leave, and that are not
// known here.
constexpr size_t kMaxAnnounced = 4096;

}  // namespace

Duration ListingGracePeriod(Duration replaced_state_age, Duration leave_time) {
  if (replaced_state_age >= leave_time) {
    return kListingGracePeriod;
  }
  return std::clamp(leave_time * kLastUsePercent / 100 - replaced_state_age,
                    kRemovalGracePeriod, kListingGracePeriod);
}

void SearcherDirectory::Replace(TimePoint now,
                                const std::vector<SearcherEntry>& entries,
                                Duration grace) {
  std::unordered_set<std::string> listed;
  for (const SearcherEntry& entry : entries) {
    listed.insert(entry.id);
    Upsert(now, entry);
  }
  for (const auto& [id, searcher] : by_id_) {
    if (!listed.contains(id)) {
      searcher->OnUnregistered(now, grace);
    }
  }
}

void SearcherDirectory::Upsert(TimePoint now, const SearcherEntry& entry) {
  const auto found = by_id_.find(entry.id);
  if (found != by_id_.end() && entry.IsBefore(found->second->entry())) {
    return;
  }
  if (found != by_id_.end() && found->second->entry().SameProcess(entry)) {
    const bool was_draining = found->second->entry().draining;
    found->second->UpdateEntry(now, entry);
    if (!was_draining && entry.draining) {
      hooks_.on_leaving(*found->second, "draining");
    }
    return;
  }
  if (found != by_id_.end()) {
    Remove(now, found->second, "restarted");
  }
  if (HasDeparted(entry)) {
    return;
  }
  const auto searcher = std::make_shared<RoutedSearcher>(now, entry);
  if (IsKnownToLeave(entry)) {
    searcher->SetDraining();
  }
  by_id_[entry.id] = searcher;
  by_service_[entry.service].push_back(searcher);
  hooks_.on_added(*searcher);
}

bool SearcherDirectory::HasDeparted(const SearcherEntry& entry) const {
  const auto found = departures_.find(entry.id);
  return found != departures_.end() && entry.IsNotAfter(found->second.entry);
}

bool SearcherDirectory::IsKnownToLeave(const SearcherEntry& entry) const {
  const auto has_left = [&entry](const auto& known) {
    const auto found = known.find(entry.id);
    return found != known.end() && found->second.entry.draining &&
           found->second.entry.SameProcess(entry);
  };
  return has_left(departures_) || has_left(announced_);
}

void SearcherDirectory::Apply(TimePoint now,
                              const std::vector<SearcherChange>& changes) {
  for (const SearcherChange& change : changes) {
    if (change.entry) {
      Upsert(now, *change.entry);
      continue;
    }
    const auto found = by_id_.find(change.id);
    if (found != by_id_.end()) {
      found->second->OnUnregistered(
          now, change.unlisted ? kListingGracePeriod : kRemovalGracePeriod);
    }
  }
}

void SearcherDirectory::OnAnnouncedLeaving(const RoutedSearcherPtr& searcher) {
  if (searcher->SetDraining()) {
    hooks_.on_leaving(*searcher, "announced");
  }
}

void SearcherDirectory::OnAnnouncedLeaving(TimePoint now,
                                           const SearcherEntry& entry) {
  const auto found = by_id_.find(entry.id);
  if (found != by_id_.end() && found->second->entry().SameProcess(entry)) {
    OnAnnouncedLeaving(found->second);
  } else if (announced_.size() < kMaxAnnounced) {
    announced_[entry.id] = {entry, now};
    announced_[entry.id].entry.draining = true;
  }
}

void SearcherDirectory::Expire(TimePoint now) {
  std::vector<RoutedSearcherPtr> expired;
  for (const auto& [id, searcher] : by_id_) {
    if (searcher->IsExpired(now)) {
      expired.push_back(searcher);
    }
  }
  for (const RoutedSearcherPtr& searcher : expired) {
    Remove(now, searcher, "gone");
  }
  for (auto* const known : {&departures_, &announced_}) {
    std::erase_if(*known, [now](const auto& item) {
      return now - item.second.at >= kDepartureMemory;
    });
  }
}

std::vector<std::pair<RoutedSearcherPtr, RateLimitReport>>
SearcherDirectory::TakeRateLimitReports(TimePoint now) const {
  std::vector<std::pair<RoutedSearcherPtr, RateLimitReport>> reports;
  for (const auto& [id, searcher] : by_id_) {
    if (const auto report = searcher->rate_limit().TakeReport(now)) {
      reports.emplace_back(searcher, *report);
    }
  }
  return reports;
}

std::vector<SearcherEntry> SearcherDirectory::Sample(
    TimePoint now,
    size_t count,
    std::minstd_rand& random) const {
  std::vector<SearcherEntry> entries;
  if (count == 0) {
    return entries;
  }
  for (const auto& [id, searcher] : by_id_) {
    if (!searcher->IsLeaving(now) &&
        searcher->ClosedFor(now) == Duration::zero()) {
      entries.push_back(searcher->entry());
    }
  }
  std::shuffle(entries.begin(), entries.end(), random);
  entries.resize(std::min(entries.size(), count));
  return entries;
}

const std::vector<RoutedSearcherPtr>& SearcherDirectory::ForService(
    const std::string& service) const {
  static const std::vector<RoutedSearcherPtr> none;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? none : found->second;
}

void SearcherDirectory::Remove(TimePoint now,
                               const RoutedSearcherPtr& searcher,
                               std::string_view reason) {
  searcher->OnGone();
  hooks_.on_leaving(*searcher, reason);
  departures_[searcher->entry().id] = {searcher->entry(), now};
  const auto service = by_service_.find(searcher->entry().service);
  if (service != by_service_.end()) {
    std::erase(service->second, searcher);
    if (service->second.empty()) {
      by_service_.erase(service);
    }
  }
  const auto found = by_id_.find(searcher->entry().id);
  if (found != by_id_.end() && found->second == searcher) {
    by_id_.erase(found);
  }
}

}  // namespace greengage
