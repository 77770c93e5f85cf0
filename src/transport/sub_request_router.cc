#include "greengage/transport/sub_request_router.h"

#include <algorithm>

#include "greengage/protocol/peer_codec.h"
#include "greengage/protocol/searcher_codec.h"
#include "transport/clock.h"

namespace greengage {
namespace {

constexpr std::chrono::milliseconds kCancelTimeout{1000};

}  // namespace

// The sub-requests sent to one owner in one message.
struct SubRequestRouter::Batch {
  std::string owner;
  Callback on_answer;
  std::mutex mutex;
  std::vector<SubRequest> unanswered;

  // Removes and returns the sub-request with `id`, or returns nullopt if it has
  // been answered already.
  std::optional<SubRequest> Take(uint64_t id) {
    const std::lock_guard lock(mutex);
    const auto found = std::find_if(
        unanswered.begin(), unanswered.end(),
        [id](const SubRequest& request) { return request.id == id; });
    if (found == unanswered.end()) {
      return std::nullopt;
    }
    SubRequest request = std::move(*found);
    *found = std::move(unanswered.back());
    unanswered.pop_back();
    return request;
  }

  std::vector<SubRequest> TakeAll() {
    const std::lock_guard lock(mutex);
    return std::exchange(unanswered, {});
  }
};

SubRequestRouter::SubRequestRouter(boost::asio::io_context& context,
                                   std::string self,
                                   OwnersHook owners,
                                   OwnerService* owner_service,
                                   HybridClock* clock,
                                   PeerLimits limits,
                                   Hooks hooks)
    : context_(context),
      self_(std::move(self)),
      owners_(std::move(owners)),
      owner_service_(owner_service),
      clock_(clock),
      limits_(limits),
      hooks_(std::move(hooks)) {}

const Instance* SubRequestRouter::ChooseOwner(
    TimePoint now,
    const std::vector<const Instance*>& owners) const {
  for (const Instance* owner : owners) {
    if (owner->id == self_ || health_.IsUsable(now, owner->id)) {
      return owner;
    }
  }
  return nullptr;
}

std::vector<SubRequestRoute> SubRequestRouter::Send(
    std::vector<SubRequest> requests,
    const Callback& on_answer) {
  const TimePoint now = Now();
  std::vector<SubRequestRoute> routes;
  routes.reserve(requests.size());
  std::map<std::string, std::pair<Instance, std::vector<SubRequest>>> batches;
  std::vector<SubRequest> local;
  const OwnerSetPtr owners = owners_();
  for (SubRequest& request : requests) {
    const Instance* owner =
        owners ? ChooseOwner(now, owners->OwnersOf(request.searcher)) : nullptr;
    if (!owner || owner->id == self_) {
      local.push_back(std::move(request));
      continue;
    }
    routes.push_back(SubRequestRoute{request, owner->id});
    auto& [instance, batch] = batches[owner->id];
    instance = *owner;
    batch.push_back(std::move(request));
  }
  for (auto& [id, batch] : batches) {
    SendBatch(batch.first, std::move(batch.second), on_answer);
  }
  for (SubRequest& request : local) {
    routes.push_back(SendLocally(std::move(request), on_answer));
  }
  return routes;
}

SubRequestRoute SubRequestRouter::SendLocally(SubRequest request,
                                              const Callback& on_answer) {
  SubRequestRoute route{request};
  route.submission = owner_service_->Submit(std::move(request), on_answer);
  return route;
}

void SubRequestRouter::SendBatch(const Instance& owner,
                                 std::vector<SubRequest> requests,
                                 const Callback& on_answer) {
  const TimePoint deadline = requests.front().deadline;
  if (hooks_.on_forwarded) {
    for (const SubRequest& request : requests) {
      hooks_.on_forwarded(request, owner);
    }
  }
  const std::string message =
      SerializeSubBatch(SubBatch{clock_->Now(NowWall()), requests}, Now());
  const auto batch = std::make_shared<Batch>();
  batch->owner = owner.id;
  batch->on_answer = on_answer;
  batch->unanswered = std::move(requests);
  ClientFor(owner)->Open(
      kSubRequestsPath, message, deadline,
      [self = shared_from_this(), batch](const std::string& answer) {
        self->OnMessage(batch, answer);
      },
      [self = shared_from_this(), batch](const PeerStreamResult& end) {
        self->OnEnd(batch, end);
      });
}

void SubRequestRouter::OnMessage(const std::shared_ptr<Batch>& batch,
                                 const std::string& message) {
  Result<StampedSubAnswer> parsed = ParseSubAnswer(message);
  if (!parsed) {
    return;  // OnEnd() answers the sub-request.
  }
  health_.OnSuccess(batch->owner);
  clock_->Observe(parsed->stamp, NowWall());
  const std::optional<SubRequest> request = batch->Take(parsed->answer.id);
  if (request && request->request_id == parsed->answer.request_id) {
    batch->on_answer(std::move(parsed->answer));
  }
}

void SubRequestRouter::OnEnd(const std::shared_ptr<Batch>& batch,
                             const PeerStreamResult& end) {
  Refusal refusal = Refusal::kConnectionLost;
  if (end.failure) {
    switch (end.failure->kind) {
      case FailureKind::kTimedOut:
        refusal = Refusal::kDeadline;
        break;
      case FailureKind::kCancelled:
        refusal = Refusal::kCancelled;
        break;
      default:
        health_.OnFailure(Now(), batch->owner);
    }
  }
  const Outcome outcome = end.not_run ? Outcome::kNotRun : Outcome::kUnknown;
  for (const SubRequest& request : batch->TakeAll()) {
    batch->on_answer(FailedSubAnswer(request, outcome, refusal));
  }
}

void SubRequestRouter::Cancel(const SubRequestRoute& route) {
  if (route.instance.empty()) {
    owner_service_->Cancel(route.request.searcher, route.submission);
    return;
  }
  std::shared_ptr<PeerClient> peer;
  {
    const std::lock_guard lock(mutex_);
    const auto found = peers_.find(route.instance);
    if (found == peers_.end()) {
      return;
    }
    peer = found->second.client;
  }
  const TimePoint now = Now();
  peer->Open(
      kCancelPath,
      SerializeSubBatch(SubBatch{clock_->Now(NowWall()), {route.request}}, now),
      now + kCancelTimeout, [](const std::string&) {},
      [](const PeerStreamResult&) {});
}

std::shared_ptr<PeerClient> SubRequestRouter::ClientFor(
    const Instance& instance) {
  const std::lock_guard lock(mutex_);
  PeerConnection& peer = peers_[instance.id];
  if (peer.client && peer.endpoint != instance.peer) {
    peer.client->Close();
    peer.client = nullptr;
  }
  if (!peer.client) {
    peer.endpoint = instance.peer;
    peer.client = PeerClient::Create(context_, instance.peer, limits_);
  }
  return peer.client;
}

void SubRequestRouter::RemovePeer(const std::string& instance) {
  std::shared_ptr<PeerClient> client;
  {
    const std::lock_guard lock(mutex_);
    const auto found = peers_.find(instance);
    if (found == peers_.end()) {
      return;
    }
    client = std::move(found->second.client);
    peers_.erase(found);
  }
  client->Close();
}

void SubRequestRouter::Close() {
  std::unordered_map<std::string, PeerConnection> peers;
  {
    const std::lock_guard lock(mutex_);
    peers.swap(peers_);
  }
  for (auto& [id, peer] : peers) {
    peer.client->Close();
  }
}

}  // namespace greengage
