#include "tools/bench/fake_owner.h"

#include <algorithm>
#include <utility>

namespace greengage::bench {

namespace {

// A new connection costs this much, one to six milliseconds.
constexpr int64_t kMinConnectUs = 1000;
constexpr int64_t kMaxConnectUs = 6000;
constexpr size_t kSpareConnections = 2;

SubAnswer MakeFailure(const SubRequest& request,
                      Outcome outcome,
                      Refusal refusal) {
  SubAnswer answer;
  answer.id = request.id;
  answer.request_id = request.request_id;
  answer.searcher = request.searcher;
  answer.outcome = outcome;
  answer.refusal = refusal;
  return answer;
}

}  // namespace

FakeOwner::FakeOwner(EventQueue* events,
                     SubCallTable* calls,
                     FakeSearcher* searcher,
                     const Shape* shape,
                     uint64_t seed,
                     OwnerOptions options,
                     EndHook on_end)
    : events_(events),
      calls_(calls),
      searcher_(searcher),
      shape_(shape),
      options_(options),
      on_end_(std::move(on_end)),
      random_(static_cast<std::minstd_rand::result_type>(seed)),
      queue_(options.queue) {}

void FakeOwner::Submit(CallId id) {
  const SubCall* call = calls_->Find(id);
  if (call == nullptr) {
    return;
  }
  const auto refusal = queue_.Push(events_->now(), call->request);
  if (refusal) {
    SubAnswer answer =
        MakeFailure(call->request, Outcome::kNotRun, refusal->refusal);
    answer.retry_after = refusal->retry_after;
    Finish(id, std::move(answer));
    return;
  }
  waiting_.emplace(call->request.id, id);
  SendQueued();
}

void FakeOwner::Cancel(CallId id) {
  SubCall* call = calls_->Find(id);
  if (call == nullptr || call->ended) {
    return;
  }
  call->cancelled = true;
  waiting_.erase(call->request.id);
  if (queue_.Remove(call->request.id, call->request.request_id)) {
    calls_->Remove(id);
    return;
  }
  std::erase(awaiting_connection_, id);
  const auto it =
      std::find_if(connections_.begin(), connections_.end(),
                   [&](const auto& entry) { return entry.second.call == id; });
  if (it != connections_.end()) {
    Close(it->first);
    OpenSpareConnections();
  }
  // The searcher hears of it on another connection.
  events_->After(shape_->searcher_latency, [this, id] {
    searcher_->Cancel(id);
    calls_->Remove(id);
  });
  queue_.Finish(events_->now(), std::nullopt);
  SendQueued();
}

void FakeOwner::OnAnswer(CallId id, SubAnswer answer) {
  SubCall* call = calls_->Find(id);
  if (call == nullptr) {
    return;
  }
  const auto it = connections_.find(call->connection);
  if (it == connections_.end() || it->second.call != id) {
    return;
  }
  if (it->second.silent) {
    call->lost_on_silent_connection = true;
    return;
  }
  it->second.call.reset();
  monitor_.OnAnswer(events_->now(), call->connection);
  answer.queue_time = call->queue_time;
  answer.service_time = events_->now() - call->sent;
  const bool answered = answer.outcome == Outcome::kAnswered;
  queue_.Finish(events_->now(),
                answered ? std::optional(answer.service_time) : std::nullopt);
  Finish(id, std::move(answer));
  SendQueued();
}

void FakeOwner::OnKilled() {
  std::map<uint64_t, Connection> lost;
  lost.swap(connections_);
  for (const auto& [key, connection] : lost) {
    monitor_.OnClosed(key);
    EndNewConnectionProbe(key);
    if (connection.call) {
      queue_.Finish(events_->now(), std::nullopt);
      Fail(*connection.call, Outcome::kUnknown);
    }
  }
  SendQueued();
}

void FakeOwner::SilenceConnections() {
  for (auto& [key, connection] : connections_) {
    connection.silent = true;
    if (connection.call && !connection.first_silent_use) {
      connection.first_silent_use = events_->now();
    }
  }
}

void FakeOwner::CheckConnections() {
  if (!options_.replaces_silent_connections) {
    return;
  }
  const ConnectionDecision decision = monitor_.Decide(events_->now());
  for (const uint64_t key : decision.probe) {
    Probe(key);
  }
  if (decision.open_probe_connection) {
    ProbeOnNewConnection();
  }
  for (const uint64_t key : decision.replace) {
    const std::optional<CallId> call = connections_.at(key).call;
    Close(key);
    if (call) {
      queue_.Finish(events_->now(), std::nullopt);
      Fail(*call, Outcome::kUnknown);
    }
  }
  OpenSpareConnections();
  SendQueued();
}

Duration FakeOwner::MaxSilentTime(TimePoint now) const {
  Duration longest = max_silent_time_;
  for (const auto& [key, connection] : connections_) {
    if (connection.first_silent_use) {
      longest = std::max(longest, now - *connection.first_silent_use);
    }
  }
  return longest;
}

void FakeOwner::SendQueued() {
  for (;;) {
    PopResult pop = queue_.Pop(events_->now());
    for (const QueuedSubRequest& dropped : pop.dropped) {
      FinishDropped(dropped);
    }
    if (!pop.next) {
      return;
    }
    const auto it = waiting_.find(pop.next->request.id);
    const CallId id = it->second;
    waiting_.erase(it);
    calls_->Find(id)->queue_time = pop.next->queue_time;
    Send(id);
  }
}

void FakeOwner::FinishDropped(const QueuedSubRequest& dropped) {
  const auto it = waiting_.find(dropped.request.id);
  if (it == waiting_.end()) {
    return;
  }
  const CallId id = it->second;
  waiting_.erase(it);
  SubAnswer answer =
      MakeFailure(dropped.request, Outcome::kNotRun, Refusal::kDeadline);
  answer.queue_time = dropped.queue_time;
  Finish(id, std::move(answer));
}

void FakeOwner::Send(CallId id) {
  const std::optional<uint64_t> idle = IdleConnection();
  if (idle) {
    SendOn(*idle, id);
  } else if (connections_.size() < options_.connections) {
    Open(id);
  } else {
    awaiting_connection_.push_back(id);
  }
}

void FakeOwner::SendOn(uint64_t key, CallId id) {
  SubCall* call = calls_->Find(id);
  if (call == nullptr) {
    return;
  }
  const TimePoint now = events_->now();
  Connection& connection = connections_.at(key);
  call->connection = key;
  call->sent = now;
  connection.call = id;
  monitor_.OnRequest(now, key, ConnectionMonitor::RequestKind::kCall);
  if (connection.silent) {
    connection.first_silent_use = connection.first_silent_use.value_or(now);
    call->lost_on_silent_connection = true;
    return;
  }
  events_->After(shape_->searcher_latency,
                 [this, id] { searcher_->Arrive(id); });
}

uint64_t FakeOwner::Open(std::optional<CallId> waiting) {
  const uint64_t key = next_connection_++;
  connections_.emplace(
      key, Connection{false, false, std::nullopt, false, std::nullopt});
  std::uniform_int_distribution<int64_t> cost(kMinConnectUs, kMaxConnectUs);
  events_->After(std::chrono::microseconds(cost(random_)),
                 [this, key, waiting] { OnOpened(key, waiting); });
  return key;
}

void FakeOwner::OnOpened(uint64_t key, std::optional<CallId> waiting) {
  const auto it = connections_.find(key);
  if (it != connections_.end() && !searcher_->faults().dead) {
    it->second.open = true;
    monitor_.OnOpened(events_->now(), key);
    if (key == new_connection_probe_) {
      Probe(key);
    } else if (waiting && IsActive(*waiting)) {
      SendOn(key, *waiting);
    } else if (!awaiting_connection_.empty()) {
      const CallId id = awaiting_connection_.front();
      awaiting_connection_.erase(awaiting_connection_.begin());
      SendOn(key, id);
    }
    return;
  }
  connections_.erase(key);
  EndNewConnectionProbe(key);
  if (waiting && IsActive(*waiting)) {
    queue_.Finish(events_->now(), std::nullopt);
    Fail(*waiting, Outcome::kNotRun);
    SendQueued();
  }
}

void FakeOwner::Close(uint64_t key) {
  const auto it = connections_.find(key);
  if (it == connections_.end()) {
    return;
  }
  if (it->second.first_silent_use) {
    max_silent_time_ = std::max(max_silent_time_,
                                events_->now() - *it->second.first_silent_use);
  }
  connections_.erase(it);
  monitor_.OnClosed(key);
  EndNewConnectionProbe(key);
}

void FakeOwner::OpenSpareConnections() {
  const size_t wanted = options_.queue.slots +
                        std::min<size_t>(options_.queue.extra_outstanding, 2) +
                        kSpareConnections;
  while (connections_.size() < std::min(wanted, options_.connections) &&
         !searcher_->faults().dead) {
    Open(std::nullopt);
  }
}

void FakeOwner::Probe(uint64_t key) {
  Connection& connection = connections_.at(key);
  connection.probing = true;
  monitor_.OnRequest(events_->now(), key,
                     ConnectionMonitor::RequestKind::kProbe);
  if (connection.silent) {
    connection.first_silent_use =
        connection.first_silent_use.value_or(events_->now());
    return;
  }
  events_->After(shape_->searcher_latency * 2, [this, key] { OnProbed(key); });
}

void FakeOwner::OnProbed(uint64_t key) {
  const auto it = connections_.find(key);
  if (it == connections_.end() || it->second.silent ||
      searcher_->faults().dead) {
    return;
  }
  if (events_->now() < searcher_->faults().paused_until) {
    events_->At(searcher_->faults().paused_until,
                [this, key] { OnProbed(key); });
    return;
  }
  it->second.probing = false;
  monitor_.OnAnswer(events_->now(), key);
  EndNewConnectionProbe(key);
}

// Asks the searcher on a connection that cannot have gone silent yet.
void FakeOwner::ProbeOnNewConnection() {
  monitor_.OnNewConnectionProbeStarted();
  new_connection_probe_ = Open(std::nullopt);
}

void FakeOwner::EndNewConnectionProbe(uint64_t key) {
  if (key == new_connection_probe_) {
    new_connection_probe_.reset();
    monitor_.OnNewConnectionProbeEnded();
  }
}

void FakeOwner::Finish(CallId id, SubAnswer answer) {
  calls_->Find(id)->ended = true;
  on_end_(id, std::move(answer));
}

bool FakeOwner::IsActive(CallId id) const {
  const SubCall* call = calls_->Find(id);
  return call != nullptr && !call->cancelled;
}

void FakeOwner::Fail(CallId id, Outcome outcome) {
  const SubCall* call = calls_->Find(id);
  if (call != nullptr) {
    Finish(id, MakeFailure(call->request, outcome, Refusal::kConnectionLost));
  }
}

std::optional<uint64_t> FakeOwner::IdleConnection() const {
  // The one used last is the least likely to have gone silent.
  for (auto it = connections_.rbegin(); it != connections_.rend(); ++it) {
    const Connection& connection = it->second;
    if (connection.open && !connection.call && !connection.probing) {
      return it->first;
    }
  }
  return std::nullopt;
}

}  // namespace greengage::bench
