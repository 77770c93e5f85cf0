// A queue that passes commands from any thread to one strand, which executes
// them in batches.
#ifndef GREENGAGE_TRANSPORT_MAILBOX_H_
#define GREENGAGE_TRANSPORT_MAILBOX_H_

#include <cstdint>
#include <mutex>
#include <utility>
#include <vector>

namespace greengage {

// Result of Mailbox::Push().
enum class PushResult : uint8_t {
  kClosed,    // The item was not queued.
  kQueued,    // A run that will process the item is already scheduled.
  kSchedule,  // The sender must schedule a run.
};

// Thread-safe. Needs only one scheduled run for several items.
template <typename T>
class Mailbox {
 public:
  // Moves from `item` unless the mailbox is closed.
  PushResult Push(T& item) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (closed_) {
      return PushResult::kClosed;
    }
    items_.push_back(std::move(item));
    return std::exchange(scheduled_, true) ? PushResult::kQueued
                                           : PushResult::kSchedule;
  }

  // Removes and returns all items; the scheduled run remains due.
  std::vector<T> Take() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(items_, {});
  }

  // Removes and returns all items. To be called by the scheduled run, so that
  // the next Push() asks for another run.
  std::vector<T> TakeScheduled() {
    const std::lock_guard<std::mutex> lock(mutex_);
    scheduled_ = false;
    return std::exchange(items_, {});
  }

  // Rejects further items and returns those still queued.
  std::vector<T> Close() {
    const std::lock_guard<std::mutex> lock(mutex_);
    closed_ = true;
    return std::exchange(items_, {});
  }

  bool closed() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return closed_;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<T> items_;
  bool scheduled_ = false;
  bool closed_ = false;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_MAILBOX_H_
