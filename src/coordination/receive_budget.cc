#include "greengage/coordination/receive_budget.h"

#include <utility>

namespace greengage {

ReceiveBudget::Share::Share(std::shared_ptr<ReceiveBudget> budget,
                            std::function<void()> on_evicted)
    : budget_(std::move(budget)), on_evicted_(std::move(on_evicted)) {}

ReceiveBudget::Share::~Share() {
  Release();
}

bool ReceiveBudget::Share::Resize(TimePoint now, size_t size) {
  const size_t needed = size > kFreeBytes ? size - kFreeBytes : 0;
  std::vector<std::function<void()>> evicted;
  {
    const std::lock_guard lock(budget_->mutex_);
    if (evicted_) {
      return false;
    }
    if (needed == 0) {
      budget_->Remove(*this);
      return true;
    }
    if (needed > reserved_ &&
        !budget_->MakeRoom(now, *this, needed - reserved_, evicted)) {
      return false;
    }
    if (reserved_ == 0) {
      since_ = now;
      budget_->shares_.push_back(this);
    }
    budget_->reserved_ += needed - reserved_;
    reserved_ = needed;
  }
  for (const std::function<void()>& on_evicted : evicted) {
    on_evicted();
  }
  return true;
}

void ReceiveBudget::Share::Release() {
  const std::lock_guard lock(budget_->mutex_);
  budget_->Remove(*this);
  evicted_ = false;
}

bool ReceiveBudget::Share::evicted() const {
  const std::lock_guard lock(budget_->mutex_);
  return evicted_;
}

size_t ReceiveBudget::reserved() const {
  const std::lock_guard lock(mutex_);
  return reserved_;
}

bool ReceiveBudget::MakeRoom(TimePoint now,
                             const Share& share,
                             size_t growth,
                             std::vector<std::function<void()>>& evicted) {
  if (growth > max_bytes_) {
    return false;
  }
  const size_t allowed = max_bytes_ - growth;
  std::vector<Share*> oldest;
  size_t left = reserved_;
  for (Share* const other : shares_) {
    if (left <= allowed || now - other->since_ < kProtectedTime) {
      break;
    }
    if (other != &share) {
      oldest.push_back(other);
      left -= other->reserved_;
    }
  }
  if (left > allowed) {
    return false;
  }
  for (Share* const other : oldest) {
    Remove(*other);
    other->evicted_ = true;
    evicted.push_back(other->on_evicted_);
  }
  return true;
}

void ReceiveBudget::Remove(Share& share) {
  if (share.reserved_ > 0) {
    reserved_ -= std::exchange(share.reserved_, 0);
    shares_.remove(&share);
  }
}

}  // namespace greengage
