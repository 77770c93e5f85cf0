// Keeps a client up to date with all objects of one kind in a store.
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
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "greengage/coordination/backoff.h"
#include "greengage/coordination/revision_history.h"
#include "greengage/state/result.h"
#include "greengage/state/store_revision.h"
#include "greengage/state/time.h"
#include "greengage/transport/guard.h"

namespace greengage {

// A decoded object of the store.
template <typename Item>
struct StoreItem {
  std::string name;
  StoreRevision revision;  // Of the last change.
  bool removed = false;
  // Empty if the object was removed or cannot be decoded.
  std::optional<Item> value;
};

template <typename Item>
struct StorePage {
  StoreRevision revision;  // Of the store at the time of the answer.
  bool more = false;       // The listing continues after the last item.
  std::vector<StoreItem<Item>> items;
};

// Cancels a watch that is still pending; otherwise it has no effect.
using CancelWatch = std::function<void()>;

struct ListWatchOptions {
  // How long the store holds a watch open while nothing changes.
  std::chrono::milliseconds watch_timeout{25000};
  // Delay between the end of a watch and the start of the next one. Limits the
  // rate of calls while objects change constantly; adds to the staleness of the
  // local state.
  std::chrono::milliseconds watch_delay{150};
  // Interval between polls. A poll is a cheap, possibly stale read that detects
  // changes which a watch misses when its connection has stalled or its answer
  // was lost.
  std::chrono::milliseconds poll_interval{3000};
  // A change that is older than this and may have been missed is looked for
  // with a read that is not stale. Needs a RevisionHistory.
  std::chrono::milliseconds max_unverified_time{3000};
  // A watch that returns this many objects may have been cut off by the store's
  // page size. The next one starts at once, or the local state would fall
  // further behind with each watch.
  size_t full_watch_items = 400;
  BackoffOptions backoff;
  uint64_t seed = 0;
};

// A lost watch looks like one that waits for a change. Polls bound the time for
// which it hides changes to `max_unverified_time` and `poll_interval` together,
// as long as the store answers: a read that is not stale follows if they are
// too old to prove it, and all objects are listed again if a poll fails.
//
// Lists all objects, then watches for changes. After a failed watch it lists
// all objects again: the store may have discarded history in the meantime, and
// a watch from the old revision would then wait for changes that the store can
// no longer report. Failed calls are retried with exponential backoff.
//
// Also lists all objects again after an answer from another era of the store,
// since the changes after a revision are then other ones. Listings of an
// earlier era than a known one are ignored.
//
// Not thread-safe: all calls and callbacks must run on one thread.
template <typename Item>
class ListWatcher : public std::enable_shared_from_this<ListWatcher<Item>> {
 public:
  using Page = StorePage<Item>;
  using PageCallback = std::function<void(Result<Page>)>;

  struct Hooks {
    // Reads one page of the listing, starting after the name `after`.
    std::function<void(const std::string& after, PageCallback)> list;
    // Waits at most `timeout` for changes after `revision` of the store's
    // current era. Fails with kStaleVersion if the store does not have that
    // part of its history, or no longer has it.
    // Returns a function that cancels the call and releases its connection.
    std::function<CancelWatch(uint64_t revision,
                              std::chrono::milliseconds timeout,
                              PageCallback)>
        watch;
    // Reads the first page of the listing; the result may be stale. Polling is
    // disabled if the hook is empty.
    std::function<void(PageCallback)> poll;
    // Receives a complete listing, as of the store's `revision`.
    std::function<void(std::vector<StoreItem<Item>>, StoreRevision revision)>
        on_snapshot;
    // Receives the objects that changed since the last listing or watch; empty
    // if a watch ended without a change.
    std::function<void(std::vector<StoreItem<Item>>, StoreRevision revision)>
        on_changes;
    // Runs on the first failed call after a successful one.
    std::function<void(const Failure&)> on_failing;
    // Runs on the first successful call after a failed one.
    std::function<void()> on_recovered;
    // Runs when a poll finds a change, of `revision`, that the watch has not
    // reported. Optional.
    std::function<void(StoreRevision revision)> on_missed;
    // Dates the polls. May be shared by all watchers of the store, whose
    // answers add to it. Polls are not dated if it is null.
    std::shared_ptr<RevisionHistory> history;
    // Runs when a listing is from a later era of the store than `known`, the
    // revision up to which changes were read. Optional.
    std::function<void(StoreRevision revision, StoreRevision known)>
        on_restored;
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
    CancelPendingWatch();
  }

 private:
  using Clock = std::chrono::steady_clock;

  void List() {
    // A poll may have called this while the next watch was due.
    timer_.cancel();
    CancelPendingWatch();
    partial_listing_.clear();
    listing_ = true;
    ListAfter("");
  }

