// The parts of QueryPlan that open and give up attempts beside the first.
#include <algorithm>

#include "greengage/coordination/query_plan.h"

namespace greengage {

void QueryPlan::ScheduleHedge(TimePoint now, size_t shard) {
  ShardProgress& progress = shards_[shard];
  progress.hedge_at = TimePoint::max();
  if (!query_.idempotent ||
      progress.attempts >= context_->hedges->max_attempts()) {
    return;
  }
  progress.hedge_at =
      now + context_->hedges->Delay(now, query_.service, query_.rank);
  next_time_ = std::min(next_time_, progress.hedge_at);
}

void QueryPlan::Hedge(TimePoint now, size_t shard, QueryActions& actions) {
  const std::optional<Endpoint> searcher = ChooseReplica(now, shard);
  if (!searcher) {
    shards_[shard].hedge_at = TimePoint::max();
    return;
  }
  if (IsQueuedAt(now, shard, *searcher) ||
      !context_->extra_load->TrySpend(query_.rank)) {
    ScheduleHedge(now, shard);
    return;
  }
  SendTo(now, shard, *searcher, SendReason::kHedge, actions);
  CancelReplaced(now, shard, actions);
}

// Whether an open attempt at `searcher` may just be waiting for its turn. It is
// stuck instead if work sent later has been answered, or none has for a while.
bool QueryPlan::IsQueuedAt(TimePoint now,
                           size_t shard,
                           const Endpoint& searcher) const {
  const std::optional<SearcherView> view =
      context_->searchers->View(now, searcher);
  const Duration delay =
      context_->hedges->Delay(now, query_.service, query_.rank);
  if (!view || now - view->last_answer > delay) {
    return false;
  }
  const std::vector<uint64_t>& open = shards_[shard].open;
  return std::any_of(open.begin(), open.end(), [&](uint64_t id) {
    const Attempt& attempt = attempts_.at(id);
    return attempt.request.searcher == searcher &&
           attempt.sent >= view->newest_answered[IndexOf(query_.rank)];
  });
}

// An attempt whose searcher has just got another one for the same shard is
// stuck: it gives its slot back.
void QueryPlan::CancelReplaced(TimePoint now,
                               size_t shard,
                               QueryActions& actions) {
  const std::vector<uint64_t> open = shards_[shard].open;
  const Endpoint& newest = attempts_.at(open.back()).request.searcher;
  for (size_t i = 0; i + 1 < open.size(); ++i) {
    if (attempts_.at(open[i]).request.searcher == newest) {
      CancelAttempt(now, open[i], true, actions);
    }
  }
}

// Gives up what is still open for a shard. An attempt that was overtaken by a
// later one tells against its searcher.
void QueryPlan::CancelOpen(TimePoint now, size_t shard, QueryActions& actions) {
  const ShardProgress& progress = shards_[shard];
  while (!progress.open.empty()) {
    const uint64_t id = progress.open.front();
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
  std::erase(shards_[it->second.shard].open, id);
  attempts_.erase(it);
}

void QueryPlan::CancelAll(TimePoint now, QueryActions& actions) {
  for (const size_t shard : wanted_) {
    ShardProgress& progress = shards_[shard];
    progress.maybe_run |= !progress.open.empty();
    CancelOpen(now, shard, actions);
  }
}

}  // namespace greengage
