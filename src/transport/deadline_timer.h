// Multiplexes the deadlines of many calls onto one timer.
#ifndef GREENGAGE_TRANSPORT_DEADLINE_TIMER_H_
#define GREENGAGE_TRANSPORT_DEADLINE_TIMER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "greengage/state/time.h"

namespace greengage {

// Not thread-safe: must be used on the owner's strand only. A deadline cannot
// be removed; the owner must ignore the deadlines of calls that have ended.
class DeadlineTimer {
 public:
  using Id = uint64_t;
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

  explicit DeadlineTimer(const Strand& strand) : timer_(strand) {}

  void Add(TimePoint deadline, Id id) { queue_.emplace(deadline, id); }

  // Waits for the earliest deadline. `on_expired` runs on the strand and should
  // call TakeExpired() and then Arm() again. It must keep the owner alive.
  template <typename Callback>
  void Arm(Callback on_expired) {
    if (queue_.empty()) {
      return;
    }
    const TimePoint next = queue_.top().first;
    if (armed_for_ && *armed_for_ <= next) {
      return;
    }
    armed_for_ = next;
    timer_.expires_at(next);
    timer_.async_wait([on_expired = std::move(on_expired)](
                          boost::system::error_code error) mutable {
      if (!error) {
        on_expired();
      }
    });
  }

  // Removes and returns the calls whose deadline is not after `now`.
  std::vector<Id> TakeExpired(TimePoint now) {
    armed_for_.reset();
    std::vector<Id> expired;
    while (!queue_.empty() && queue_.top().first <= now) {
      expired.push_back(queue_.top().second);
      queue_.pop();
    }
    return expired;
  }

  void Cancel() { timer_.cancel(); }

 private:
  using Entry = std::pair<TimePoint, Id>;

  boost::asio::steady_timer timer_;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<Entry>> queue_;
  std::optional<TimePoint> armed_for_;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_DEADLINE_TIMER_H_
