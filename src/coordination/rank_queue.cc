#include "greengage/coordination/rank_queue.h"

#include <algorithm>
#include <utility>

namespace greengage {

namespace {

constexpr double kPercent = 100;
constexpr double kServiceSmoothing = 0.1;  // Weight of the newest value.
// Turns that a floor earns for each one that it promises, since some of its
// work is lost to deadlines and idle times.
constexpr double kFloorHeadroom = 1.1;
constexpr int kLargestSample = 4;  // In present means.
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(10);

}  // namespace

RankQueue::RankQueue(RankQueueOptions options) : options_(options) {}

std::optional<QueueRejection> RankQueue::Push(TimePoint now, SubRequest request) {
  Line& line = queues_[IndexOf(request.rank)];
  const Duration wait = PredictedWait(request.rank);
  const Duration time_left = request.deadline - now;
  if (time_left <= Duration::zero()) {
    return QueueRejection{Refusal::kDeadline, kLeastRetryAfter};
  }
  if (line.live >= options_.capacity_per_rank || wait > time_left) {
    return QueueRejection{Refusal::kOverloaded,
                        std::max(kLeastRetryAfter, wait - time_left)};
  }
  line.items.push_back({std::move(request), now});
  ++line.live;
  return std::nullopt;
}

PopResult RankQueue::Pop(TimePoint now) {
  PopResult pop;
  for (Line& line : queues_) {
    DropExpired(now, line, pop);
  }
  if (outstanding_ >= options_.slots + options_.extra_outstanding) {
    return pop;
  }
  const std::optional<size_t> chosen = ChooseLine();
  if (chosen && MaySend(now, *chosen)) {
    Charge(*chosen);
    pop.next = TakeFront(now, queues_[*chosen]);
    ++outstanding_;
    last_sent_ = now;
  }
  return pop;
}

bool RankQueue::Remove(uint64_t id, const std::string& request_id) {
  for (Line& line : queues_) {
    for (Waiting& item : line.items) {
      if (item.removed || item.request.id != id ||
          item.request.request_id != request_id) {
        continue;
      }
      item.removed = true;
      --line.live;
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
      std::min(*service_time, mean_service_ * kLargestSample);
  mean_service_ += std::chrono::duration_cast<Duration>(
      (sample - mean_service_) * kServiceSmoothing);
}

Duration RankQueue::PredictedWait(Rank rank) const {
  const double window = options_.slots + options_.extra_outstanding;
  const double own = static_cast<double>(waiting(rank));
  double ahead = 0;
  for (size_t i = 0; i <= IndexOf(rank); ++i) {
    ahead += static_cast<double>(queues_[i].live);
  }
  const double floor = options_.floor_percent[IndexOf(rank)] / kPercent;
  if (rank != Rank::kUrgent && floor > 0) {
    ahead = std::min(ahead, own / floor);
  }
  return std::chrono::duration_cast<Duration>(mean_service_ * ahead / window);
}

std::vector<QueuedSubRequest> RankQueue::Clear(TimePoint now) {
  std::vector<QueuedSubRequest> cleared;
  for (Line& line : queues_) {
    while (line.live > 0) {
      cleared.push_back(TakeFront(now, line));
    }
    line.items.clear();
  }
  return cleared;
}

void RankQueue::set_options(RankQueueOptions options) {
  options_ = options;
}

size_t RankQueue::waiting() const {
  size_t total = 0;
  for (const Line& line : queues_) {
    total += line.live;
  }
  return total;
}

bool RankQueue::IsExpired(TimePoint now, const Waiting& item) const {
  return now + mean_service_ > item.request.deadline;
}

void RankQueue::DropExpired(TimePoint now, Line& line, PopResult& pop) const {
  while (!line.items.empty()) {
    Waiting& front = line.items.front();
    if (front.removed) {
      line.items.pop_front();
    } else if (IsExpired(now, front)) {
      pop.dropped.push_back(TakeFront(now, line));
    } else {
      return;
    }
  }
}

std::optional<size_t> RankQueue::ChooseLine() const {
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
    if (queues_[i].live == 0) {
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
    if (queues_[i].live > 0 && (!chosen || credit > highest)) {
      chosen = i;
      highest = credit;
    }
  }
  return chosen;
}

// Each rank that waits earns its share of a turn; the chosen one pays for it.
void RankQueue::Charge(size_t chosen) {
  for (size_t i = 0; i < kRankCount; ++i) {
    Line& line = queues_[i];
    line.credit = line.live == 0 ? 0 : line.credit + ShareOf(i);
  }
  Line& line = queues_[chosen];
  line.credit -= 1;
  if (options_.ordering == RankOrdering::kStrictWithFloor) {
    line.credit = std::max(0.0, line.credit);
  }
}

// Beyond the slots, urgent work goes at once, since nothing that comes later
// may overtake it. Other work goes only when a slot should soon be free, so
// that it rarely stands in the way of urgent work at the searcher.
bool RankQueue::MaySend(TimePoint now, size_t line) const {
  if (outstanding_ < options_.slots ||
      options_.ordering == RankOrdering::kFifo) {
    return true;
  }
  const auto patience = std::chrono::duration_cast<Duration>(
      mean_service_ * options_.extra_send_delay_ratio);
  return line == IndexOf(Rank::kUrgent) || now - last_sent_ >= patience;
}

std::optional<size_t> RankQueue::ChooseByArrival() const {
  std::optional<size_t> chosen;
  for (size_t i = 0; i < kRankCount; ++i) {
    if (queues_[i].live == 0) {
      continue;
    }
    const TimePoint pushed = queues_[i].items.front().pushed;
    if (!chosen || pushed < queues_[*chosen].items.front().pushed) {
      chosen = i;
    }
  }
  return chosen;
}

QueuedSubRequest RankQueue::TakeFront(TimePoint now, Line& line) const {
  while (line.items.front().removed) {
    line.items.pop_front();
  }
  Waiting& front = line.items.front();
  QueuedSubRequest taken{std::move(front.request), now - front.pushed};
  line.items.pop_front();
  --line.live;
  return taken;
}

double RankQueue::ShareOf(size_t line) const {
  if (line > 0) {
    return kFloorHeadroom * options_.floor_percent[line] / kPercent;
  }
  double rest = kPercent;
  for (size_t i = 1; i < kRankCount; ++i) {
    rest -= options_.floor_percent[i];
  }
  return rest / kPercent;
}

}  // namespace greengage
