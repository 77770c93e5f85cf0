#include "greengage/coordination/rank_queue.h"

#include <algorithm>
#include <utility>

namespace greengage {

namespace {

constexpr double kPercent = 100;
constexpr double kServiceSmoothing = 0.1;  // Weight of the newest value.
// Factor by which credits are earned faster than the floor requires, since some
// of them are lost to expired sub-requests and idle times.
constexpr double kFloorHeadroom = 1.1;
// Upper bound of a service time sample, as a multiple of the current mean.
constexpr int kMaxSampleRatio = 4;
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(10);

}  // namespace

RankQueue::RankQueue(RankQueueOptions options) : options_(options) {}

std::optional<QueueRejection> RankQueue::Push(TimePoint now,
                                              SubRequest request) {
  Fifo& fifo = queues_[IndexOf(request.rank)];
  const Duration wait = PredictedWait(request.rank);
  const Duration time_left = request.deadline - now;
  if (time_left <= Duration::zero()) {
    return QueueRejection{Refusal::kDeadline, kMinRetryDelay};
  }
  if (fifo.size >= options_.capacity_per_rank || wait > time_left) {
    return QueueRejection{Refusal::kOverloaded,
                          std::max(kMinRetryDelay, wait - time_left)};
  }
  fifo.items.push_back({std::move(request), now});
  ++fifo.size;
  return std::nullopt;
}

PopResult RankQueue::Pop(TimePoint now) {
  PopResult pop;
  for (Fifo& fifo : queues_) {
    DropExpired(now, fifo, pop);
  }
  if (outstanding_ >= options_.slots + options_.extra_outstanding) {
    return pop;
  }
  const std::optional<size_t> chosen = ChooseRank();
  if (chosen && MaySend(now, *chosen)) {
    UpdateCredits(*chosen);
    pop.next = TakeFront(now, queues_[*chosen]);
    ++outstanding_;
    last_sent_ = now;
  }
  return pop;
}

bool RankQueue::Remove(uint64_t id, const std::string& request_id) {
  for (Fifo& fifo : queues_) {
    for (Item& item : fifo.items) {
      if (item.removed || item.request.id != id ||
          item.request.request_id != request_id) {
        continue;
      }
      item.removed = true;
      --fifo.size;
      return true;
    }
  }
  return false;
}

void RankQueue::Finish(TimePoint /*now*/,
                       std::optional<Duration> service_time) {
  if (outstanding_ > 0) {
    --outstanding_;
  }
  if (!service_time) {
    return;
  }
  if (mean_service_ == Duration::zero()) {
    mean_service_ = *service_time;
    return;
  }
  const Duration sample =
      std::min(*service_time, mean_service_ * kMaxSampleRatio);
  mean_service_ += std::chrono::duration_cast<Duration>(
      (sample - mean_service_) * kServiceSmoothing);
}

Duration RankQueue::PredictedWait(Rank rank) const {
  const double window = options_.slots + options_.extra_outstanding;
  const double own = static_cast<double>(waiting(rank));
  double ahead = 0;
  for (size_t i = 0; i <= IndexOf(rank); ++i) {
    ahead += static_cast<double>(queues_[i].size);
  }
  const double floor = options_.floor_percent[IndexOf(rank)] / kPercent;
  if (rank != Rank::kUrgent && floor > 0) {
    ahead = std::min(ahead, own / floor);
  }
  return std::chrono::duration_cast<Duration>(mean_service_ * ahead / window);
}

std::vector<QueuedSubRequest> RankQueue::Clear(TimePoint now) {
  std::vector<QueuedSubRequest> cleared;
  for (Fifo& fifo : queues_) {
    while (fifo.size > 0) {
      cleared.push_back(TakeFront(now, fifo));
    }
    fifo.items.clear();
  }
  return cleared;
}

void RankQueue::set_options(RankQueueOptions options) {
  options_ = options;
}

size_t RankQueue::waiting() const {
  size_t total = 0;
  for (const Fifo& fifo : queues_) {
    total += fifo.size;
  }
  return total;
}

bool RankQueue::IsExpired(TimePoint now, const Item& item) const {
  return now + mean_service_ > item.request.deadline;
}

void RankQueue::DropExpired(TimePoint now, Fifo& fifo, PopResult& pop) const {
  while (!fifo.items.empty()) {
    Item& front = fifo.items.front();
    if (front.removed) {
      fifo.items.pop_front();
    } else if (IsExpired(now, front)) {
      pop.dropped.push_back(TakeFront(now, fifo));
    } else {
      return;
    }
  }
}

std::optional<size_t> RankQueue::ChooseRank() const {
  switch (options_.ordering) {
    case RankOrdering::kStrictWithFloor:
      return ChooseByFloor();
    case RankOrdering::kWeighted:
      return ChooseByWeight();
    case RankOrdering::kFifo:
      return ChooseByArrival();
  }
  return std::nullopt;
}

std::optional<size_t> RankQueue::ChooseByFloor() const {
  std::optional<size_t> most_urgent;
  for (size_t i = 0; i < kRankCount; ++i) {
    if (queues_[i].size == 0) {
      continue;
    }
    if (i > 0 && queues_[i].credit + ShareOf(i) >= 1) {
      return i;
    }
    if (!most_urgent) {
      most_urgent = i;
    }
  }
  return most_urgent;
}

std::optional<size_t> RankQueue::ChooseByWeight() const {
  std::optional<size_t> chosen;
  double highest = 0;
  for (size_t i = 0; i < kRankCount; ++i) {
    const double credit = queues_[i].credit + ShareOf(i);
    if (queues_[i].size > 0 && (!chosen || credit > highest)) {
      chosen = i;
      highest = credit;
    }
  }
  return chosen;
}

// Each rank with queued sub-requests earns its share of a send, which is
// charged to the chosen rank.
void RankQueue::UpdateCredits(size_t chosen) {
  for (size_t i = 0; i < kRankCount; ++i) {
    Fifo& fifo = queues_[i];
    fifo.credit = fifo.size == 0 ? 0 : fifo.credit + ShareOf(i);
  }
  Fifo& fifo = queues_[chosen];
  fifo.credit -= 1;
  if (options_.ordering == RankOrdering::kStrictWithFloor) {
    fifo.credit = std::max(0.0, fifo.credit);
  }
}

// Beyond the slots, urgent sub-requests are sent at once, since no later one
// may overtake them. Others are sent only when a slot is expected to become
// free soon, so that they rarely delay urgent ones at the searcher.
bool RankQueue::MaySend(TimePoint now, size_t rank_index) const {
  if (outstanding_ < options_.slots ||
      options_.ordering == RankOrdering::kFifo) {
    return true;
  }
  const auto min_gap = std::chrono::duration_cast<Duration>(
      mean_service_ * options_.extra_send_delay_ratio);
  return rank_index == IndexOf(Rank::kUrgent) || now - last_sent_ >= min_gap;
}

std::optional<size_t> RankQueue::ChooseByArrival() const {
  std::optional<size_t> chosen;
  for (size_t i = 0; i < kRankCount; ++i) {
    if (queues_[i].size == 0) {
      continue;
    }
    const TimePoint pushed = queues_[i].items.front().pushed;
    if (!chosen || pushed < queues_[*chosen].items.front().pushed) {
      chosen = i;
    }
  }
  return chosen;
}

QueuedSubRequest RankQueue::TakeFront(TimePoint now, Fifo& fifo) const {
  while (fifo.items.front().removed) {
    fifo.items.pop_front();
  }
  Item& front = fifo.items.front();
  QueuedSubRequest taken{std::move(front.request), now - front.pushed};
  fifo.items.pop_front();
  --fifo.size;
  return taken;
}

double RankQueue::ShareOf(size_t rank_index) const {
  if (rank_index > 0) {
    return kFloorHeadroom * options_.floor_percent[rank_index] / kPercent;
  }
  double rest = kPercent;
  for (size_t i = 1; i < kRankCount; ++i) {
    rest -= options_.floor_percent[i];
  }
  return rest / kPercent;
}

}  // namespace greengage
