// Bounds the memory that unfinished messages of many connections take up
// together.
#ifndef GREENGAGE_COORDINATION_RECEIVE_BUDGET_H_
#define GREENGAGE_COORDINATION_RECEIVE_BUDGET_H_

#include <atomic>
#include <cstddef>

namespace greengage {

// The limits of one connection allow a large answer. If many servers send large
// answers and never finish them, all connections together would exceed the
// memory of the process. The first bytes of each message are not counted, so
// that ordinary messages are received while large ones use the budget up.
// Thread-safe.
class ReceiveBudget {
 public:
  // Bytes of each message that are not counted.
  static constexpr size_t kFreeBytes = size_t{16} * 1024;

  explicit ReceiveBudget(size_t max_bytes) : max_bytes_(max_bytes) {}

  ReceiveBudget(const ReceiveBudget&) = delete;
  ReceiveBudget& operator=(const ReceiveBudget&) = delete;

  // Changes the share of one message from `reserved` bytes to what a message of
  // `size` bytes needs. Returns false and changes nothing if the budget does
  // not allow it.
  bool Resize(size_t& reserved, size_t size);

  // Gives the share of a message back.
  void Release(size_t& reserved);

  // Returns the bytes that all messages have reserved.
  size_t reserved() const { return reserved_; }

 private:
  const size_t max_bytes_;
  std::atomic<size_t> reserved_ = 0;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_RECEIVE_BUDGET_H_
