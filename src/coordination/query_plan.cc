#include "greengage/coordination/query_plan.h"

#include <algorithm>
#include <utility>

#include "greengage/coordination/snapshot.h"

namespace greengage {

namespace {

constexpr uint32_t kMaxReruns = 2;
constexpr uint32_t kMaxAttempts = 6;  // Per shard, hedges and retries included.

bool IsVersionMismatch(Refusal refusal) {
  return refusal == Refusal::kVersionNotHeld ||
         refusal == Refusal::kRangeNotHeld;
}

// Turns an answer that does not match its sub-request into a failure with an
// unknown outcome.
SubAnswer ToFailure(SubAnswer answer, MergeResult result) {
  answer.outcome = Outcome::kUnknown;
  answer.refusal = result == MergeResult::kWrongVersion
                       ? Refusal::kVersionNotHeld
                       : Refusal::kMalformedAnswer;
  answer.hits.clear();
  return answer;
}

}  // namespace

QueryPlan::QueryPlan(Query query,
                     ConfigurationPtr configuration,
                     QueryContext* context,
                     uint64_t seed)
    : query_(std::move(query)),
      configuration_(std::move(configuration)),
      context_(context),
      chooser_(seed),
      merger_(0, query_.limit),
      next_timer_(query_.deadline) {}

QueryActions QueryPlan::Start(TimePoint now) {
  QueryActions actions;
  PinIndexVersion(now);
  SendToAllShards(now, SendReason::kFirst, actions);
  const size_t count = target_shards_.size();
  context_->hedge_budget->OnSent(query_.rank, count);
  context_->retry_budget->OnSent(query_.service, query_.rank, count);
  FinishIfComplete(now, actions);
  return actions;
}

QueryActions QueryPlan::OnSubAnswer(TimePoint now, SubAnswer answer) {
  QueryActions actions;
  const auto it = attempts_.find(answer.id);
  if (it == attempts_.end()) {
    RejectLateAnswer(now, answer);
    return actions;
  }
  const Attempt attempt = std::move(it->second);
  attempts_.erase(it);
  std::erase(shards_[attempt.shard].in_flight, answer.id);
  answer.searcher = attempt.request.searcher;
  if (answer.outcome == Outcome::kAnswered) {
    HandleAnswer(now, attempt, std::move(answer), actions);
  } else {
    HandleFailure(now, attempt, answer, actions);
  }
  FinishIfComplete(now, actions);
  return actions;
}

QueryActions QueryPlan::OnTimer(TimePoint now) {
  QueryActions actions;
  if (done_) {
    return actions;
  }
  if (now >= query_.deadline) {
    Finish(now, actions);
    return actions;
  }
  for (const size_t shard : target_shards_) {
    if (now >= shards_[shard].hedge_at) {
      Hedge(now, shard, actions);
    }
  }
  UpdateNextTimer();
  return actions;
}

QueryActions QueryPlan::Abandon(TimePoint now) {
  QueryActions actions;
  CancelAll(now, actions);
  done_ = true;
  return actions;
}

const ServiceConfiguration& QueryPlan::service() const {
  return configuration_->services.at(query_.service);
}

void QueryPlan::PinIndexVersion(TimePoint now) {
  index_version_ =
      ChooseIndexVersion(service(), [&](const ShardConfiguration& shard) {
        return context_->searchers->Views(now, shard);
      });
  merger_ = AnswerMerger(index_version_, query_.limit);
  const std::vector<ShardConfiguration>& shards = service().shards;
  shards_.assign(shards.size(), ShardProgress{});
  target_shards_.clear();
  for (size_t i = 0; i < shards.size(); ++i) {
    if (query_.idempotent || !query_.key ||
        shards[i].range.Contains(*query_.key)) {
      target_shards_.push_back(i);
    }
  }
  pending_shards_ = target_shards_.size();
}

void QueryPlan::SendToAllShards(TimePoint now,
                                SendReason reason,
                                QueryActions& actions) {
  actions.reserve(actions.size() + target_shards_.size());
  for (const size_t shard : target_shards_) {
    if (!Send(now, shard, reason, actions)) {
      FailShard(shard, Refusal::kNoReplica);
    }
  }
}

bool QueryPlan::Send(TimePoint now,
                     size_t shard,
                     SendReason reason,
                     QueryActions& actions) {
  const std::optional<Endpoint> searcher = ChooseReplica(now, shard);
  if (searcher) {
    SendTo(now, shard, *searcher, reason, actions);
  }
  return searcher.has_value();
}

void QueryPlan::SendTo(TimePoint now,
                       size_t shard,
                       const Endpoint& searcher,
                       SendReason reason,
                       QueryActions& actions) {
  ShardProgress& progress = shards_[shard];
  Attempt attempt{MakeSubRequest(shard, searcher), shard, now};
  context_->searchers->OnSent(now, searcher, query_.rank);
  ++progress.attempts;
  progress.tried.push_back(searcher);
  progress.in_flight.push_back(attempt.request.id);
  ScheduleHedge(now, shard);
  actions.push_back(SendAction{attempt.request, reason});
  attempts_.emplace(attempt.request.id, std::move(attempt));
}

std::optional<Endpoint> QueryPlan::ChooseReplica(TimePoint now, size_t shard) {
  const std::vector<SearcherView> views =
      context_->searchers->Views(now, service().shards[shard]);
  const ReplicaRequirements requirements{query_.rank, index_version_,
                                         &shards_[shard].tried};
  return query_.idempotent ? chooser_.ChooseAlternative(views, requirements)
                           : chooser_.Choose(views, requirements);
}

SubRequest QueryPlan::MakeSubRequest(size_t shard, const Endpoint& searcher) {
  const ShardConfiguration& target = service().shards[shard];
  SubRequest request;
  request.id = context_->next_sub_request_id.fetch_add(1);
  request.request_id = query_.request_id;
  request.service = query_.service;
  request.shard = target.name;
  request.searcher = searcher;
  request.range = target.range;
  request.index_version = index_version_;
  request.configuration_version = configuration_->version;
  request.rank = query_.rank;
  request.idempotent = query_.idempotent;
  request.limit = query_.limit;
  request.text = query_.text;
  request.key = query_.key;
  request.deadline = query_.deadline;
  return request;
}

void QueryPlan::HandleAnswer(TimePoint now,
                             const Attempt& attempt,
                             SubAnswer answer,
                             QueryActions& actions) {
  const uint64_t version = answer.index_version;
  const MergeResult result = merger_.Accept(attempt.request, answer);
  if (result != MergeResult::kAccepted) {
    context_->rejected_answers.fetch_add(1);
    HandleFailure(now, attempt, ToFailure(std::move(answer), result), actions);
    return;
  }
  index_version_ = version;
  const Duration latency = now - attempt.sent;
  context_->searchers->OnEnded(now, query_.rank, attempt.sent, answer);
  context_->hedge_policy->Record(now, query_.service, query_.rank, latency);
  context_->hedge_budget->OnAnswer(query_.rank, answer.queue_time,
                                   answer.service_time);
  ShardProgress& progress = shards_[attempt.shard];
  progress.covered = true;
  progress.hedge_at = TimePoint::max();
  --pending_shards_;
  CancelInFlight(now, attempt.shard, actions);
}

void QueryPlan::HandleFailure(TimePoint now,
                              const Attempt& attempt,
                              const SubAnswer& answer,
                              QueryActions& actions) {
  context_->searchers->OnEnded(now, query_.rank, attempt.sent, answer);
  if (answer.refusal == Refusal::kRangeNotHeld) {
    context_->searchers->OnRangeNotHeld(now, attempt.request.searcher,
                                        attempt.request.shard);
  }
  ShardProgress& progress = shards_[attempt.shard];
  progress.refusal = answer.refusal;
  progress.may_have_run |= answer.outcome != Outcome::kNotRun;
  retry_after_ = std::max(retry_after_, answer.retry_after);
  if (!progress.in_flight.empty() || TryRetry(now, attempt, answer, actions)) {
    return;
  }
  if (IsVersionMismatch(answer.refusal) && TryRerun(now, actions)) {
    return;
  }
  FailShard(attempt.shard, answer.refusal);
}

bool QueryPlan::TryRetry(TimePoint now,
                         const Attempt& attempt,
                         const SubAnswer& answer,
                         QueryActions& actions) {
  const ShardProgress& progress = shards_[attempt.shard];
  if (progress.attempts >= kMaxAttempts ||
      !IsRetryable(attempt.request, answer)) {
    return false;
  }
  const bool can_succeed =
      !IsVersionMismatch(answer.refusal) || HasUntriedReplica(now, attempt);
  return can_succeed &&
         context_->retry_budget->TrySpend(query_.service, query_.rank, 1) &&
         Send(now, attempt.shard, SendReason::kRetry, actions);
}

bool QueryPlan::HasUntriedReplica(TimePoint now, const Attempt& attempt) {
  const size_t shard = attempt.shard;
  const std::vector<SearcherView> views =
      context_->searchers->Views(now, service().shards[shard]);
  // If this sub-request required no version, a replica that has already been
  // tried may hold the version pinned since.
  const bool was_unpinned = attempt.request.index_version == 0;
  const ReplicaRequirements requirements{
      query_.rank, index_version_,
      was_unpinned ? nullptr : &shards_[shard].tried};
  return chooser_.Choose(views, requirements).has_value();
}

bool QueryPlan::TryRerun(TimePoint now, QueryActions& actions) {
  ConfigurationPtr newest = context_->configuration();
  if (!query_.idempotent || reruns_ >= kMaxReruns || !newest ||
      newest->services.count(query_.service) == 0) {
    return false;
  }
  const uint64_t version =
      ChooseIndexVersion(newest->services.at(query_.service),
                         [&](const ShardConfiguration& shard) {
                           return context_->searchers->Views(now, shard);
                         });
  const bool unchanged =
      version == index_version_ && newest->version == configuration_->version;
  if (unchanged || !context_->retry_budget->TrySpend(
                       query_.service, query_.rank, target_shards_.size())) {
    return false;
  }
  ++reruns_;
  actions.push_back(RerunAction{index_version_, version});
  CancelAll(now, actions);
  for (const ShardProgress& progress : shards_) {
    may_have_run_before_rerun_ |= progress.covered || progress.may_have_run;
  }
  configuration_ = std::move(newest);
  PinIndexVersion(now);
  SendToAllShards(now, SendReason::kRerun, actions);
  return true;
}

void QueryPlan::FailShard(size_t shard, Refusal refusal) {
  ShardProgress& progress = shards_[shard];
  progress.refusal = refusal;
  progress.hedge_at = TimePoint::max();
  --pending_shards_;
}

void QueryPlan::FinishIfComplete(TimePoint now, QueryActions& actions) {
  if (!done_ && pending_shards_ == 0) {
    Finish(now, actions);
  }
}

void QueryPlan::Finish(TimePoint now, QueryActions& actions) {
  CancelAll(now, actions);
  done_ = true;
  actions.push_back(AnswerAction{MakeAnswer()});
}

Answer QueryPlan::MakeAnswer() {
  Answer answer;
  answer.request_id = query_.request_id;
  answer.service = query_.service;
  answer.rank = query_.rank;
  answer.index_version = index_version_;
  answer.configuration_version = configuration_->version;
  answer.hits = merger_.TakeHits();
  answer.covered = merger_.coverage().ranges();
  bool may_have_run = may_have_run_before_rerun_;
  for (const size_t shard : target_shards_) {
    const ShardProgress& progress = shards_[shard];
    const ShardConfiguration& target = service().shards[shard];
    may_have_run |= progress.may_have_run;
    if (!progress.covered) {
      answer.missing.push_back({target.name, target.range, progress.refusal});
    }
  }
  if (!answer.covered.empty()) {
    answer.outcome = Outcome::kAnswered;
    return answer;
  }
  answer.outcome = may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
  answer.refusal = answer.missing.empty() ? Refusal::kNoReplica
                                          : answer.missing.front().refusal;
  answer.retry_after = retry_after_;
  return answer;
}

void QueryPlan::RejectLateAnswer(TimePoint now, const SubAnswer& answer) {
  if (answer.refusal == Refusal::kCancelled) {
    return;
  }
  context_->rejected_answers.fetch_add(1);
  if (answer.load) {
    context_->searchers->OnLoad(now, answer.searcher, *answer.load);
  }
}

void QueryPlan::UpdateNextTimer() {
  next_timer_ = query_.deadline;
  for (const size_t shard : target_shards_) {
    next_timer_ = std::min(next_timer_, shards_[shard].hedge_at);
  }
}

}  // namespace greengage
