// The work that waits for one searcher, at the instance that owns it.
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

// How ranks share a searcher that has more work than slots.
enum class RankOrdering : uint8_t {
  kStrictWithFloor,  // The most urgent first; lower ranks keep their floors.
  kWeighted,         // Shares in proportion to weights, whatever the rank.
  kFifo,          // First come, first served.
};

struct RankQueueOptions {
  RankOrdering ordering = RankOrdering::kStrictWithFloor;
  size_t capacity_per_rank = 256;  // Waiting sub-requests.
  uint32_t slots = 2;              // Of the searcher.
  uint32_t extra_outstanding = 1;  // Sent beyond the slots, to hide the way.
  // Work that is not urgent is sent beyond the slots only when nothing has been
  // sent for this share of the mean service time.
  double extra_send_delay_ratio = 0.5;
  // Least share of the sub-requests sent, in percent; the first is unused.
  std::array<uint32_t, kRankCount> floor_percent{0, 10, 5};
};

// Why a sub-request was not taken in. It did not run.
struct QueueRejection {
  Refusal refusal = Refusal::kOverloaded;
  Duration retry_after{};
};

// A sub-request that leaves the queue, and how long it waited.
struct QueuedSubRequest {
  SubRequest request;
  Duration queue_time{};
};

struct PopResult {
  std::optional<QueuedSubRequest> next;   // To be sent now.
  std::vector<QueuedSubRequest> dropped;  // Too late: kNotRun, kDeadline.
};

// Not thread-safe. Each sub-request is keyed by its id and request id, since
// ids of different instances may be equal.
class RankQueue {
 public:
  explicit RankQueue(RankQueueOptions options);

  // Takes in a sub-request, or says why not and when to come back: the queue
  // of its rank is full, or its turn would come after its deadline.
  std::optional<QueueRejection> Push(TimePoint now, SubRequest request);

  // The next to send while fewer than slots plus the extra are outstanding;
  // call again until `next` is empty. What cannot meet its deadline any more
  // is dropped on the way.
  PopResult Pop(TimePoint now);

  // Removes a waiting sub-request, which proves that it did not run. False if
  // it does not wait here: it was sent, dropped, or never taken in.
  bool Remove(uint64_t id, const std::string& request_id);

  // Must be called once for each sub-request that Pop() gave out, when its
  // answer or end is known. `service_time` counts from sending; empty when
  // the sub-request was cancelled or lost.
  void Finish(TimePoint now, std::optional<Duration> service_time);

  // How long a sub-request of `rank` pushed now would wait.
  Duration PredictedWait(Rank rank) const;

  // Empties the queue, for a searcher that has gone.
  std::vector<QueuedSubRequest> Clear(TimePoint now);

  // Follows a changed configuration. Work that waits stays.
  void set_options(RankQueueOptions options);

  size_t waiting(Rank rank) const { return queues_[IndexOf(rank)].live; }
  size_t waiting() const;
  uint32_t outstanding() const { return outstanding_; }

 private:
  struct Waiting {
    SubRequest request;
    TimePoint pushed;
    bool removed = false;
  };

  struct Line {
    std::deque<Waiting> items;
    size_t live = 0;    // Items that are not removed.
    double credit = 0;  // Turns owed to this rank.
  };

  bool IsExpired(TimePoint now, const Waiting& item) const;
  void DropExpired(TimePoint now, Line& line, PopResult& pop) const;
  std::optional<size_t> ChooseLine() const;
  std::optional<size_t> ChooseByFloor() const;
  std::optional<size_t> ChooseByWeight() const;
  std::optional<size_t> ChooseByArrival() const;
  QueuedSubRequest TakeFront(TimePoint now, Line& line) const;
  void Charge(size_t chosen);
  bool MaySend(TimePoint now, size_t line) const;
  double ShareOf(size_t line) const;

  RankQueueOptions options_;
  std::array<Line, kRankCount> queues_;
  uint32_t outstanding_ = 0;
  TimePoint last_sent_;
  Duration mean_service_{};
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_RANK_QUEUE_H_
