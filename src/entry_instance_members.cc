// The parts of an entry instance that handle the membership and the
// configuration.
#include <boost/asio.hpp>

#include <algorithm>

#include "entry_instance_impl.h"
#include "greengage/coordination/watcher_set.h"
#include "greengage/protocol/status_codec.h"
#include "transport/random_base.h"

namespace greengage {
namespace {

// Interval at which an instance without other members queries the platform for
// gossip seeds.
constexpr std::chrono::seconds kSeedInterval{2};

// Maximum time that the platform holds a watch open without a change. A watch
// whose answer is lost hides changes until it ends.
constexpr std::chrono::milliseconds kWatchTimeout{2000};

ConfigurationText ToConfigurationText(PlatformObject object) {
  return ConfigurationText{object.version, std::move(object.value)};
}

// Maps a missing configuration object to kStaleVersion, the result of a watch
// that ended without a change.
Result<ConfigurationText> ToWatchResult(Result<PlatformObject> result) {
  if (result) {
    return ToConfigurationText(std::move(result).value());
  }
  if (result.last_reason().kind == FailureKind::kNotFound) {
    return Failure{FailureKind::kStaleVersion, "configuration",
                   "no configuration has been published"};
  }
  return result.last_reason();
}

}  // namespace

Result<Done> EntryInstanceImpl::StartGossip() {
  GossipOptions options;
  options.self.id = settings_.id;
  options.self.data_centre = settings_.data_centre;
  options.self.gossip = settings_.gossip;
  options.self.peer = peer_server_->endpoint();
  options.self.http = http_server_->endpoint();
  options.seeds = settings_.seeds;
  options.random_seed = RandomBase();
  GossipService::Hooks hooks;
  hooks.on_change = [this](const MembershipChange& change) {
    OnMemberChange(change);
  };
  hooks.on_table = [this](const MemberTablePtr& table) {
    OnMemberTable(table);
  };
  hooks.on_version = [this](const VersionAnnouncement& announcement) {
    configuration_->OnVersionAnnounced(announcement.version,
                                       announcement.source);
  };
  Result<std::shared_ptr<GossipService>> gossip = GossipService::Start(
      context_, std::move(options), &clock_, &events_, std::move(hooks));
  if (!gossip) {
    return gossip.last_reason();
  }
  gossip_ = *gossip;
  return Done{};
}

void EntryInstanceImpl::OnMemberTable(const MemberTablePtr& table) {
  owners_.SetTable(table);
  UpdateWatching();
}

void EntryInstanceImpl::OnMemberChange(const MembershipChange& change) {
  if (change.kind == MembershipChangeKind::kGone) {
    router_->RemovePeer(change.instance.id);
  }
}

// Only the watchers of a data centre watch the platform's configuration, on
// behalf of all instances there. An instance without a configuration watches as
// well, since it may not have joined the other instances yet.
void EntryInstanceImpl::UpdateWatching() {
  if (stopping_ || !gossip_) {
    return;
  }
  configuration_->SetWatching(!configuration_->current() ||
                              ShouldWatch(*gossip_->table()));
}

// Uses the instances that the platform lists only as gossip seeds, since the
// list may be stale.
void EntryInstanceImpl::SeedFromPlatform() {
  seed_timer_.expires_after(kSeedInterval);
  seed_timer_.async_wait([weak = weak_from_this()](auto error) {
    const auto self = weak.lock();
    if (!error && self) {
      self->SeedFromPlatform();
    }
  });
  if (gossip_->table()->members.size() > 1) {
    return;
  }
  platform_->Instances(
      std::chrono::steady_clock::now() + settings_.platform_timeout,
      [weak = weak_from_this()](const Result<std::vector<Instance>>& listed) {
        const auto self = weak.lock();
        if (!self || !listed) {
          return;
        }
        std::vector<Endpoint> seeds = self->settings_.seeds;
        for (const Instance& instance : *listed) {
          if (instance.gossip.port != 0) {
            seeds.push_back(instance.gossip);
          }
        }
        self->gossip_->SetSeeds(std::move(seeds));
      });
}

void EntryInstanceImpl::WatchConfiguration(
    uint64_t after,
    ConfigurationService::TextCallback done) {
  const TimePoint deadline = std::chrono::steady_clock::now() + kWatchTimeout +
                             settings_.platform_timeout;
  platform_->Watch(ConfigurationObject(), after, kWatchTimeout, deadline,
                   [done = std::move(done)](Result<PlatformObject> result) {
                     done(ToWatchResult(std::move(result)));
                   });
}

void EntryInstanceImpl::OnConfiguration(const ConfigurationPtr& configuration) {
  searchers_.Apply(std::chrono::steady_clock::now(), *configuration);
  owner_service_->Apply(configuration);
  owners_.SetConfiguration(configuration);
  gossip_->SetConfigurationVersion(configuration->version);
  UpdateWatching();
  const LimitsConfiguration& limits = configuration->limits;
  hedge_budget_.set_percent(limits.hedge_percent);
  retry_budget_.set_percent(
      limits.retry_percent -
      std::min(limits.retry_percent, limits.hedge_percent));
  if (const auto level = ParseLogLevel(configuration->log_level)) {
    SetLogLevel(*level);
  }
}

std::string EntryInstanceImpl::Status() const {
  const ConfigurationPtr configuration = configuration_->current();
  const auto table = gossip_->table();
  InstanceStatus status;
  status.id = settings_.id;
  status.data_centre = settings_.data_centre;
  status.state = stopping_ ? InstanceState::kLeaving : InstanceState::kLive;
  status.configuration_version = configuration ? configuration->version : 0;
  status.platform_down = configuration_->platform_down();
  status.members.assign(table->members.begin(), table->members.end());
  return SerializeStatus(status);
}

void EntryInstanceImpl::OnSearcherLeaving(const Endpoint& searcher) {
  searchers_.OnDrainSignal(std::chrono::steady_clock::now(), searcher);
  owner_service_->Drain(searcher);
}

}  // namespace greengage
