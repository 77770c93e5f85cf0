#include "greengage/coordination/dissemination_queue.h"

#include <algorithm>

namespace greengage {

void DisseminationQueue::Add(std::string_view id) {
  Remove(id);
  items_.insert(items_.begin(), DisseminationItem{.id = std::string(id)});
}

void DisseminationQueue::Remove(std::string_view id) {
  const auto found = Find(id);
  if (found != items_.end()) {
    items_.erase(found);
  }
}

void DisseminationQueue::CountReceivedCopy(std::string_view id) {
  const auto found = Find(id);
  if (found != items_.end()) {
    ++found->copies_received;
  }
}

void DisseminationQueue::FinishRound(size_t count,
                                     uint32_t max_rounds,
                                     uint32_t max_copies) {
  for (size_t i = 0; i < std::min(count, items_.size()); ++i) {
    ++items_[i].rounds_sent;
  }
  std::erase_if(items_, [&](const DisseminationItem& item) {
    return item.rounds_sent >= max_rounds || item.copies_received >= max_copies;
  });
  std::stable_sort(items_.begin(), items_.end(),
                   [](const DisseminationItem& a, const DisseminationItem& b) {
                     return a.rounds_sent < b.rounds_sent;
                   });
}

std::vector<DisseminationItem>::iterator DisseminationQueue::Find(
    std::string_view id) {
  return std::find_if(
      items_.begin(), items_.end(),
      [&](const DisseminationItem& item) { return item.id == id; });
}

}  // namespace greengage
