// Deadlines of many calls on one timer.
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

// Used on its owner's strand only. A deadline cannot be taken back: a call
// that has ended by then is for the owner to pass over.
class DeadlineTimer {
 public:
  using Id = uint64_t;
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

  explicit DeadlineTimer(const Strand& strand) : timer_(strand) {}

  void Add(TimePoint deadline, Id id) { queue_.emplace(deadline, id); }

  // Waits for the first deadline. `wake` runs on the strand and should call
  // TakeExpired() and Arm() again; it must keep the owner alive.
  template <typename Wake>
  void Arm(Wake wake) {
    if (queue_.empty()) {
      return;
    }
    const TimePoint next = queue_.top().first;
    if (armed_ && *armed_ <= next) {
      return;
    }
    armed_ = next;
    timer_.expires_at(next);
    timer_.async_wait(
        [wake = std::move(wake)](boost::system::error_code error) mutable {
          if (!error) {
            wake();
          }
        });
  }

  std::vector<Id> TakeExpired(TimePoint now) {
    armed_.reset();
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
  std::optional<TimePoint> armed_;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_DEADLINE_TIMER_H_
