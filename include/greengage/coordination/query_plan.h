// The execution of one query from its admission to its answer.
#ifndef GREENGAGE_COORDINATION_QUERY_PLAN_H_
#define GREENGAGE_COORDINATION_QUERY_PLAN_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "greengage/coordination/answer_merger.h"
#include "greengage/coordination/hedge_budget.h"
#include "greengage/coordination/hedge_policy.h"
#include "greengage/coordination/replica_chooser.h"
#include "greengage/coordination/retry_budget.h"
#include "greengage/coordination/searcher_tracker.h"
#include "greengage/state/configuration.h"
#include "greengage/state/query.h"

namespace greengage {

// State shared by all queries of an instance. Must outlive every QueryPlan; the
// members are thread-safe.
struct QueryContext {
  SearcherTracker* searchers = nullptr;
  HedgePolicy* hedge_policy = nullptr;
  HedgeBudget* hedge_budget = nullptr;
  RetryBudget* retry_budget = nullptr;
  // Returns the active configuration, for a query that is rerun.
  std::function<ConfigurationPtr()> configuration;
  std::atomic<uint64_t> next_sub_request_id{1};
  // Answers that arrived late or did not match their sub-request.
  std::atomic<uint64_t> rejected_answers{0};
};

enum class SendReason : uint8_t { kFirst, kHedge, kRetry, kRerun };

// Send this sub-request to the owner of its searcher.
struct SendAction {
  SubRequest request;
  SendReason reason = SendReason::kFirst;
};

// Cancel a sub-request in flight whose answer is no longer needed.
struct CancelAction {
  uint64_t id = 0;
  Endpoint searcher;
};

// Record in the time line that the query is rerun with another index or
// configuration version. Its sub-requests follow as SendActions.
struct RerunAction {
  uint64_t from_version = 0;
  uint64_t to_version = 0;
};

// Send the answer to the caller. Always the last action of a query.
struct AnswerAction {
  Answer answer;
};

using QueryAction =
    std::variant<SendAction, CancelAction, RerunAction, AnswerAction>;
using QueryActions = std::vector<QueryAction>;

// Usage: execute the actions of Start(); until done(), pass each sub-answer to
// OnSubAnswer(), call OnTimer() at next_timer(), and execute the actions that
// they return. For a sub-request that ends without an answer (rejected by a
// queue, lost connection), the user of this class must create a SubAnswer.
// Updates the trackers and budgets of the context, but not Admission, which
// must have admitted the query. Not thread-safe.
//
// A non-idempotent query is a single sub-request, which is retried only after
// proof that it did not run.
class QueryPlan {
 public:
  // `configuration` is the one active at admission and must contain the query's
  // service. `seed` makes the choice of replicas reproducible.
  QueryPlan(Query query,
            ConfigurationPtr configuration,
            QueryContext* context,
            uint64_t seed);

  QueryActions Start(TimePoint now);

  // Answers to cancelled or unknown sub-requests are dropped and counted as
  // rejected.
  QueryActions OnSubAnswer(TimePoint now, SubAnswer answer);

  // Hedges overdue sub-requests, and answers once the deadline has passed.
  QueryActions OnTimer(TimePoint now);

  // Cancels the sub-requests in flight and ends the query without an
  // AnswerAction, for a caller that has disconnected.
  QueryActions Abandon(TimePoint now);

  // The time of the next call of OnTimer(). Not meaningful once done().
  TimePoint next_timer() const { return next_timer_; }

  bool done() const { return done_; }

  const Query& query() const { return query_; }

 private:
  // A sub-request in flight.
  struct Attempt {
    SubRequest request;
    size_t shard = 0;
    TimePoint sent;
  };

  struct ShardProgress {
    bool covered = false;
    bool may_have_run = false;
    uint32_t attempts = 0;
    TimePoint hedge_at = TimePoint::max();
    Refusal refusal = Refusal::kDeadline;
    std::vector<Endpoint> tried;
    std::vector<uint64_t> in_flight;  // Ids of attempts.
  };

  const ServiceConfiguration& service() const;
  void PinIndexVersion(TimePoint now);
  void SendToAllShards(TimePoint now, SendReason reason, QueryActions& actions);
  bool Send(TimePoint now,
            size_t shard,
            SendReason reason,
            QueryActions& actions);
  void SendTo(TimePoint now,
              size_t shard,
              const Endpoint& searcher,
              SendReason reason,
              QueryActions& actions);
  std::optional<Endpoint> ChooseReplica(TimePoint now, size_t shard);
  SubRequest MakeSubRequest(size_t shard, const Endpoint& searcher);
  void ScheduleHedge(TimePoint now, size_t shard);
  void HandleAnswer(TimePoint now,
                    const Attempt& attempt,
                    SubAnswer answer,
                    QueryActions& actions);
  void HandleFailure(TimePoint now,
                     const Attempt& attempt,
                     const SubAnswer& answer,
                     QueryActions& actions);
  bool TryRetry(TimePoint now,
                const Attempt& attempt,
                const SubAnswer& answer,
                QueryActions& actions);
  bool HasUntriedReplica(TimePoint now, const Attempt& attempt);
  bool TryRerun(TimePoint now, QueryActions& actions);
  void FailShard(size_t shard, Refusal refusal);
  void Hedge(TimePoint now, size_t shard, QueryActions& actions);
  bool IsQueuedAt(TimePoint now, size_t shard, const Endpoint& searcher) const;
  void CancelSuperseded(TimePoint now, size_t shard, QueryActions& actions);
  void CancelInFlight(TimePoint now, size_t shard, QueryActions& actions);
  void CancelAttempt(TimePoint now,
                     uint64_t id,
                     bool overdue,
                     QueryActions& actions);
  void FinishIfComplete(TimePoint now, QueryActions& actions);
  void CancelAll(TimePoint now, QueryActions& actions);
  void Finish(TimePoint now, QueryActions& actions);
  Answer MakeAnswer();
  void RejectLateAnswer(TimePoint now, const SubAnswer& answer);
  void UpdateNextTimer();

  Query query_;
  ConfigurationPtr configuration_;
  QueryContext* context_;
  ReplicaChooser chooser_;
  AnswerMerger merger_;
  uint64_t index_version_ = 0;
  uint32_t reruns_ = 0;
  bool may_have_run_before_rerun_ = false;
  Duration retry_after_{};
  std::vector<size_t> target_shards_;  // Indexes of the shards queried.
  std::vector<ShardProgress> shards_;
  std::unordered_map<uint64_t, Attempt> attempts_;
  size_t pending_shards_ = 0;  // Shards neither covered nor failed.
  TimePoint next_timer_;
  bool done_ = false;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_QUERY_PLAN_H_
