// Keeps up with all objects of one kind in the store.
#ifndef GREENGAGE_TRANSPORT_FEED_FOLLOWER_H_
#define GREENGAGE_TRANSPORT_FEED_FOLLOWER_H_

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
struct FeedItem {
  std::string name;
  uint64_t revision = 0;  // Of its last change.
  bool removed = false;
  // Empty for a removed object and for one that cannot be read.
  std::optional<Item> value;
};

template <typename Item>
struct FeedPage {
  uint64_t revision = 0;  // Of the store when it answered.
  bool more = false;      // The listing goes on behind the last item.
  std::vector<FeedItem<Item>> items;
};

struct FeedOptions {
  // How long a watch waits at the store for a change.
  std::chrono::milliseconds wait{25000};
  // Between the end of a watch and the next one. Bounds the calls where
  // objects change all the time, and adds to the age of what is known.
  std::chrono::milliseconds pause{150};
  // Between two looks, which may be old and cost little, for what a watch on a
  // connection that has gone silent does not tell.
  std::chrono::milliseconds peek_period{3000};
  BackoffOptions backoff;
  uint64_t seed = 0;
};

// Lists all objects, then watches for changes. After a watch that failed it
// lists anew, since the store may have dropped history meanwhile and a watch
// from before would wait for what it can no longer tell; failed calls are
// repeated after a pause that grows. Used on one thread.
template <typename Item>
class FeedFollower : public std::enable_shared_from_this<FeedFollower<Item>> {
 public:
  using Page = FeedPage<Item>;
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
    std::function<void(PageCallback)> peek;
    // The whole kind, as listed.
    std::function<void(std::vector<FeedItem<Item>>)> on_snapshot;
    std::function<void(std::vector<FeedItem<Item>>)> on_changes;
    // A call has failed, after others had not; and the reverse.
    std::function<void(const Failure&)> on_lost;
    std::function<void()> on_regained;
  };

  FeedFollower(boost::asio::io_context& context,
               FeedOptions options,
               Hooks hooks)
      : options_(options),
        hooks_(std::move(hooks)),
        backoff_(options.backoff, options.seed),
        timer_(context),
        peek_timer_(context) {}

  void Start() {
    List();
    SchedulePeek();
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
    peek_timer_.cancel();
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
    hooks_.watch(revision_, options_.wait, Guarded([this](Result<Page> page) {
                   OnWatched(std::move(page));
                 }));
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

  void SchedulePeek() {
    if (!hooks_.peek) {
      return;
    }
    peek_timer_.expires_after(options_.peek_period);
    peek_timer_.async_wait(
        [weak = this->weak_from_this()](boost::system::error_code error) {
          const auto self = weak.lock();
          if (!error && self && !self->stopped_) {
            self->Peek();
          }
        });
  }

  void Peek() {
    hooks_.peek([weak = this->weak_from_this()](const Result<Page>& page) {
      const auto self = weak.lock();
      if (!self || self->stopped_) {
        return;
      }
      // A failure shows in the watch as well.
      if (page && self->HasNews(*page)) {
        self->List();
      }
      self->SchedulePeek();
    });
  }

  // Whether a page holds what no listing or watch has told yet, although
  // nothing is on its way.
  bool HasNews(const Page& page) const {
    return std::any_of(
        page.items.begin(), page.items.end(),
        [this](const FeedItem<Item>& item) { return item.revision > newest_; });
  }

  void Note(const std::vector<FeedItem<Item>>& items) {
    for (const FeedItem<Item>& item : items) {
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
    for (FeedItem<Item>& item : page->items) {
      listing_.push_back(std::move(item));
    }
    if (page->more && !listing_.empty()) {
      ListBehind(std::string(listing_.back().name));
      return;
    }
    revision_ = listed_revision_;
    Note(listing_);
    hooks_.on_snapshot(std::exchange(listing_, {}));
    After(options_.pause, [this] { Watch(); });
  }

  void OnWatched(Result<Page> page) {
    if (page) {
      OnAnswered();
      revision_ = std::max(revision_, page->revision);
      if (!page->items.empty()) {
        Note(page->items);
        hooks_.on_changes(std::move(page->items));
      }
      After(options_.pause, [this] { Watch(); });
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
      hooks_.on_lost(reason);
    }
  }

  void OnAnswered() {
    backoff_.OnSuccess();
    if (std::exchange(lost_, false)) {
      hooks_.on_regained();
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

  const FeedOptions options_;
  const Hooks hooks_;
  Backoff backoff_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer peek_timer_;
  uint64_t call_ = 0;    // The newest call; answers of older ones are dropped.
  uint64_t newest_ = 0;  // Revision of the newest item that was told.
  uint64_t revision_ = 0;
  uint64_t listed_revision_ = 0;
  std::vector<FeedItem<Item>> listing_;
  bool lost_ = false;
  bool stopped_ = false;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_FEED_FOLLOWER_H_
