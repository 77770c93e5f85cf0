#include "tools/bench/naive_plan.h"

#include <utility>

namespace greengage::bench {

namespace {

constexpr uint32_t kMaxNaiveAttempts = 3;
// Nothing is dropped for its age.
constexpr Duration kNaiveDeadlineExtension = std::chrono::hours(1);

}  // namespace

NaivePlan::NaivePlan(Query query,
                     ConfigurationPtr configuration,
                     QueryContext* context,
                     uint64_t seed)
    : query_(std::move(query)),
      configuration_(std::move(configuration)),
      context_(context),
      random_(static_cast<std::minstd_rand::result_type>(seed)) {}

QueryActions NaivePlan::Start(TimePoint /*now*/) {
  QueryActions actions;
  const ServiceConfiguration& service =
      configuration_->services.at(query_.service);
  pending_shards_ = service.shards.size();
  covered_.resize(pending_shards_);
  for (size_t shard = 0; shard < service.shards.size(); ++shard) {
    Send(shard, 1, SendReason::kFirst, actions);
  }
  return actions;
}

QueryActions NaivePlan::OnSubAnswer(TimePoint /*now*/, SubAnswer answer) {
  QueryActions actions;
  const auto it = open_.find(answer.id);
  if (done_ || it == open_.end()) {
    return actions;
  }
  const Attempt attempt = it->second;
  open_.erase(it);
  const bool overload = answer.refusal == Refusal::kOverloaded ||
                        answer.refusal == Refusal::kShed;
  if (answer.outcome == Outcome::kAnswered) {
    covered_[attempt.shard] = true;
    std::move(answer.hits.begin(), answer.hits.end(),
              std::back_inserter(hits_));
    --pending_shards_;
  } else if (!overload && attempt.number < kMaxNaiveAttempts) {
    Send(attempt.shard, attempt.number + 1, SendReason::kRetry, actions);
  } else {
    --pending_shards_;
  }
  if (pending_shards_ == 0) {
    Finish(actions);
  }
  return actions;
}

QueryActions NaivePlan::OnTimer(TimePoint now) {
  QueryActions actions;
  if (!done_ && now >= query_.deadline) {
    Finish(actions);
  }
  return actions;
}

// Believes what health endpoints say.
Endpoint NaivePlan::ChooseReplica(const ShardConfiguration& shard) {
  std::vector<Endpoint> healthy;
  for (const Endpoint& replica : shard.replicas) {
    const auto view = context_->searchers->View(TimePoint(), replica);
    if (!view || !view->reported_unhealthy) {
      healthy.push_back(replica);
    }
  }
  const std::vector<Endpoint>& choice =
      healthy.empty() ? shard.replicas : healthy;
  std::uniform_int_distribution<size_t> any(0, choice.size() - 1);
  return choice[any(random_)];
}

void NaivePlan::Send(size_t shard,
                     uint32_t number,
                     SendReason reason,
                     QueryActions& actions) {
  const ShardConfiguration& target =
      configuration_->services.at(query_.service).shards[shard];
  SubRequest request;
  request.id = context_->next_sub_request_id.fetch_add(1);
  request.request_id = query_.request_id;
  request.service = query_.service;
  request.shard = target.name;
  request.searcher = ChooseReplica(target);
  request.range = target.range;
  request.configuration_version = configuration_->version;
  request.rank = query_.rank;
  request.deadline = query_.deadline + kNaiveDeadlineExtension;
  open_.emplace(request.id, Attempt{shard, number});
  actions.push_back(SendAction{std::move(request), reason});
}

void NaivePlan::Finish(QueryActions& actions) {
  done_ = true;
  Answer answer;
  answer.request_id = query_.request_id;
  answer.rank = query_.rank;
  answer.outcome = Outcome::kAnswered;
  answer.hits = std::move(hits_);
  const ServiceConfiguration& service =
      configuration_->services.at(query_.service);
  for (size_t shard = 0; shard < covered_.size(); ++shard) {
    if (!covered_[shard]) {
      answer.missing.push_back({service.shards[shard].name,
                                service.shards[shard].range,
                                Refusal::kDeadline});
    }
  }
  actions.push_back(AnswerAction{std::move(answer)});
}

}  // namespace greengage::bench
