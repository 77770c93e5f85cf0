// News that still has to be passed on by gossip.
#ifndef GREENGAGE_COORDINATION_DISSEMINATION_QUEUE_H_
#define GREENGAGE_COORDINATION_DISSEMINATION_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace greengage {

// One item of news: a member whose record has changed, or, with an empty id,
// the configuration version.
struct DisseminationItem {
  std::string id;
  uint32_t rounds_sent = 0;
  uint32_t copies_received = 0;
};

// Not thread-safe. Items that have been sent the fewest times come first.
class DisseminationQueue {
 public:
  // Adds an item, or starts over with the one of the same id.
  void Add(std::string_view id);

  void Remove(std::string_view id);

  // Counts that another instance has sent the same item.
  void CountReceivedCopy(std::string_view id);

  // Counts a round for the first `count` items, and drops those that were
  // sent in `max_rounds` rounds or heard back `max_copies` times.
  void FinishRound(size_t count, uint32_t max_rounds, uint32_t max_copies);

  const std::vector<DisseminationItem>& items() const { return items_; }
  bool empty() const { return items_.empty(); }

 private:
  std::vector<DisseminationItem>::iterator Find(std::string_view id);

  std::vector<DisseminationItem> items_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_DISSEMINATION_QUEUE_H_
