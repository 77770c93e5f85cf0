#include "greengage/transport/sub_request_router.h"

#include <algorithm>

#include "greengage/protocol/peer_codec.h"
#include "greengage/protocol/searcher_codec.h"
#include "transport/clock.h"

namespace greengage {
namespace {

constexpr std::chrono::milliseconds kCancelTimeout{1000};

}  // namespace

// The sub-requests that went to one owner in one message.
struct SubRequestRouter::Batch {
  std::string owner;
  Callback on_answer;
  std::mutex mutex;
  std::vector<SubRequest> open;  // Not answered yet.

  // Takes out the sub-request with `id`; nothing if it was answered already.
  std::optional<SubRequest> Take(uint64_t id) {
    const std::lock_guard lock(mutex);
    const auto found = std::find_if(
        open.begin(), open.end(),
        [id](const SubRequest& request) { return request.id == id; });
    if (found == open.end()) {
      return std::nullopt;
    }
    SubRequest taken = std::move(*found);
    *found = std::move(open.back());
    open.pop_back();
    return taken;
  }

  std::vector<SubRequest> TakeAll() {
    const std::lock_guard lock(mutex);
    return std::exchange(open, {});
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
  std::vector<SubRequest> here;
  const OwnerSetPtr owners = owners_();
  for (SubRequest& request : requests) {
    const Instance* owner =
        owners ? ChooseOwner(now, owners->OwnersOf(request.searcher)) : nullptr;
    if (!owner || owner->id == self_) {
      here.push_back(std::move(request));
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
  for (SubRequest& request : here) {
    routes.push_back(SendHere(std::move(request), on_answer));
  }
  return routes;
}

SubRequestRoute SubRequestRouter::SendHere(SubRequest request,
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
  batch->open = std::move(requests);
  ClientFor(owner)->Open(
      kSubRequestsPath, message, deadline,
      [self = shared_from_this(), batch](const std::string& answer) {
        self->OnMessage(batch, answer);
      },
      [self = shared_from_this(), batch](const PeerEnd& end) {
        self->OnEnd(batch, end);
      });
}

void SubRequestRouter::OnMessage(const std::shared_ptr<Batch>& batch,
                                 const std::string& message) {
  Result<StampedSubAnswer> read = ParseSubAnswer(message);
  if (!read) {
    return;  // OnEnd() accounts for the sub-request.
  }
  health_.OnSuccess(batch->owner);
  clock_->Observe(read->stamp, NowWall());
  const std::optional<SubRequest> request = batch->Take(read->answer.id);
  if (request && request->request_id == read->answer.request_id) {
    batch->on_answer(std::move(read->answer));
  }
}

void SubRequestRouter::OnEnd(const std::shared_ptr<Batch>& batch,
                             const PeerEnd& end) {
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
  std::shared_ptr<PeerClient> link;
  {
    const std::lock_guard lock(mutex_);
    const auto found = links_.find(route.instance);
    if (found == links_.end()) {
      return;
    }
    link = found->second.client;
  }
  const TimePoint now = Now();
  link->Open(
      kCancelPath,
      SerializeSubBatch(SubBatch{clock_->Now(NowWall()), {route.request}}, now),
      now + kCancelTimeout, [](const std::string&) {}, [](const PeerEnd&) {});
}

std::shared_ptr<PeerClient> SubRequestRouter::ClientFor(
    const Instance& instance) {
  const std::lock_guard lock(mutex_);
  Link& link = links_[instance.id];
  if (link.client && link.peer != instance.peer) {
    link.client->Close();
    link.client = nullptr;
  }
  if (!link.client) {
    link.peer = instance.peer;
    link.client = PeerClient::Create(context_, instance.peer, limits_);
  }
  return link.client;
}

void SubRequestRouter::RemovePeer(const std::string& instance) {
  std::shared_ptr<PeerClient> client;
  {
    const std::lock_guard lock(mutex_);
    const auto found = links_.find(instance);
    if (found == links_.end()) {
      return;
    }
    client = std::move(found->second.client);
    links_.erase(found);
  }
  client->Close();
}

void SubRequestRouter::Close() {
  std::unordered_map<std::string, Link> links;
  {
    const std::lock_guard lock(mutex_);
    links.swap(links_);
  }
  for (auto& [id, link] : links) {
    link.client->Close();
  }
}

}  // namespace greengage
