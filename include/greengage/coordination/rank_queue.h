// The queue of sub-requests for one searcher, at the instance that owns it.
#ifndef GREENGAGE_COORDINATION_RANK_QUEUE_H_
#define GREENGAGE_COORDINATION_RANK_QUEUE_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "greengage/state/query.h"
#include "greengage/state/rank.h"
#include "greengage/state/time.h"

namespace greengage {

// How the ranks share a searcher that has more work than slots.
enum class RankOrdering : uint8_t {
  kStrictWithFloor,  // Most urgent first; lower ranks keep their floors.
  kWeighted,         // Weighted fair shares, without regard to urgency.
  kFifo,             // In order of arrival, over all ranks.
};

struct RankQueueOptions {
  RankOrdering ordering = RankOrdering::kStrictWithFloor;
  size_t capacity_per_rank = 256;  // Queued sub-requests.
  uint32_t slots = 2;              // Of the searcher.
  // Sub-requests sent beyond the slots, so that the searcher does not idle for
  // a round trip between two sub-requests.
  uint32_t extra_outstanding = 1;
  // Sub-requests that are not urgent are sent beyond the slots only if nothing
  // has been sent for this multiple of the mean service time.
  double extra_send_delay_ratio = 0.5;
  // Minimum share of the sub-requests sent, in percent; the first is unused.
  std::array<uint32_t, kRankCount> floor_percent{0, 10, 5};
};

// Why a sub-request was not queued. It did not run.
struct QueueRejection {
  Refusal refusal = Refusal::kOverloaded;
  Duration retry_after{};
};

// A sub-request removed from the queue, and the time that it was queued.
struct QueuedSubRequest {
  SubRequest request;
  Duration queue_time{};
};

struct PopResult {
  std::optional<QueuedSubRequest> next;   // To send now.
  std::vector<QueuedSubRequest> dropped;  // Expired: kNotRun, kDeadline.
};

// A bounded queue with one FIFO per rank. Sub-requests are identified by id and
// request id, since different instances may use equal ids. Not thread-safe.
class RankQueue {
 public:
  explicit RankQueue(RankQueueOptions options);

  // Queues a sub-request. Rejects it, with a retry delay, if its deadline has
  // passed, if the queue of its rank is full, or if the predicted wait exceeds
  // the time that it has left.
  std::optional<QueueRejection> Push(TimePoint now, SubRequest request);

  // Returns the next sub-request to send, if fewer than the slots plus
  // `extra_outstanding` are outstanding; call repeatedly until `next` is empty.
  // Drops sub-requests that can no longer meet their deadlines.
  PopResult Pop(TimePoint now);

  // Removes a queued sub-request, which proves that it did not run. Returns
  // false if it is not queued: it was sent, dropped, or never queued.
  bool Remove(uint64_t id, const std::string& request_id);

  // Must be called once for each sub-request that Pop() returned as `next`,
  // when it has ended. `service_time` is measured from sending; empty if the
  // sub-request was cancelled or lost.
  void Finish(TimePoint now, std::optional<Duration> service_time);

  // Predicts how long a sub-request of `rank` would wait if pushed now.
  Duration PredictedWait(Rank rank) const;

  // Empties the queue, for a searcher that has been removed.
  std::vector<QueuedSubRequest> Clear(TimePoint now);

  // Applies a changed configuration. Queued sub-requests stay queued.
  void set_options(RankQueueOptions options);

  size_t waiting(Rank rank) const { return queues_[IndexOf(rank)].size; }
  size_t waiting() const;
  uint32_t outstanding() const { return outstanding_; }

 private:
  struct Item {
    SubRequest request;
    TimePoint pushed;
    bool removed = false;
  };

  struct Fifo {
    std::deque<Item> items;
    size_t size = 0;    // Items that are not removed.
    double credit = 0;  // Sends owed to this rank.
  };

  bool IsExpired(TimePoint now, const Item& item) const;
  void DropExpired(TimePoint now, Fifo& fifo, PopResult& pop) const;
  std::optional<size_t> ChooseRank() const;
  std::optional<size_t> ChooseByFloor() const;
  std::optional<size_t> ChooseByWeight() const;
  std::optional<size_t> ChooseByArrival() const;
  QueuedSubRequest TakeFront(TimePoint now, Fifo& fifo) const;
  void UpdateCredits(size_t chosen);
  bool MaySend(TimePoint now, size_t rank_index) const;
  double ShareOf(size_t rank_index) const;

  RankQueueOptions options_;
  std::array<Fifo, kRankCount> queues_;
  uint32_t outstanding_ = 0;
  TimePoint last_sent_;
  Duration mean_service_{};
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_RANK_QUEUE_H_
