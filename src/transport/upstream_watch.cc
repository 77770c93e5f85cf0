#include "greengage/transport/upstream_watch.h"

#include <map>

#include "greengage/protocol/peer_codec.h"
#include "transport/clock.h"

namespace greengage {
namespace {

// A leaving searcher gets no new work after 5 s; the list is one of the signs.
constexpr std::chrono::milliseconds kReadPeriod{2000};
constexpr std::chrono::milliseconds kTellTimeout{1000};

// Searchers that are leaving, by the instance that has to know.
using LeavingByOwner =
    std::map<std::string, std::pair<Instance, std::vector<Endpoint>>>;

LeavingByOwner GroupByOwner(const std::vector<Instance>& listed,
                            const OwnerSet& owners) {
  LeavingByOwner grouped;
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
  timer_.expires_after(kReadPeriod);
  timer_.async_wait([weak = weak_from_this()](auto error) {
    const auto self = weak.lock();
    if (!error && self) {
      self->Read();
    }
  });
}

void UpstreamWatch::Read() {
  Schedule();
  if (!hooks_.is_watcher()) {
    return;
  }
  platform_->Instances(
      Now() + timeout_,
      [weak = weak_from_this()](const Result<std::vector<Instance>>& listed) {
        const auto self = weak.lock();
        if (self && listed) {
          self->Tell(*listed);
        }
      });
}

void UpstreamWatch::Tell(const std::vector<Instance>& listed) {
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
        Now() + kTellTimeout, [](const std::string&) {}, [](const PeerEnd&) {});
  }
}

}  // namespace greengage
