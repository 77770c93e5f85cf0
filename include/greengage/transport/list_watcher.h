// Keeps up with all objects of one kind in the store.
#ifndef GREENGAGE_TRANSPORT_LIST_WATCHER_H_
#define GREENGAGE_TRANSPORT_LIST_WATCHER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "greengage/coordination/backoff.h"
#include "greengage/state/result.h"
#include "greengage/state/time.h"

namespace greengage {

// One object of the store, decoded.
template <typename Item>
struct StoreItem {
  std::string name;
  uint64_t revision = 0;  // Of its last change.
  bool removed = false;
  // Empty for a removed object and for one that cannot be read.
  std::optional<Item> value;
};

template <typename Item>
struct StorePage {
  uint64_t revision = 0;  // Of the store when it answered.
  bool more = false;      // The listing goes on behind the last item.
  std::vector<StoreItem<Item>> items;
};

struct ListWatchOptions {
  // How long a watch waits at the store for a change.
  std::chrono::milliseconds watch_timeout{25000};
  // Between the end of a watch and the next one. Bounds the calls where
  // objects change all the time, and adds to the age of what is known.
  std::chrono::milliseconds watch_delay{150};
  // Between two looks, which may be old and cost little, for what a watch on a
  // connection that has gone silent does not tell.
  std::chrono::milliseconds poll_interval{3000};
  BackoffOptions backoff;
  uint64_t seed = 0;
};

// Lists all objects, then watches for changes. After a watch that failed it
// lists anew, since the store may have dropped history meanwhile and a watch
// from before would wait for what it can no longer tell; failed calls are
// repeated after a pause that grows. Used on one thread.
template <typename Item>
class ListWatcher : public std::enable_shared_from_this<ListWatcher<Item>> {
 public:
  using Page = StorePage<Item>;
  using PageCallback = std::function<void(Result<Page>)>;

  struct Hooks {
    // Reads one page of the listing behind the name `after`.
    std::function<void(const std::string& after, PageCallback)> list;
    // Waits at most `wait` for changes after `revision`; fails with
    // kStaleVersion if the store cannot tell them any more.
    std::function<
        void(uint64_t revision, std::chrono::milliseconds wait, PageCallback)>
        watch;
    // Reads the listing's first page as it was some time ago; may be empty.
    std::function<void(PageCallback)> poll;
    // The whole kind, as listed.
    std::function<void(std::vector<StoreItem<Item>>)> on_snapshot;
    std::function<void(std::vector<StoreItem<Item>>)> on_changes;
    // A call has failed, after others had not; and the reverse.
    std::function<void(const Failure&)> on_failing;
    std::function<void()> on_recovered;
  };

  ListWatcher(boost::asio::io_context& context,
              ListWatchOptions options,
              Hooks hooks)
      : options_(options),
        hooks_(std::move(hooks)),
        backoff_(options.backoff, options.seed),
        timer_(context),
        poll_timer_(context) {}

  void Start() {
    List();
    SchedulePoll();
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
    poll_timer_.cancel();
  }

 private:
  void List() {
    listing_.clear();
    ListBehind("");
  }

  void ListBehind(const std::string& after) {
    hooks_.list(after, Guarded([this](Result<Page> page) {
                  OnListed(std::move(page));
                }));
  }

  void Watch() {
    hooks_.watch(
        revision_, options_.watch_timeout,
        Guarded([this](Result<Page> page) { OnWatched(std::move(page)); }));
  }

  // Drops the answer of a call that ends after the follower has, or after a
  // newer call took its place.
  PageCallback Guarded(std::function<void(Result<Page>)> handle) {
    return [weak = this->weak_from_this(), call = ++call_,
            handle = std::move(handle)](Result<Page> page) {
      const auto self = weak.lock();
      if (self && !self->stopped_ && call == self->call_) {
        handle(std::move(page));
      }
    };
  }

  void SchedulePoll() {
    if (!hooks_.poll) {
      return;
    }
    poll_timer_.expires_after(options_.poll_interval);
    poll_timer_.async_wait(
        [weak = this->weak_from_this()](boost::system::error_code error) {
          const auto self = weak.lock();
          if (!error && self && !self->stopped_) {
            self->Poll();
          }
        });
  }

  void Poll() {
    hooks_.poll([weak = this->weak_from_this()](const Result<Page>& page) {
      const auto self = weak.lock();
      if (!self || self->stopped_) {
        return;
      }
      // A failure shows in the watch as well.
      if (page && self->HasNews(*page)) {
        self->List();
      }
      self->SchedulePoll();
    });
  }

  // Whether a page holds what no listing or watch has told yet, although
  // nothing is on its way.
  bool HasNews(const Page& page) const {
    return std::any_of(page.items.begin(), page.items.end(),
                       [this](const StoreItem<Item>& item) {
                         return item.revision > newest_;
                       });
  }

  void Note(const std::vector<StoreItem<Item>>& items) {
    for (const StoreItem<Item>& item : items) {
      newest_ = std::max(newest_, item.revision);
    }
  }

  void OnListed(Result<Page> page) {
    if (!page) {
      OnFailed(page.last_reason());
      After(backoff_.OnFailure(), [this] { List(); });
      return;
    }
    OnAnswered();
    // The first page's revision: what changes while the rest is read is told
    // again by the watch.
    if (listing_.empty()) {
      listed_revision_ = page->revision;
    }
    for (StoreItem<Item>& item : page->items) {
      listing_.push_back(std::move(item));
    }
    if (page->more && !listing_.empty()) {
      ListBehind(std::string(listing_.back().name));
      return;
    }
    revision_ = listed_revision_;
    Note(listing_);
    hooks_.on_snapshot(std::exchange(listing_, {}));
    After(options_.watch_delay, [this] { Watch(); });
  }

  void OnWatched(Result<Page> page) {
    if (page) {
      OnAnswered();
      revision_ = std::max(revision_, page->revision);
      if (!page->items.empty()) {
        Note(page->items);
        hooks_.on_changes(std::move(page->items));
      }
      After(options_.watch_delay, [this] { Watch(); });
      return;
    }
    const bool dropped = page.last_reason().kind == FailureKind::kStaleVersion;
    if (!dropped) {
      OnFailed(page.last_reason());
    }
    After(dropped ? Duration::zero() : backoff_.OnFailure(),
          [this] { List(); });
  }

  void OnFailed(const Failure& reason) {
    if (!std::exchange(lost_, true)) {
      hooks_.on_failing(reason);
    }
  }

  void OnAnswered() {
    backoff_.OnSuccess();
    if (std::exchange(lost_, false)) {
      hooks_.on_recovered();
    }
  }

  void After(Duration pause, std::function<void()> next) {
    timer_.expires_after(pause);
    timer_.async_wait([weak = this->weak_from_this(), next = std::move(next)](
                          boost::system::error_code error) {
      const auto self = weak.lock();
      if (!error && self && !self->stopped_) {
        next();
      }
    });
  }

  const ListWatchOptions options_;
  const Hooks hooks_;
  Backoff backoff_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer poll_timer_;
  uint64_t call_ = 0;    // The newest call; answers of older ones are dropped.
  uint64_t newest_ = 0;  // Revision of the newest item that was told.
  uint64_t revision_ = 0;
  uint64_t listed_revision_ = 0;
  std::vector<StoreItem<Item>> listing_;
  bool lost_ = false;
  bool stopped_ = false;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_LIST_WATCHER_H_
