// Bounds the memory that unfinished messages of many connections take up
// together.
#ifndef GREENGAGE_COORDINATION_RECEIVE_BUDGET_H_
#define GREENGAGE_COORDINATION_RECEIVE_BUDGET_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <vector>

#include "greengage/state/time.h"

namespace greengage {

// The limits of one connection allow a large message. If many senders send
// large messages and never finish them, all connections together would exceed
// the memory of the process. The first bytes of each message are not counted,
// so that ordinary messages are received while large ones use the budget up.
//
// A message that needs more than is left takes the memory of those that have
// been unfinished for the longest time, so that stalled senders do not keep it
// from others. Thread-safe.
class ReceiveBudget {
 public:
  // Bytes of each message that are not counted.
  static constexpr size_t kFreeBytes = size_t{16} * 1024;

  // A message keeps its memory for this time. Otherwise, none would be finished
  // while more large ones arrive than there is memory for.
  static constexpr Duration kProtectedTime = std::chrono::milliseconds(250);

  // The memory of the message that one connection receives.
  class Share {
   public:
    // `on_evicted` runs once the memory is needed for another message, on the
    // thread that needs it. It may run later than the end of the message, which
    // evicted() tells.
    Share(std::shared_ptr<ReceiveBudget> budget,
          std::function<void()> on_evicted);
    ~Share();

    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    // Takes what a message of `size` bytes needs. Returns false and changes
    // nothing if the budget does not allow it, or after an eviction.
    bool Resize(TimePoint now, size_t size);

    // Gives the memory back at the end of a message.
    void Release();

    // Returns whether the memory of the present message was taken away.
    bool evicted() const;

   private:
    friend class ReceiveBudget;

    const std::shared_ptr<ReceiveBudget> budget_;
    const std::function<void()> on_evicted_;
    // Guarded by the mutex of the budget.
    size_t reserved_ = 0;
    TimePoint since_;
    bool evicted_ = false;
  };

  explicit ReceiveBudget(size_t max_bytes) : max_bytes_(max_bytes) {}

  ReceiveBudget(const ReceiveBudget&) = delete;
  ReceiveBudget& operator=(const ReceiveBudget&) = delete;

  // Returns the bytes that all messages have reserved.
  size_t reserved() const;

 private:
  // Frees memory for `growth` more bytes of `share`, and adds the hooks of the
  // shares that it evicts to `evicted`. Returns false and evicts none if that
  // would not free enough.
  bool MakeRoom(TimePoint now,
                const Share& share,
                size_t growth,
                std::vector<std::function<void()>>& evicted);
  void Remove(Share& share);

  const size_t max_bytes_;
  mutable std::mutex mutex_;
  size_t reserved_ = 0;
  std::list<Share*> shares_;  // Those with memory, the oldest first.
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_RECEIVE_BUDGET_H_
