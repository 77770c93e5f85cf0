#include "greengage/coordination/rank_queue.h"

#include <criterion/criterion.h>

namespace greengage {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

SubRequest Make(uint64_t id, Rank rank, TimePoint deadline) {
  SubRequest request;
  request.id = id;
  request.request_id = "r" + std::to_string(id);
  request.rank = rank;
  request.deadline = deadline;
  return request;
}

}  // namespace

Test(RankQueue, SendsUrgentWorkFirstAndKeepsFloors) {
  RankQueueOptions options;
  options.slots = 1000;
  RankQueue queue(options);
  const TimePoint now;
  for (uint64_t id = 0; id < 200; ++id) {
    cr_assert(!queue.Push(now, Make(id, Rank::kUrgent, now + seconds(9))));
    cr_assert(!queue.Push(now, Make(id, Rank::kNormal, now + seconds(9))));
    cr_assert(!queue.Push(now, Make(id, Rank::kBackground, now + seconds(9))));
  }
  std::array<int, kRankCount> sent{};
  cr_assert(queue.Pop(now).next->request.rank == Rank::kUrgent);
  for (int i = 0; i < 200; ++i) {
    ++sent[IndexOf(queue.Pop(now).next->request.rank)];
  }
  cr_assert_geq(sent[1], 20);
  cr_assert_geq(sent[2], 10);
  cr_assert_geq(sent[0], 160);
}

Test(RankQueue, KeepsOutstandingNearTheSlots) {
  RankQueue queue(RankQueueOptions{});
  const TimePoint now;
  for (uint64_t id = 0; id < 9; ++id) {
    cr_assert(!queue.Push(now, Make(id, Rank::kUrgent, now + seconds(9))));
  }
  for (int i = 0; i < 3; ++i) {
    cr_assert(queue.Pop(now).next.has_value());
  }
  cr_assert(!queue.Pop(now).next);
  queue.Finish(now, milliseconds(5));
  cr_assert(queue.Pop(now).next.has_value());
}

Test(RankQueue, HoldsLowerRanksBackFromTheSearchersOwnQueue) {
  RankQueue queue(RankQueueOptions{});
  TimePoint now;
  cr_assert(!queue.Push(now, Make(0, Rank::kUrgent, now + seconds(9))));
  cr_assert(queue.Pop(now).next.has_value());
  queue.Finish(now, milliseconds(10));
  for (uint64_t id = 1; id < 9; ++id) {
    cr_assert(!queue.Push(now, Make(id, Rank::kBackground, now + seconds(9))));
  }
  cr_assert(queue.Pop(now).next.has_value());
  cr_assert(queue.Pop(now).next.has_value());
  cr_assert(!queue.Pop(now).next);
  cr_assert(queue.Pop(now + milliseconds(7)).next.has_value());
}

Test(RankQueue, DropsWhatCannotMeetItsDeadline) {
  RankQueue queue(RankQueueOptions{});
  const TimePoint now;
  cr_assert(!queue.Push(now, Make(1, Rank::kUrgent, now + milliseconds(5))));
  cr_assert(!queue.Push(now, Make(2, Rank::kUrgent, now + seconds(1))));
  const PopResult pop = queue.Pop(now + milliseconds(6));
  cr_assert_eq(pop.dropped.size(), 1U);
  cr_assert_eq(pop.dropped[0].request.id, 1U);
  cr_assert_eq(pop.next->request.id, 2U);
  cr_assert(pop.next->queue_time == milliseconds(6));
}

Test(RankQueue, RefusesAtOnceWithATimeToComeBack) {
  RankQueueOptions options;
  options.capacity_per_rank = 2;
  RankQueue queue(options);
  const TimePoint now;
  for (uint64_t id = 0; id < 2; ++id) {
    cr_assert(!queue.Push(now, Make(id, Rank::kNormal, now + seconds(1))));
  }
  const auto refusal =
      queue.Push(now, Make(3, Rank::kNormal, now + seconds(1)));
  cr_assert(refusal->refusal == Refusal::kOverloaded);
  cr_assert(refusal->retry_after > Duration::zero());
  cr_assert(!queue.Push(now, Make(4, Rank::kUrgent, now + seconds(1))));
}

Test(RankQueue, RemovesOnlyWhatWaits) {
  RankQueue queue(RankQueueOptions{});
  const TimePoint now;
  cr_assert(!queue.Push(now, Make(1, Rank::kUrgent, now + seconds(1))));
  cr_assert(!queue.Push(now, Make(2, Rank::kUrgent, now + seconds(1))));
  cr_assert_eq(queue.Pop(now).next->request.id, 1U);
  cr_assert(!queue.Remove(1, "r1"));
  cr_assert(!queue.Remove(2, "another"));
  cr_assert(queue.Remove(2, "r2"));
  cr_assert(!queue.Remove(2, "r2"));
  cr_assert(!queue.Pop(now).next);
}

}  // namespace greengage