  void ListAfter(const std::string& after) {
    hooks_.list(after, IgnoringStaleResults(
                           [this, sent = Clock::now()](Result<Page> page) {
                             RecordRevision(sent, page);
                             OnListed(sent, std::move(page));
                           }));
  }

  void Watch() {
    cancel_watch_ = hooks_.watch(
        revision_.number, options_.watch_timeout,
        IgnoringStaleResults([this, sent = Clock::now()](Result<Page> page) {
          const TimePoint answered = AnsweredAfter(sent, page);
          RecordRevision(answered, page);
          OnWatched(answered, std::move(page));
        }));
  }

  // A superseded watch would occupy a connection to the store until its timeout
  // and leave none for further calls.
  void CancelPendingWatch() {
    ++latest_call_;
    if (const CancelWatch cancel = std::exchange(cancel_watch_, nullptr)) {
      cancel();
    }
  }

  // Wraps `handle` so that it ignores the result of a call that completes after
  // Stop(), after destruction, or after a newer call has superseded it.
  PageCallback IgnoringStaleResults(std::function<void(Result<Page>)> handle) {
    return [weak = this->weak_from_this(), call = ++latest_call_,
            handle = std::move(handle)](Result<Page> page) {
      const auto self = weak.lock();
      if (self && !self->stopped_ && call == self->latest_call_) {
        self->RunStep([&handle, &page] { handle(std::move(page)); });
      }
    };
  }

