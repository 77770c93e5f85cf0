// Commands from any thread to the one strand that executes them in batches.
#ifndef GREENGAGE_TRANSPORT_MAILBOX_H_
#define GREENGAGE_TRANSPORT_MAILBOX_H_

#include <cstdint>
#include <mutex>
#include <utility>
#include <vector>

namespace greengage {

// What the sender has to do after Mailbox::Push().
enum class PushResult : uint8_t {
  kClosed,    // The item was not taken.
  kQueued,    // A run that takes the item is already scheduled.
  kSchedule,  // The sender has to schedule a run.
};

// Thread-safe queue that asks for one scheduled run for many items.
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

  // Takes all items ahead of the scheduled run.
  std::vector<T> Take() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(items_, {});
  }

  // Takes all items in the scheduled run itself.
  std::vector<T> TakeScheduled() {
    const std::lock_guard<std::mutex> lock(mutex_);
    scheduled_ = false;
    return std::exchange(items_, {});
  }

  // Refuses further items and gives back those not taken yet.
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
