#include "greengage/coordination/rank_queue.h"

#include <criterion/criterion.h>

namespace greengage {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

SubRequest MakeSubRequest(uint64_t id, Rank rank, TimePoint deadline) {
  SubRequest request;
  request.id = id;
  request.request_id = "r" + std::to_string(id);
  request.rank = rank;
  request.deadline = deadline;
  return request;
}

}  // namespace

Test(RankQueue, SendsUrgentFirstAndKeepsFloors) {
  RankQueueOptions options;
  options.slots = 1000;
  RankQueue queue(options);
  const TimePoint now;
  for (uint64_t id = 0; id < 200; ++id) {
    cr_assert(
        !queue.Push(now, MakeSubRequest(id, Rank::kUrgent, now + seconds(9))));
    cr_assert(
        !queue.Push(now, MakeSubRequest(id, Rank::kNormal, now + seconds(9))));
    cr_assert(!queue.Push(
        now, MakeSubRequest(id, Rank::kBackground, now + seconds(9))));
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

Test(RankQueue, LimitsOutstandingToSlotsPlusExtra) {
  RankQueue queue(RankQueueOptions{});
  const TimePoint now;
  for (uint64_t id = 0; id < 9; ++id) {
    cr_assert(
        !queue.Push(now, MakeSubRequest(id, Rank::kUrgent, now + seconds(9))));
  }
  for (int i = 0; i < 3; ++i) {
    cr_assert(queue.Pop(now).next.has_value());
  }
  cr_assert(!queue.Pop(now).next);
  queue.Finish(now, milliseconds(5));
  cr_assert(queue.Pop(now).next.has_value());
}

Test(RankQueue, DelaysLowerRanksBeyondTheSlots) {
  RankQueue queue(RankQueueOptions{});
  TimePoint now;
  cr_assert(
      !queue.Push(now, MakeSubRequest(0, Rank::kUrgent, now + seconds(9))));
  cr_assert(queue.Pop(now).next.has_value());
  queue.Finish(now, milliseconds(10));
  for (uint64_t id = 1; id < 9; ++id) {
    cr_assert(!queue.Push(
        now, MakeSubRequest(id, Rank::kBackground, now + seconds(9))));
  }
  cr_assert(queue.Pop(now).next.has_value());
  cr_assert(queue.Pop(now).next.has_value());
  cr_assert(!queue.Pop(now).next);
  cr_assert(queue.Pop(now + milliseconds(7)).next.has_value());
}

Test(RankQueue, DropsSubRequestsThatCannotMeetTheirDeadline) {
  RankQueue queue(RankQueueOptions{});
  const TimePoint now;
  cr_assert(!queue.Push(
      now, MakeSubRequest(1, Rank::kUrgent, now + milliseconds(5))));
  cr_assert(
      !queue.Push(now, MakeSubRequest(2, Rank::kUrgent, now + seconds(1))));
  const PopResult pop = queue.Pop(now + milliseconds(6));
  cr_assert_eq(pop.dropped.size(), 1U);
  cr_assert_eq(pop.dropped[0].request.id, 1U);
  cr_assert_eq(pop.next->request.id, 2U);
  cr_assert(pop.next->queue_time == milliseconds(6));
}

Test(RankQueue, RejectsWithRetryDelayWhenFull) {
  RankQueueOptions options;
  options.capacity_per_rank = 2;
  RankQueue queue(options);
  const TimePoint now;
  for (uint64_t id = 0; id < 2; ++id) {
    cr_assert(
        !queue.Push(now, MakeSubRequest(id, Rank::kNormal, now + seconds(1))));
  }
  const auto rejection =
      queue.Push(now, MakeSubRequest(3, Rank::kNormal, now + seconds(1)));
  cr_assert(rejection->refusal == Refusal::kOverloaded);
  cr_assert(rejection->retry_after > Duration::zero());
  cr_assert(
      !queue.Push(now, MakeSubRequest(4, Rank::kUrgent, now + seconds(1))));
}

Test(RankQueue, RemovesOnlyQueuedSubRequests) {
  RankQueue queue(RankQueueOptions{});
  const TimePoint now;
  cr_assert(
      !queue.Push(now, MakeSubRequest(1, Rank::kUrgent, now + seconds(1))));
  cr_assert(
      !queue.Push(now, MakeSubRequest(2, Rank::kUrgent, now + seconds(1))));
  cr_assert_eq(queue.Pop(now).next->request.id, 1U);
  cr_assert(!queue.Remove(1, "r1"));
  cr_assert(!queue.Remove(2, "another"));
  cr_assert(queue.Remove(2, "r2"));
  cr_assert(!queue.Remove(2, "r2"));
  cr_assert(!queue.Pop(now).next);
}

}  // namespace greengage