  // Runs a step. If it throws, lists all objects again after a delay: what the
  // step did not apply would be missing otherwise.
  void RunStep(const std::function<void()>& step) {
    if (!RunGuarded("store_answer", step) && !stopped_) {
      OnCallFailed({FailureKind::kMalformedMessage, "store",
                    "the answer cannot be handled"});
      RunAfter(backoff_.OnFailure(), [this] { List(); });
    }
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
      self->SchedulePoll();
      self->RunStep([&self, &page] { self->OnPolled(Clock::now(), page); });
    });
  }

  // Leaves a listing that is under way alone, since it reads what is current.
  void OnPolled(TimePoint now, const Result<Page>& page) {
    if (listing_) {
      return;
    }
    if (!page) {
      if (hooks_.history) {
        List();
      }
      return;
    }
    if (ListIfChangeIsMissed(*page) || !hooks_.history) {
      return;
    }
    if (const auto current_at = hooks_.history->CurrentAt(page->revision)) {
      verified_at_ = std::max(verified_at_, *current_at);
    }
    if (now - verified_at_ > options_.max_unverified_time) {
      Verify(now);
    }
  }

  // Reads the first page, beside the watch that waits.
  void Verify(TimePoint now) {
    hooks_.list(
        "", [weak = this->weak_from_this(), now](const Result<Page>& page) {
          const auto self = weak.lock();
          if (self && !self->stopped_ && !self->listing_) {
            self->RunStep([&self, now, &page] { self->OnVerified(now, page); });
          }
        });
  }

  void OnVerified(TimePoint sent, const Result<Page>& page) {
    RecordRevision(sent, page);
    if (!page || page->more || page->revision.era != revision_.era) {
      List();
    } else if (!ListIfChangeIsMissed(*page)) {
      verified_at_ = std::max(verified_at_, sent);
    }
  }

  // Lists all objects again if the page has a change that was not delivered.
  bool ListIfChangeIsMissed(const Page& page) {
    const auto missed = UndeliveredChange(page);
    if (!missed) {
      return false;
    }
    if (hooks_.on_missed) {
      hooks_.on_missed(*missed);
    }
    List();
    return true;
  }

  // Returns a time before which the store did not answer a watch that was sent
  // at `sent`. It holds one without changes until the timeout.
  TimePoint AnsweredAfter(TimePoint sent, const Result<Page>& page) const {
    const bool was_held = page && page->items.empty() &&
                          Clock::now() - sent >= options_.watch_timeout;
    return was_held ? sent + options_.watch_timeout : sent;
  }

  void RecordRevision(TimePoint sent, const Result<Page>& page) {
    if (page && hooks_.history) {
      hooks_.history->OnAnswer(sent, page->revision);
    }
  }

  // Returns the revision of a change that the page shows and that no listing or
  // watch has delivered yet.
  std::optional<StoreRevision> UndeliveredChange(const Page& page) const {
    const auto found = std::find_if(page.items.begin(), page.items.end(),
                                    [this](const StoreItem<Item>& item) {
                                      return newest_revision_ < item.revision;
                                    });
    if (found != page.items.end()) {
      return found->revision;
    }
    // An older page may lack an object that was created since.
    const bool has_all_delivered =
        !page.more && !(page.revision < newest_revision_);
    return has_all_delivered && LacksKnownObject(page)
               ? std::optional(page.revision)
               : std::nullopt;
  }

  bool LacksKnownObject(const Page& page) const {
    std::set<std::string_view> names;
    for (const StoreItem<Item>& item : page.items) {
      names.insert(item.name);
    }
    return std::any_of(
        names_.begin(), names_.end(),
        [&names](const std::string& name) { return !names.contains(name); });
  }

  // Keeps what the polls are compared with.
  void OnDelivered(const std::vector<StoreItem<Item>>& items) {
    for (const StoreItem<Item>& item : items) {
      newest_revision_ = std::max(newest_revision_, item.revision);
      if (!hooks_.poll) {
        continue;
      }
      if (item.removed) {
        names_.erase(item.name);
      } else {
        names_.insert(item.name);
      }
    }
  }

  void OnListed(TimePoint sent, Result<Page> page) {
    if (!page) {
      OnCallFailed(page.last_reason());
      RunAfter(backoff_.OnFailure(), [this] { List(); });
      return;
    }
    if (page->revision.era < revision_.era) {
      OnCallFailed({FailureKind::kStaleVersion, "listing",
                    "it is from an earlier era of the store"});
      RunAfter(backoff_.OnFailure(), [this] { List(); });
      return;
    }
    OnCallSucceeded();
    // The watch starts from the revision of the first page, so that it reports
    // changes made while the remaining pages are read.
    if (partial_listing_.empty()) {
      listed_revision_ = page->revision;
      listed_at_ = sent;
    } else if (page->revision.era != listed_revision_.era) {
      List();
      return;
    }
    for (StoreItem<Item>& item : page->items) {
      partial_listing_.push_back(std::move(item));
    }
    if (page->more && !partial_listing_.empty()) {
      ListAfter(std::string(partial_listing_.back().name));
      return;
    }
    const bool was_restored =
        is_listed_ && listed_revision_.era > revision_.era;
    if (was_restored && hooks_.on_restored) {
      hooks_.on_restored(listed_revision_, revision_);
    }
    is_listed_ = true;
    listing_ = false;
    verified_at_ = std::max(verified_at_, listed_at_);
    revision_ = listed_revision_;
    names_.clear();
    OnDelivered(partial_listing_);
    hooks_.on_snapshot(std::exchange(partial_listing_, {}), revision_);
    RunAfter(options_.watch_delay, [this] { Watch(); });
  }

  void OnWatched(TimePoint answered, Result<Page> page) {
    if (page) {
      OnCallSucceeded();
      verified_at_ = std::max(verified_at_, answered);
      if (page->revision.era != revision_.era) {
        List();
        return;
      }
      revision_ = std::max(revision_, page->revision);
      OnDelivered(page->items);
      const bool may_be_cut_off =
          page->items.size() >= options_.full_watch_items;
      hooks_.on_changes(std::move(page->items), revision_);
      RunAfter(
          may_be_cut_off ? std::chrono::milliseconds(0) : options_.watch_delay,
          [this] { Watch(); });
      return;
    }
    listing_ = true;
    const bool history_discarded =
        page.last_reason().kind == FailureKind::kStaleVersion;
    if (!history_discarded) {
      OnCallFailed(page.last_reason());
    }
    RunAfter(history_discarded ? Duration::zero() : backoff_.OnFailure(),
             [this] { List(); });
  }

  void OnCallFailed(const Failure& failure) {
    if (!std::exchange(failing_, true)) {
      hooks_.on_failing(failure);
    }
  }

  void OnCallSucceeded() {
    backoff_.OnSuccess();
    if (std::exchange(failing_, false)) {
      hooks_.on_recovered();
    }
  }

  void RunAfter(Duration delay, std::function<void()> next) {
    timer_.expires_after(delay);
    timer_.async_wait([weak = this->weak_from_this(), next = std::move(next)](
                          boost::system::error_code error) {
      const auto self = weak.lock();
      if (!error && self && !self->stopped_) {
        self->RunStep(next);
      }
    });
  }

  const ListWatchOptions options_;
  const Hooks hooks_;
  Backoff backoff_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer poll_timer_;
  // Number of the latest call; results of earlier calls are ignored.
  uint64_t latest_call_ = 0;
  CancelWatch cancel_watch_;  // Of the latest watch; may have ended.
  // Highest revision of the items delivered so far.
  StoreRevision newest_revision_;
  std::set<std::string> names_;  // Of the objects that exist, if it polls.
  StoreRevision revision_;       // Up to which changes are known.
  StoreRevision listed_revision_;
  TimePoint listed_at_;     // Time at which that revision was asked for.
  TimePoint verified_at_;   // No change before this time was missed.
  bool is_listed_ = false;  // A listing was complete.
  bool listing_ = true;     // A listing is under way, or due after a failure.
  std::vector<StoreItem<Item>> partial_listing_;
  bool failing_ = false;
  bool stopped_ = false;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_LIST_WATCHER_H_
