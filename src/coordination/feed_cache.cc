#include "greengage/coordination/feed_cache.h"

#include <algorithm>
#include <set>
#include <utility>

namespace greengage {
namespace {

// How long a removal is kept for instances that lack it. Instances that are
// further behind fetch all objects.
constexpr Duration kRemovalLifetime = std::chrono::seconds(60);

size_t IndexOf(FeedKind kind) {
  return static_cast<size_t>(kind);
}

// Returns true if `next` is a heartbeat: it says the same as `previous`, except
// that a warm-up has gone on.
bool IsRepeated(const FeedObject& previous, const FeedObject& next) {
  const auto* const old_entry = std::get_if<SearcherEntry>(&previous.value);
  const auto* const new_entry = std::get_if<SearcherEntry>(&next.value);
  if (old_entry == nullptr || new_entry == nullptr) {
    return previous.value.index() == next.value.index() &&
           previous.removed == next.removed &&
           (!previous.is_present() || previous.revision == next.revision);
  }
  return old_entry->SameProcess(*new_entry) &&
         old_entry->data_centre == new_entry->data_centre &&
         old_entry->slots == new_entry->slots &&
         old_entry->draining == new_entry->draining &&
         old_entry->warm_up_left >= new_entry->warm_up_left;
}

// Returns true if `next` is older than `last`, the last entry of the searcher,
// which `object` says is present or gone.
bool IsOutdated(const FeedObject& object,
                const SearcherEntry& last,
                const SearcherEntry& next) {
  return object.is_present() ? next.IsBefore(last) : next.IsNotAfter(last);
}

}  // namespace

void FeedCache::Replace(TimePoint now,
                        FeedKind kind,
                        StoreRevision revision,
                        std::vector<FeedObject> objects) {
  std::set<std::string> listed;
  for (const FeedObject& object : objects) {
    listed.insert(object.name);
  }
  for (const auto& [key, entry] : entries_) {
    if (key.first == kind && entry.object.is_present() &&
        !listed.contains(key.second)) {
      objects.push_back({kind, key.second, revision, false, {}});
    }
  }
  Apply(now, kind, revision, std::move(objects));
}

void FeedCache::Apply(TimePoint now,
                      FeedKind kind,
                      StoreRevision revision,
                      std::vector<FeedObject> objects) {
  for (FeedObject& object : objects) {
    Update(now, std::move(object));
  }
  MarkCurrent(now, kind, revision);
}

void FeedCache::Forget(FeedKind kind) {
  current_at_[IndexOf(kind)].reset();
  std::erase_if(entries_,
                [kind](const auto& item) { return item.first.first == kind; });
}

void FeedCache::Update(TimePoint now, FeedObject object) {
  Entry& entry = entries_[{object.kind, object.name}];
  if (const auto* const next = std::get_if<SearcherEntry>(&object.value)) {
    if (entry.last_searcher &&
        IsOutdated(entry.object, *entry.last_searcher, *next)) {
      return;
    }
    entry.last_searcher = *next;
  }
  if (entry.sequence != 0 && IsRepeated(entry.object, object)) {
    entry.object = std::move(object);
    return;
  }
  entry.object = std::move(object);
  entry.sequence = ++sequence_;
  entry.gone_at = now;
}

void FeedCache::MarkCurrent(TimePoint now,
                            FeedKind kind,
                            StoreRevision revision) {
  if (kind == FeedKind::kEvacuation && !current_at_[IndexOf(kind)]) {
    // Those who have read a page without evacuations need a complete one, since
    // no change tells them which evacuations have ended.
    forgotten_sequence_ = ++sequence_;
  }
  current_at_[IndexOf(kind)] = now;
  if (kind == FeedKind::kSearcher) {
    searchers_revision_ = std::max(searchers_revision_, revision);
  }
  ForgetOldRemovals(now);
}

void FeedCache::ForgetOldRemovals(TimePoint now) {
  std::erase_if(entries_, [this, now](const auto& item) {
    const Entry& entry = item.second;
    if (entry.object.is_present() || now - entry.gone_at < kRemovalLifetime) {
      return false;
    }
    forgotten_sequence_ = std::max(forgotten_sequence_, entry.sequence);
    return true;
  });
}

bool FeedCache::is_filled() const {
  return current_at_[IndexOf(FeedKind::kConfiguration)] &&
         current_at_[IndexOf(FeedKind::kSearcher)];
}

Duration FeedCache::AgeAt(TimePoint now) const {
  return now - *current_at_[IndexOf(FeedKind::kSearcher)];
}

FeedPage FeedCache::PageAfter(TimePoint now,
                              uint64_t epoch,
                              uint64_t sequence) const {
  FeedPage page;
  page.epoch = epoch_;
  page.sequence = sequence_;
  page.complete =
      epoch != epoch_ || sequence < forgotten_sequence_ || sequence > sequence_;
  page.age = AgeAt(now);
  page.searchers_revision = searchers_revision_;
  page.has_evacuations =
      current_at_[IndexOf(FeedKind::kEvacuation)].has_value();
  for (const auto& [key, entry] : entries_) {
    if (page.complete ? entry.object.is_present() : entry.sequence > sequence) {
      page.objects.push_back(entry.object);
    }
  }
  return page;
}

}  // namespace greengage
