// Queue of changes to disseminate by gossip.
#ifndef GREENGAGE_COORDINATION_DISSEMINATION_QUEUE_H_
#define GREENGAGE_COORDINATION_DISSEMINATION_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace greengage {

// A member whose record changed, or, if `id` is empty, the configuration
// version.
struct DisseminationItem {
  std::string id;
  uint32_t rounds_sent = 0;
  uint32_t copies_received = 0;
};

// Ordered by the number of rounds in which an item was sent, fewest first. Not
// thread-safe.
class DisseminationQueue {
 public:
  // Adds an item, or resets the counters of the item with the same id.
  void Add(std::string_view id);

  void Remove(std::string_view id);

  // Counts a copy of the item received from another instance. Does nothing if
  // the item is not queued.
  void CountReceivedCopy(std::string_view id);

  // Counts a round for the first `count` items, and removes the items that were
  // sent in `max_rounds` rounds or received `max_copies` times.
  void FinishRound(size_t count, uint32_t max_rounds, uint32_t max_copies);

  const std::vector<DisseminationItem>& items() const { return items_; }
  bool empty() const { return items_.empty(); }

 private:
  std::vector<DisseminationItem>::iterator Find(std::string_view id);

  std::vector<DisseminationItem> items_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_DISSEMINATION_QUEUE_H_
