// The course of one query from its admission to its answer.
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

// What all queries of an instance share. Outlives every QueryPlan; the members
// are thread-safe.
struct QueryContext {
  SearcherTracker* searchers = nullptr;
  HedgePolicy* hedge_policy = nullptr;
  HedgeBudget* hedge_budget = nullptr;
  RetryBudget* retry_budget = nullptr;
  // The configuration in force, for a query that must run anew.
  std::function<ConfigurationPtr()> configuration;
  std::atomic<uint64_t> next_sub_request_id{1};
  // Answers that came late, crossed, or did not fit their sub-request.
  std::atomic<uint64_t> rejected_answers{0};
};

enum class SendReason : uint8_t { kFirst, kHedge, kRetry, kRerun };

// Send this sub-request towards its searcher's owner.
struct SendAction {
  SubRequest request;
  SendReason reason = SendReason::kFirst;
};

// Give up a sub-request that was sent; its answer is of no more use.
struct CancelAction {
  uint64_t id = 0;
  Endpoint searcher;
};

// The query starts anew at another index or configuration version; for the
// time line. The sub-requests follow as SendActions.
struct RerunAction {
  uint64_t from_version = 0;
  uint64_t to_version = 0;
};

// Give the caller its answer. Always the last action of a query.
struct AnswerAction {
  Answer answer;
};

using QueryAction =
    std::variant<SendAction, CancelAction, RerunAction, AnswerAction>;
using QueryActions = std::vector<QueryAction>;

// Usage: carry out the actions of Start(); pass each sub-answer to
// OnSubAnswer() and call OnTimer() at next_timer(), carrying out what they
// return, until done(). A SubAnswer must be made by the caller for
// sub-requests that end otherwise (queue refusal, lost connection). Keeps the
// context's trackers and budgets up to date itself; Admission stands before
// it. Not thread-safe.
//
// A non-idempotent query is one sub-request, sent again only after a proof
// that it did not run.
class QueryPlan {
 public:
  // `configuration` is the one in force at admission; the query's service must
  // be in it. `seed` makes the choice of replicas repeatable.
  QueryPlan(Query query,
            ConfigurationPtr configuration,
            QueryContext* context,
            uint64_t seed);

  QueryActions Start(TimePoint now);

  // Answers to cancelled or unknown sub-requests are counted and dropped.
  QueryActions OnSubAnswer(TimePoint now, SubAnswer answer);

  // Hedges what is overdue, and answers when the deadline has come.
  QueryActions OnTimer(TimePoint now);

  // The caller has gone away: cancels what is open and ends the query without
  // an AnswerAction.
  QueryActions Abandon(TimePoint now);

  // When to call OnTimer() next. Meaningless once done().
  TimePoint next_timer() const { return next_timer_; }

  bool done() const { return done_; }

  const Query& query() const { return query_; }

 private:
  // One sub-request that was sent.
  struct Attempt {
    SubRequest request;
    size_t shard = 0;
    TimePoint sent;
  };

  struct ShardProgress {
    bool covered = false;
    bool maybe_run = false;
    uint32_t attempts = 0;
    TimePoint hedge_at = TimePoint::max();
    Refusal refusal = Refusal::kDeadline;
    std::vector<Endpoint> tried;
    std::vector<uint64_t> open;  // Ids of open attempts.
  };

  const ServiceConfiguration& service() const;
  void Pin(TimePoint now);
  void SendAll(TimePoint now, SendReason reason, QueryActions& actions);
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
  void Accept(TimePoint now,
              const Attempt& attempt,
              SubAnswer answer,
              QueryActions& actions);
  void Fail(TimePoint now,
            const Attempt& attempt,
            const SubAnswer& answer,
            QueryActions& actions);
  bool TryRetry(TimePoint now,
                const Attempt& attempt,
                const SubAnswer& answer,
                QueryActions& actions);
  bool HasUntriedReplica(TimePoint now, const Attempt& attempt);
  bool TryRerun(TimePoint now, QueryActions& actions);
  void GiveUp(size_t shard, Refusal refusal);
  void Hedge(TimePoint now, size_t shard, QueryActions& actions);
  bool IsQueuedAt(TimePoint now, size_t shard, const Endpoint& searcher) const;
  void CancelReplaced(TimePoint now, size_t shard, QueryActions& actions);
  void CancelOpen(TimePoint now, size_t shard, QueryActions& actions);
  void CancelAttempt(TimePoint now,
                     uint64_t id,
                     bool overdue,
                     QueryActions& actions);
  void FinishIfComplete(TimePoint now, QueryActions& actions);
  void CancelAll(TimePoint now, QueryActions& actions);
  void Finish(TimePoint now, QueryActions& actions);
  Answer MakeAnswer();
  void DropLate(TimePoint now, const SubAnswer& answer);
  void UpdateNextTime();

  Query query_;
  ConfigurationPtr configuration_;
  QueryContext* context_;
  ReplicaChooser chooser_;
  AnswerMerger merger_;
  uint64_t index_version_ = 0;
  uint32_t reruns_ = 0;
  Duration retry_after_{};
  std::vector<size_t> wanted_;  // Indexes of the shards asked.
  std::vector<ShardProgress> shards_;
  std::unordered_map<uint64_t, Attempt> attempts_;
  size_t unsettled_ = 0;  // Shards neither covered nor failed.
  TimePoint next_timer_;
  bool done_ = false;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_QUERY_PLAN_H_
