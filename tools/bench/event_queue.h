// Virtual time: events run in the order of their times.
#ifndef TOOLS_BENCH_EVENT_QUEUE_H_
#define TOOLS_BENCH_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "greengage/state/time.h"

namespace greengage::bench {

// Events at the same time run in the order in which they were added.
class EventQueue {
 public:
  using Event = std::function<void()>;

  TimePoint now() const { return now_; }

  void At(TimePoint time, Event event) {
    events_.push({time, next_sequence_++, std::move(event)});
  }

  void After(Duration delay, Event event) {
    At(now_ + delay, std::move(event));
  }

  // Runs what is due up to and including `end`.
  void RunUntil(TimePoint end) {
    while (!events_.empty() && events_.top().time <= end) {
      Entry entry = std::move(const_cast<Entry&>(events_.top()));
      events_.pop();
      now_ = entry.time;
      entry.event();
    }
    now_ = end;
  }

 private:
  struct Entry {
    TimePoint time;
    uint64_t sequence = 0;
    Event event;

    bool operator<(const Entry& other) const {
      return time != other.time ? time > other.time : sequence > other.sequence;
    }
  };

  TimePoint now_;
  uint64_t next_sequence_ = 0;
  std::priority_queue<Entry> events_;
};

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_EVENT_QUEUE_H_
