// The parts of a routed instance that know its peers and choose whether to read
// the configuration and the searchers from the store or from a peer.
#include <algorithm>
#include <chrono>
#include <iterator>
#include <set>
#include <utility>

#include "greengage/transport/guard.h"
#include "greengage/transport/log_line.h"
#include "routed_instance_impl.h"

namespace greengage {
namespace {

using std::chrono::milliseconds;

// Interval between two reads of the registry of instances, and the delay before
// the retry of a failed one. The second read comes sooner, since others may
// have started meanwhile.
constexpr std::chrono::seconds kInstancesReadInterval{10};
constexpr std::chrono::seconds kSecondInstancesReadDelay{3};
constexpr milliseconds kInstancesRetryDelay{500};

// Time after a registration in which the registry may still lack it, since
// reads of the registry may be some seconds old.
constexpr std::chrono::seconds kRegistrationVisibleTime{10};

// Time that the instances of a new deployment need to register. The registry is
// first read after it.
constexpr milliseconds kRegistrationTime{700};

// Interval between two reads of the searcher registry, as a percentage of
// leave_time, the time in which a leaving searcher may still get requests. The
// rest covers a slow or retried read and the requests that are already sent. An
// instance with clients reads more often, since its clients' state is older by
// the time of their call.
constexpr int kReadIntervalPercent = 45;
constexpr int kReadIntervalWithClientsPercent = 20;

// Age at which an instance no longer relies on its peers' state, as a
// percentage of leave_time.
constexpr int kMaxFeedAgePercent = 40;

// How long a peer may hold a call back while nothing changes, as a percentage
// of leave_time.
constexpr int kPeerWaitPercent = 10;

// Timeouts of calls to a peer, beyond the time for which it may hold them back.
// The first answer has all searchers, and many instances may ask for it at
// once.
constexpr milliseconds kPeerTimeout{700};
constexpr milliseconds kFirstPeerTimeout{2500};

// How long a new instance waits for its peers' state before it reads the store.
constexpr milliseconds kFirstStateTime{3000};

// Interval between two decisions where to read from.
constexpr milliseconds kFeedUpdateInterval{500};
constexpr milliseconds kPeerRetryDelay{200};

// One in this many successfully forwarded queries is logged.
constexpr uint64_t kGoodAnswersPerLogLine = 32;

void LogRegistryFailure(std::string_view call, const Failure& reason) {
  LogLine(DecisionEvent::kInstanceListFailed)
      .Add("call", call)
      .Add("cause", FailureKindName(reason.kind))
      .Add("detail", reason.detail)
      .Write();
}

}  // namespace

InstanceRecord RoutedInstanceImpl::SelfRecord() const {
  return {settings_.id, settings_.data_centre, settings_.peer,
          settings_.capacity};
}

Duration RoutedInstanceImpl::MaxFeedAge() const {
  return settings_.leave_time * kMaxFeedAgePercent / 100;
}

Duration RoutedInstanceImpl::RegistryReadInterval() const {
  return settings_.leave_time *
         (feed_source_.has_clients() ? kReadIntervalWithClientsPercent
                                     : kReadIntervalPercent) /
         100;
}

void RoutedInstanceImpl::JoinInstances() {
  state_known_at_ = Now() + kFirstStateTime - MaxFeedAge();
  RegisterInstance([weak = weak_from_this()](Registration registration) {
    if (const auto self = weak.lock()) {
      const bool peers_are_starting =
          self->settings_.first_start && registration == Registration::kNew;
      self->ReadInstancesAfter(peers_are_starting ? Duration(kRegistrationTime)
                                                  : Duration::zero());
    }
  });
}

void RoutedInstanceImpl::RegisterInstance(
    std::function<void(Registration)> done) {
  registered_at_ = Now();
  platform_.instances.add(
      SelfRecord(), [weak = weak_from_this(), done = std::move(done)](
                        const Result<Registration>& added) {
        const auto self = weak.lock();
        if (!self || self->stopping_) {
          return;
        }
        if (!added) {
          LogRegistryFailure("enter", added.last_reason());
          self->registration_failed_ = true;  // The next read retries it.
        }
        done(added ? *added : Registration::kRenewed);
      });
}

void RoutedInstanceImpl::ReadInstancesAfter(Duration delay) {
  instances_timer_.expires_after(delay);
  instances_timer_.async_wait([weak = weak_from_this()](auto error) {
    const auto self = weak.lock();
    if (!error && self && !self->stopping_) {
      self->ReadInstances();
    }
  });
}

// A store that was restored from a copy may lack the entry.
void RoutedInstanceImpl::RestoreRegistration() {
  const bool is_listed = std::any_of(
      known_instances_.begin(), known_instances_.end(),
      [this](const InstanceRecord& known) { return known.id == settings_.id; });
  if (instances_read_ && !stopping_ && !is_listed &&
      Now() - registered_at_ >= kRegistrationVisibleTime) {
    LogLine(DecisionEvent::kRegistrationMissing)
        .Add("instances", known_instances_.size())
        .Write();
    RegisterInstance([](Registration) {});
  }
}

// Instances that read from a peer learn of changes from it.
void RoutedInstanceImpl::ReadInstances() {
  if (instances_read_ && std::exchange(registration_failed_, false)) {
    RegisterInstance([](Registration) {});
  }
  RestoreRegistration();
  if (instances_read_ && !searcher_watcher_) {
    ReadInstancesAfter(kInstancesReadInterval);
    return;
  }
  platform_.instances.list(
      [weak = weak_from_this()](
          const Result<std::vector<InstanceRecord>>& listed) {
        const auto self = weak.lock();
        if (!self || self->stopping_) {
          return;
        }
        if (listed) {
          RunGuarded("instances",
                     [&self, &listed] { self->OnInstances(*listed); });
        } else {
          LogRegistryFailure("count", listed.last_reason());
        }
        const bool is_first = !std::exchange(self->instances_read_, true);
        self->ReadInstancesAfter(!listed ? Duration(kInstancesRetryDelay)
                                 : is_first
                                     ? Duration(kSecondInstancesReadDelay)
                                     : Duration(kInstancesReadInterval));
        if (is_first) {
          self->UpdateFeed();
        }
      });
}

void RoutedInstanceImpl::OnInstances(
    const std::vector<InstanceRecord>& instances) {
  std::vector<FeedObject> objects;
  objects.reserve(instances.size());
  for (const InstanceRecord& instance : instances) {
    objects.push_back({FeedKind::kInstance, instance.id, {}, false, instance});
  }
  feed_cache_.Replace(NowWithSuspension(), FeedKind::kInstance, {},
                      std::move(objects));
  known_instances_ = RunningInstances(instances);
  feed_source_.SetInstances(known_instances_);
  instance_counter_.OnReading(Now(), instances);
  UpdatePeers();
  CountInstances();
  UpdateGatherers();
  UpdateQuotas();
  RemoveOutdatedEntries();
  RestoreRegistration();
}

bool RoutedInstanceImpl::CountInstances() {
  std::vector<std::string> ids;
  for (const InstanceRecord& instance : instance_counter_.Counted(Now())) {
    ids.push_back(instance.id);
  }
  if (ids == instance_ids_) {
    return false;
  }
  instance_ids_ = std::move(ids);
  if (instance_ids_.size() != instance_count_) {
    SetInstanceCount(instance_ids_.size());
    LogLine(DecisionEvent::kInstancesCounted)
        .Add("instances", instance_count_)
        .Write();
  }
  return true;
}

// Only instances that read the store do so, which are few.
void RoutedInstanceImpl::RemoveOutdatedEntries() {
  if (!searcher_watcher_) {
    return;
  }
  for (const std::string& id : instance_counter_.Outdated(Now())) {
    platform_.instances.remove(id, [](const Result<Done>&) {
      // The next reading tries again.
    });
  }
}

// Peers of the own data centre go first: bytes between regions are expensive.
void RoutedInstanceImpl::UpdatePeers() {
  std::vector<InstanceRecord> near;
  std::vector<InstanceRecord> far;
  for (const InstanceRecord& instance : known_instances_) {
    if (instance.id != settings_.id) {
      (instance.data_centre == settings_.data_centre ? near : far)
          .push_back(instance);
    }
  }
  peers_.SetGatherers(std::move(near), std::move(far));
}

// The gatherers of the route with the fewest connections serve all routes.
void RoutedInstanceImpl::UpdateGatherers() {
  if (!route_table_) {
    return;
  }
  std::optional<double> max_connections;
  shards_.clear();
  for (const Route& route : route_table_->routes()) {
    for (const std::string& shard :
         route.gather ? route.gather->shards : std::vector<std::string>{}) {
      const RoutedService* const service = route_table_->FindService(shard);
      shards_.insert(shard);
      const double connections = service ? service->max_connections : 1;
      max_connections =
          std::min(max_connections.value_or(connections), connections);
    }
  }
  GathererSet gatherers;
  if (max_connections) {
    gatherers = SelectGatherers(known_instances_, settings_.data_centre,
                                *max_connections);
  }
  gatherers_.SetGatherers(std::move(gatherers.local),
                          std::move(gatherers.remote));
  gatherer_ids_ = std::move(gatherers.ids);
  if (max_connections) {
    // Those that would gather if none had stopped share the limits, too.
    const GathererSet counted =
        SelectGatherers(instance_counter_.Counted(Now()), settings_.data_centre,
                        *max_connections);
    std::vector<std::string> all;
    std::set_union(gatherer_ids_.begin(), gatherer_ids_.end(),
                   counted.ids.begin(), counted.ids.end(),
                   std::back_inserter(all));
    gatherer_ids_ = std::move(all);
  }
  SetInstanceCount(instance_count_);
}

void RoutedInstanceImpl::OnForwarded(const std::string& request_id,
                                     const std::string& gatherer,
                                     uint64_t configuration,
                                     unsigned status,
                                     Duration took) {
  constexpr unsigned kOk = 200;
  if (status == kOk && ++forwarded_answers_ % kGoodAnswersPerLogLine != 0) {
    return;
  }
  LogLine(DecisionEvent::kQueryForwarded)
      .Add("request_id", request_id)
      .Add("gatherer", gatherer)
      .Add("configuration", configuration)
      .Add("status", status)
      .Add("took_ms", took)
      .Write();
}

void RoutedInstanceImpl::ScheduleFeedUpdate(Duration delay) {
  feed_timer_.expires_after(delay);
  feed_timer_.async_wait([weak = weak_from_this()](auto error) {
    const auto self = weak.lock();
    if (!error && self) {
      self->UpdateFeed();
    }
  });
}

void RoutedInstanceImpl::UpdateFeed() {
  const InstanceRecord* const peer =
      feed_source_.Choose(Now(), state_known_at_);
  if (peer != nullptr) {
    if (searcher_watcher_) {
      StopStoreWatches();
      feed_cache_.Forget(FeedKind::kEvacuation);
      feed_client_->Reset(searchers_revision_);
      LogLine(DecisionEvent::kFeedSourceChosen).Add("source", peer->id).Write();
    }
    FetchFromPeer(*peer);
    return;
  }
  if (searcher_watcher_ && watch_delay_ != RegistryReadInterval()) {
    StopStoreWatches();
  }
  if (!searcher_watcher_) {
    LogLine(DecisionEvent::kFeedSourceChosen).Add("source", "store").Write();
    StartStoreWatches();
  }
  ScheduleFeedUpdate(kFeedUpdateInterval);
}

void RoutedInstanceImpl::FetchFromPeer(const InstanceRecord& peer) {
  const milliseconds wait = settings_.leave_time * kPeerWaitPercent / 100;
  feed_client_->Fetch(
      peer, wait, searchers_known_ ? kPeerTimeout : kFirstPeerTimeout,
      [weak = weak_from_this(), id = peer.id](const Result<FeedPage>& page) {
        const auto self = weak.lock();
        if (!self || self->stopping_) {
          return;
        }
        if (!page) {
          self->OnPeerPageFailed(id, page.last_reason());
          return;
        }
        const auto use = [&self, &id, &page] {
          self->feed_source_.OnPeerAnswered(id);
          self->OnPeerPage(*page);
        };
        if (RunGuarded("peer_page", use)) {
          self->UpdateFeed();
        } else {
          self->OnPeerPageFailed(id, {FailureKind::kMalformedMessage, id,
                                      "the page cannot be handled"});
        }
      });
}

void RoutedInstanceImpl::OnPeerPageFailed(const std::string& id,
                                          const Failure& reason) {
  LogLine(DecisionEvent::kFeedPeerFailed)
      .Add("peer", id)
      .Add("cause", FailureKindName(reason.kind))
      .Add("detail", reason.detail)
      .Write();
  feed_source_.OnPeerFailed(Now(), id,
                            reason.kind == FailureKind::kUnavailable
                                ? PeerFailure::kNoAnswer
                                : PeerFailure::kRefused);
  ScheduleFeedUpdate(kPeerRetryDelay);
}

void RoutedInstanceImpl::OnPeerPage(const FeedPage& page) {
  searchers_revision_ = page.searchers_revision;
  std::vector<SearcherChange> searchers;
  bool instances_changed = false;
  std::set<std::string> evacuated;
  if (page.complete) {
    instances_.clear();
  }
  for (const FeedObject& object : page.objects) {
    if (const auto* text = std::get_if<ConfigurationText>(&object.value)) {
      const auto decoded = platform_.decode_configuration(text->text);
      if (decoded) {
        UseConfiguration(object.name, *decoded, object.revision);
      } else {
        LogUnreadableObject(object.name, object.revision.number,
                            decoded.last_reason());
      }
    } else if (object.kind == FeedKind::kSearcher) {
      const auto* const entry = std::get_if<SearcherEntry>(&object.value);
      searchers.push_back({object.name,
                           entry ? std::optional(*entry) : std::nullopt,
                           !object.removed});
    } else if (object.kind == FeedKind::kCrashReport) {
      if (const auto* report = std::get_if<CrashReport>(&object.value)) {
        UseCrashReport(*report, "peer");
      } else if (object.removed) {
        suspects_.Remove(object.name);
      }
    } else if (object.kind == FeedKind::kEvacuation) {
      if (object.is_present()) {
        evacuated.insert(object.name);
      }
      UseEvacuation(object.name, object.is_present(), "peer");
    } else if (object.kind == FeedKind::kInstance) {
      instances_changed = true;
      if (const auto* record = std::get_if<InstanceRecord>(&object.value)) {
        instances_[object.name] = *record;
      } else {
        instances_.erase(object.name);
      }
    }
  }
  evacuations_read_ = evacuations_read_ || page.has_evacuations;
  if (page.complete && page.has_evacuations) {
    EndEvacuationsExcept(evacuated, "peer");
  }
  UseSearchers(Now() - page.age, searchers, page.complete);
  if (instances_changed) {
    std::vector<InstanceRecord> instances;
    instances.reserve(instances_.size());
    for (const auto& [id, record] : instances_) {
      instances.push_back(record);
    }
    OnInstances(instances);
  }
}

}  // namespace greengage
