#include "greengage/transport/owner_service.h"

#include <algorithm>

#include "greengage/protocol/searcher_codec.h"
#include "transport/clock.h"

namespace greengage {
namespace {

// Memory of the unfinished answers of all searchers.
constexpr size_t kMaxUnfinishedBytes = size_t{64} << 20;

// Connections in addition to the slots, for cancel requests and health probes.
constexpr size_t kExtraConnections = 2;

constexpr std::chrono::milliseconds kCancelTimeout{1000};

// Request target of the health probe of a connection.
constexpr const char* kHealthProbeTarget = "/health";

// Converts a failed call to an answer. If no byte was sent, the request did not
// run.
SubAnswer FailedCallToSubAnswer(const SubRequest& sent,
                                bool anything_sent,
                                const Failure& failure) {
  const Outcome outcome = anything_sent ? Outcome::kUnknown : Outcome::kNotRun;
  switch (failure.kind) {
    case FailureKind::kTimedOut:
      return FailedSubAnswer(sent, outcome, Refusal::kDeadline);
    case FailureKind::kCancelled:
      return FailedSubAnswer(sent, outcome, Refusal::kCancelled);
    case FailureKind::kMalformedMessage:
    case FailureKind::kTooLarge:
      return FailedSubAnswer(sent, outcome, Refusal::kMalformedAnswer);
    default:
      return FailedSubAnswer(sent, outcome, Refusal::kConnectionLost);
  }
}

}  // namespace

OwnerService::OwnerService(boost::asio::io_context& context,
                           uint64_t first_id,
                           Hooks hooks)
    : context_(context),
      receive_budget_(std::make_shared<ReceiveBudget>(kMaxUnfinishedBytes)),
      hooks_(std::move(hooks)),
      next_id_(first_id) {}

OwnerService::Shard& OwnerService::ShardOf(const Endpoint& searcher) {
  return shards_[std::hash<Endpoint>()(searcher) % kShards];
}

RankQueueOptions OwnerService::QueueOptions(const Endpoint& endpoint) const {
  const std::lock_guard lock(configuration_mutex_);
  RankQueueOptions options;
  if (!configuration_) {
    return options;
  }
  options.capacity_per_rank = configuration_->limits.queue_per_searcher;
  for (const Rank rank : kAllRanks) {
    options.floor_percent[IndexOf(rank)] =
        configuration_->ranks[IndexOf(rank)].floor_percent;
  }
  const auto found = configuration_->searchers.find(endpoint);
  if (found != configuration_->searchers.end()) {
    options.slots = found->second.slots;
  }
  return options;
}

HttpClientLimits OwnerService::ClientLimits(const Endpoint& endpoint) const {
  const RankQueueOptions queue = QueueOptions(endpoint);
  HttpClientLimits limits;
  limits.receive_budget = receive_budget_;
  limits.probe_target = kHealthProbeTarget;
  limits.on_replaced = [on_replaced = hooks_.on_connection_replaced, endpoint] {
    if (on_replaced) {
      on_replaced(endpoint);
    }
  };
  limits.connections =
      queue.slots + queue.extra_outstanding + kExtraConnections;
  const std::lock_guard lock(configuration_mutex_);
  if (!configuration_) {
    return limits;
  }
  const auto found = configuration_->searchers.find(endpoint);
  if (found != configuration_->searchers.end()) {
    const size_t share =
        found->second.connections / configuration_->limits.owners_per_searcher;
    limits.connections = std::clamp<size_t>(share, 1, limits.connections);
  }
  return limits;
}

OwnerService::Searcher& OwnerService::SearcherOf(Shard& shard,
                                                 const Endpoint& endpoint) {
  const auto [found, inserted] = shard.searchers.try_emplace(endpoint);
  Searcher& searcher = found->second;
  if (inserted) {
    searcher.queue = RankQueue(QueueOptions(endpoint));
    searcher.client =
        HttpClient::Create(context_, endpoint, ClientLimits(endpoint));
  }
  return searcher;
}

void OwnerService::Apply(const ConfigurationPtr& configuration) {
  {
    const std::lock_guard lock(configuration_mutex_);
    configuration_ = configuration;
  }
  std::vector<std::shared_ptr<HttpClient>> unused_clients;
  for (Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    for (auto& [endpoint, searcher] : shard.searchers) {
      searcher.queue.set_options(QueueOptions(endpoint));
    }
    std::erase_if(shard.searchers, [&](auto& entry) {
      const bool erase = entry.second.submissions.empty() &&
                         !configuration->searchers.contains(entry.first);
      if (erase) {
        unused_clients.push_back(entry.second.client);
      }
      return erase;
    });
  }
  for (const std::shared_ptr<HttpClient>& client : unused_clients) {
    client->Close();
  }
}

SubmissionId OwnerService::Submit(SubRequest request, Callback done) {
  const TimePoint now = Now();
  const SubmissionId id = next_id_++;
  ++in_flight_;
  DispatchBatch batch;
  {
    Shard& shard = ShardOf(request.searcher);
    const std::lock_guard lock(shard.mutex);
    Searcher& searcher = SearcherOf(shard, request.searcher);
    SubRequest queued = request;
    queued.id = id;
    const auto refusal = hooks_.is_draining(request.searcher)
                             ? std::optional(QueueRejection{Refusal::kDraining})
                             : searcher.queue.Push(now, std::move(queued));
    if (refusal) {
      SubAnswer answer =
          FailedSubAnswer(request, Outcome::kNotRun, refusal->refusal);
      answer.retry_after = refusal->retry_after;
      batch.finished.push_back(
          FinishedSubmission{std::move(done), std::move(answer)});
    } else {
      searcher.submissions.emplace(
          id, Submission{std::move(request), std::move(done)});
      batch = PopReadyRequests(searcher, now);
    }
  }
  Dispatch(std::move(batch));
  return id;
}

// None of the `queued` sub-requests was sent, so their outcome is kNotRun.
void OwnerService::RejectQueued(Searcher& searcher,
                                const std::vector<QueuedSubRequest>& queued,
                                Refusal refusal,
                                DispatchBatch& batch) {
  for (const QueuedSubRequest& item : queued) {
    auto node = searcher.submissions.extract(item.request.id);
    if (node.empty()) {
      continue;
    }
    SubAnswer answer =
        FailedSubAnswer(node.mapped().request, Outcome::kNotRun, refusal);
    answer.queue_time = item.queue_time;
    batch.finished.push_back(
        FinishedSubmission{std::move(node.mapped().done), std::move(answer)});
  }
}

void OwnerService::Drain(const Endpoint& endpoint) {
  DispatchBatch batch;
  {
    Shard& shard = ShardOf(endpoint);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.searchers.find(endpoint);
    if (found == shard.searchers.end()) {
      return;
    }
    RejectQueued(found->second, found->second.queue.Clear(Now()),
                 Refusal::kDraining, batch);
  }
  Dispatch(std::move(batch));
}

OwnerService::DispatchBatch OwnerService::PopReadyRequests(Searcher& searcher,
                                                           TimePoint now) {
  DispatchBatch batch;
  batch.client = searcher.client;
  for (;;) {
    PopResult pop = searcher.queue.Pop(now);
    RejectQueued(searcher, pop.dropped, Refusal::kDeadline, batch);
    if (!pop.next) {
      return batch;
    }
    const auto found = searcher.submissions.find(pop.next->request.id);
    if (found != searcher.submissions.end()) {
      found->second.queue_time = pop.next->queue_time;
    }
    batch.to_send.push_back(std::move(*pop.next));
  }
}

void OwnerService::Dispatch(DispatchBatch batch) {
  for (QueuedSubRequest& queued : batch.to_send) {
    Send(batch.client, std::move(queued.request));
  }
  for (FinishedSubmission& finished : batch.finished) {
    Finish(std::move(finished));
  }
}

void OwnerService::Send(const std::shared_ptr<HttpClient>& client,
                        SubRequest request) {
  const TimePoint now = Now();
  if (hooks_.on_sent) {
    hooks_.on_sent(request);
  }
  HttpCall call;
  call.method = "POST";
  call.target = "/search";
  call.body = SerializeSearch(request, now);
  call.deadline = request.deadline;
  client->Start(std::move(call),
                [self = shared_from_this(), sent = std::move(request),
                 now](HttpCallResult result) {
                  self->OnResult(sent, now, std::move(result));
                });
}

SubAnswer OwnerService::ToSubAnswer(const SubRequest& sent,
                                    HttpCallResult result) const {
  if (!result.response) {
    return FailedCallToSubAnswer(sent, result.sent,
                                 result.response.last_reason());
  }
  return ParseSearchAnswer(sent, result.response->status,
                           result.response->body);
}

void OwnerService::OnResult(const SubRequest& sent,
                            TimePoint sent_at,
                            HttpCallResult result) {
  const TimePoint now = Now();
  SubAnswer answer = ToSubAnswer(sent, std::move(result));
  answer.service_time = now - sent_at;
  if (hooks_.on_ended) {
    hooks_.on_ended(sent, answer);
  }
  if (answer.load && answer.load->draining) {
    Drain(sent.searcher);
  }
  DispatchBatch batch;
  {
    Shard& shard = ShardOf(sent.searcher);
    const std::lock_guard lock(shard.mutex);
    Searcher& searcher = SearcherOf(shard, sent.searcher);
    const bool answered = answer.outcome == Outcome::kAnswered;
    searcher.queue.Finish(
        now, answered ? std::optional<Duration>(now - sent_at) : std::nullopt);
    auto node = searcher.submissions.extract(sent.id);
    batch = PopReadyRequests(searcher, now);
    if (!node.empty() && !node.mapped().cancelled) {
      answer.id = node.mapped().request.id;
      answer.queue_time = node.mapped().queue_time;
      batch.finished.push_back(
          FinishedSubmission{std::move(node.mapped().done), std::move(answer)});
    }
  }
  Dispatch(std::move(batch));
}

void OwnerService::Cancel(const Endpoint& endpoint, SubmissionId id) {
  const TimePoint now = Now();
  std::optional<FinishedSubmission> finished;
  std::shared_ptr<HttpClient> client;
  SubRequest sent;
  {
    Shard& shard = ShardOf(endpoint);
    const std::lock_guard lock(shard.mutex);
    Searcher& searcher = SearcherOf(shard, endpoint);
    const auto found = searcher.submissions.find(id);
    if (found == searcher.submissions.end() || found->second.cancelled) {
      return;
    }
    Submission& submission = found->second;
    const bool queued =
        searcher.queue.Remove(id, submission.request.request_id);
    finished = FinishedSubmission{
        std::move(submission.done),
        FailedSubAnswer(submission.request,
                        queued ? Outcome::kNotRun : Outcome::kUnknown,
                        Refusal::kCancelled)};
    if (queued) {
      searcher.submissions.erase(found);
    } else {
      submission.cancelled = true;
      sent = submission.request;
      sent.id = id;
      client = searcher.client;
    }
  }
  Finish(std::move(*finished));
  if (client) {
    client->Start(HttpCall{.method = "POST",
                           .target = "/cancel",
                           .body = SerializeCancel(sent),
                           .deadline = now + kCancelTimeout},
                  [](const HttpCallResult&) {});
  }
}

void OwnerService::Finish(FinishedSubmission finished) {
  --in_flight_;
  finished.done(std::move(finished.answer));
}

size_t OwnerService::open_connections() const {
  size_t total = 0;
  for (const Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    for (const auto& [endpoint, searcher] : shard.searchers) {
      total += searcher.client->open_connections();
    }
  }
  return total;
}

}  // namespace greengage
