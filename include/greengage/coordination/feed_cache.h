// The objects that an instance has read from the store, for other instances.
#ifndef GREENGAGE_COORDINATION_FEED_CACHE_H_
#define GREENGAGE_COORDINATION_FEED_CACHE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "greengage/state/crash_report.h"
#include "greengage/state/evacuation.h"
#include "greengage/state/instance_record.h"
#include "greengage/state/searcher_entry.h"
#include "greengage/state/store_revision.h"
#include "greengage/state/time.h"

namespace greengage {

enum class FeedKind : uint8_t {
  kConfiguration,
  kSearcher,
  kInstance,
  kCrashReport,
  kEvacuation,
};
inline constexpr size_t kFeedKinds = 5;

// The text of a configuration, as the platform encodes it.
struct ConfigurationText {
  std::string text;
};

// An object of the store. Without a value it is gone: `removed` says whether
// the store reported the removal, or a listing just lacked the object.
struct FeedObject {
  FeedKind kind = FeedKind::kConfiguration;
  std::string name;
  StoreRevision revision;
  bool removed = false;
  std::variant<std::monostate,
               ConfigurationText,
               SearcherEntry,
               InstanceRecord,
               CrashReport,
               Evacuation>
      value;

  bool is_present() const { return value.index() != 0; }
};

// Changes since a sequence number of one epoch, or all objects.
struct FeedPage {
  uint64_t epoch = 0;     // Identifies the cache.
  uint64_t sequence = 0;  // Of the last change.
  bool complete = false;  // Objects that are not on the page do not exist.
  Duration age{};         // Time since the state was current.
  StoreRevision searchers_revision;  // Of the searchers' state.
  // The sender reads evacuations: if the page is complete, it lists all.
  bool has_evacuations = false;
  std::vector<FeedObject> objects;
};

// Numbers the changes, so that other instances can fetch those that they lack.
// A heartbeat that repeats a searcher's entry is no change. Times must come
// from a clock that counts the suspension of the machine, or the state would
// seem younger than it is afterwards. Not thread-safe.
class FeedCache {
 public:
  // `epoch` must be unique among the caches of all instances.
  explicit FeedCache(uint64_t epoch) : epoch_(epoch) {}

  // Sets all objects of `kind`, as of the store's `revision`. `now` is the time
  // at which they were requested.
  void Replace(TimePoint now,
               FeedKind kind,
               StoreRevision revision,
               std::vector<FeedObject> objects);

  // Applies changes of objects of `kind`.
  void Apply(TimePoint now,
             FeedKind kind,
             StoreRevision revision,
             std::vector<FeedObject> objects);

  // Forgets the objects of `kind`, as if they had never been read.
  void Forget(FeedKind kind);

  // Returns true once the configuration and the searchers are known.
  bool is_filled() const;

  // Returns the age of the state of the searchers.
  Duration AgeAt(TimePoint now) const;

  uint64_t sequence() const { return sequence_; }

  // Returns the changes after `sequence`, or all objects if `epoch` is not that
  // of this cache or if some of the changes are no longer known.
  FeedPage PageAfter(TimePoint now, uint64_t epoch, uint64_t sequence) const;

 private:
  struct Entry {
    FeedObject object;
    uint64_t sequence = 0;
    TimePoint gone_at;
    std::optional<SearcherEntry> last_searcher;  // Also once it is gone.
  };
  using Key = std::pair<FeedKind, std::string>;

  void Update(TimePoint now, FeedObject object);
  void MarkCurrent(TimePoint now, FeedKind kind, StoreRevision revision);
  void ForgetOldRemovals(TimePoint now);

  const uint64_t epoch_;
  uint64_t sequence_ = 0;
  // Removals up to this sequence number are no longer known.
  uint64_t forgotten_sequence_ = 0;
  StoreRevision searchers_revision_;
  std::map<Key, Entry> entries_;
  std::optional<TimePoint> current_at_[kFeedKinds];
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_FEED_CACHE_H_
