#include "greengage/coordination/news_queue.h"

#include <algorithm>

namespace greengage {

void NewsQueue::Add(std::string_view id) {
  Remove(id);
  items_.insert(items_.begin(), NewsItem{.id = std::string(id)});
}

void NewsQueue::Remove(std::string_view id) {
  const auto found = Find(id);
  if (found != items_.end()) {
    items_.erase(found);
  }
}

void NewsQueue::CountCopy(std::string_view id) {
  const auto found = Find(id);
  if (found != items_.end()) {
    ++found->copies_heard;
  }
}

void NewsQueue::FinishRound(size_t count,
                            uint32_t max_rounds,
                            uint32_t max_copies) {
  for (size_t i = 0; i < std::min(count, items_.size()); ++i) {
    ++items_[i].rounds_sent;
  }
  std::erase_if(items_, [&](const NewsItem& item) {
    return item.rounds_sent >= max_rounds || item.copies_heard >= max_copies;
  });
  std::stable_sort(items_.begin(), items_.end(),
                   [](const NewsItem& a, const NewsItem& b) {
                     return a.rounds_sent < b.rounds_sent;
                   });
}

std::vector<NewsItem>::iterator NewsQueue::Find(std::string_view id) {
  return std::find_if(items_.begin(), items_.end(),
                      [&](const NewsItem& item) { return item.id == id; });
}

}  // namespace greengage
