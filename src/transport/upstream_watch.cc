#include "greengage/transport/upstream_watch.h"

#include <map>

#include "greengage/protocol/peer_codec.h"
#include "transport/clock.h"

namespace greengage {
namespace {

// A leaving searcher must get no new work after 5 s, and this list is one of
// the ways in which owners learn about it.
constexpr std::chrono::milliseconds kReadInterval{2000};
constexpr std::chrono::milliseconds kNotifyTimeout{1000};

// Leaving searchers, grouped by the instance that owns them.
using LeavingSearchersByOwner =
    std::map<std::string, std::pair<Instance, std::vector<Endpoint>>>;

LeavingSearchersByOwner GroupByOwner(const std::vector<Instance>& listed,
                                     const OwnerSet& owners) {
  LeavingSearchersByOwner grouped;
  for (const Instance& upstream : listed) {
    if (upstream.state != InstanceState::kLeaving) {
      continue;
    }
    for (const Instance* owner : owners.OwnersOf(upstream.http)) {
      auto& [instance, searchers] = grouped[owner->id];
      instance = *owner;
      searchers.push_back(upstream.http);
    }
  }
  return grouped;
}

}  // namespace

UpstreamWatch::UpstreamWatch(boost::asio::io_context& context,
                             std::string self,
                             std::shared_ptr<PlatformClient> platform,
                             std::chrono::milliseconds timeout,
                             std::shared_ptr<SubRequestRouter> router,
                             HybridClock* clock,
                             Hooks hooks)
    : self_(std::move(self)),
      platform_(std::move(platform)),
      timeout_(timeout),
      router_(std::move(router)),
      clock_(clock),
      hooks_(std::move(hooks)),
      timer_(context) {}

void UpstreamWatch::Start() {
  Schedule();
}

void UpstreamWatch::Stop() {
  timer_.cancel();
}

void UpstreamWatch::Schedule() {
  timer_.expires_after(kReadInterval);
  timer_.async_wait([weak = weak_from_this()](auto error) {
    const auto self = weak.lock();
    if (!error && self) {
      self->FetchInstances();
    }
  });
}

void UpstreamWatch::FetchInstances() {
  Schedule();
  if (!hooks_.is_watcher()) {
    return;
  }
  platform_->Instances(
      Now() + timeout_,
      [weak = weak_from_this()](const Result<std::vector<Instance>>& listed) {
        const auto self = weak.lock();
        if (self && listed) {
          self->NotifyOwners(*listed);
        }
      });
}

void UpstreamWatch::NotifyOwners(const std::vector<Instance>& listed) {
  const OwnerSetPtr owners = hooks_.owners();
  if (!owners) {
    return;
  }
  for (const auto& [id, entry] : GroupByOwner(listed, *owners)) {
    const auto& [owner, searchers] = entry;
    if (id == self_) {
      for (const Endpoint& searcher : searchers) {
        hooks_.on_leaving(searcher);
      }
      continue;
    }
    const HybridTime stamp = clock_->Now(std::chrono::system_clock::now());
    router_->ClientFor(owner)->Open(
        kLeavingSearchersPath, SerializeLeavingSearchers(searchers, stamp),
        Now() + kNotifyTimeout, [](const std::string&) {},
        [](const PeerStreamResult&) {});
  }
}

}  // namespace greengage
