#include "greengage/coordination/receive_budget.h"

#include <utility>

namespace greengage {

bool ReceiveBudget::Resize(size_t& reserved, size_t size) {
  const size_t needed = size > kFreeBytes ? size - kFreeBytes : 0;
  if (needed <= reserved) {
    reserved_ -= reserved - needed;
    reserved = needed;
    return true;
  }
  const size_t growth = needed - reserved;
  size_t total = reserved_;
  do {
    if (growth > max_bytes_ || total > max_bytes_ - growth) {
      return false;
    }
  } while (!reserved_.compare_exchange_weak(total, total + growth));
  reserved = needed;
  return true;
}

void ReceiveBudget::Release(size_t& reserved) {
  reserved_ -= std::exchange(reserved, 0);
}

}  // namespace greengage
