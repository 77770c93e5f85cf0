// The hedging and cancellation of attempts by QueryPlan.
#include <algorithm>

#include "greengage/coordination/query_plan.h"

namespace greengage {

void QueryPlan::ScheduleHedge(TimePoint now, size_t shard) {
  ShardProgress& progress = shards_[shard];
  progress.hedge_at = TimePoint::max();
  if (!query_.idempotent ||
      progress.attempts >= context_->hedge_policy->max_attempts()) {
    return;
  }
  progress.hedge_at =
      now + context_->hedge_policy->Delay(now, query_.service, query_.rank);
  next_timer_ = std::min(next_timer_, progress.hedge_at);
}

void QueryPlan::Hedge(TimePoint now, size_t shard, QueryActions& actions) {
  const std::optional<Endpoint> searcher = ChooseReplica(now, shard);
  if (!searcher) {
    shards_[shard].hedge_at = TimePoint::max();
    return;
  }
  if (IsQueuedAt(now, shard, *searcher) ||
      !context_->hedge_budget->TrySpend(query_.rank)) {
    ScheduleHedge(now, shard);
    return;
  }
  SendTo(now, shard, *searcher, SendReason::kHedge, actions);
  CancelSuperseded(now, shard, actions);
}

// True if an attempt in flight at `searcher` may still be queued there. It is
// stuck instead if `searcher` has answered a sub-request sent later, or none
// within the hedge delay.
bool QueryPlan::IsQueuedAt(TimePoint now,
                           size_t shard,
                           const Endpoint& searcher) const {
  const std::optional<SearcherView> view =
      context_->searchers->View(now, searcher);
  const Duration delay =
      context_->hedge_policy->Delay(now, query_.service, query_.rank);
  if (!view || now - view->last_answer > delay) {
    return false;
  }
  const std::vector<uint64_t>& in_flight = shards_[shard].in_flight;
  return std::any_of(in_flight.begin(), in_flight.end(), [&](uint64_t id) {
    const Attempt& attempt = attempts_.at(id);
    return attempt.request.searcher == searcher &&
           attempt.sent >= view->newest_answered[IndexOf(query_.rank)];
  });
}

// Cancels the earlier attempts at the searcher of the newest one, to free their
// slots. Hedge() sends to the same searcher again only if they are stuck.
void QueryPlan::CancelSuperseded(TimePoint now,
                                 size_t shard,
                                 QueryActions& actions) {
  const std::vector<uint64_t> in_flight = shards_[shard].in_flight;
  const Endpoint& newest = attempts_.at(in_flight.back()).request.searcher;
  for (size_t i = 0; i + 1 < in_flight.size(); ++i) {
    if (attempts_.at(in_flight[i]).request.searcher == newest) {
      CancelAttempt(now, in_flight[i], true, actions);
    }
  }
}

// Cancels the attempts in flight for a shard. Those at a searcher other than
// that of the newest attempt were overtaken and count as its failures.
void QueryPlan::CancelInFlight(TimePoint now,
                               size_t shard,
                               QueryActions& actions) {
  const ShardProgress& progress = shards_[shard];
  while (!progress.in_flight.empty()) {
    const uint64_t id = progress.in_flight.front();
    const bool overtaken =
        attempts_.at(id).request.searcher != progress.tried.back();
    CancelAttempt(now, id, overtaken, actions);
  }
}

void QueryPlan::CancelAttempt(TimePoint now,
                              uint64_t id,
                              bool overdue,
                              QueryActions& actions) {
  const auto it = attempts_.find(id);
  const Endpoint searcher = it->second.request.searcher;
  context_->searchers->OnCancelled(now, searcher, query_.rank, overdue);
  actions.push_back(CancelAction{id, searcher});
  std::erase(shards_[it->second.shard].in_flight, id);
  attempts_.erase(it);
}

void QueryPlan::CancelAll(TimePoint now, QueryActions& actions) {
  for (const size_t shard : target_shards_) {
    ShardProgress& progress = shards_[shard];
    progress.may_have_run |= !progress.in_flight.empty();
    CancelInFlight(now, shard, actions);
  }
}

}  // namespace greengage
