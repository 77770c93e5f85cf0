// The parts of a routed instance that process the configuration and the
// searchers, and that read them from the store.
#include <algorithm>
#include <chrono>
#include <utility>

#include "greengage/transport/log_line.h"
#include "routed_instance_impl.h"
#include "transport/random_base.h"

namespace greengage {
namespace {

// Number of instances that is assumed until they have been counted. A limit
// that all instances share must also hold in the largest expected deployment.
constexpr size_t kMaxExpectedInstances = 1000;

// A searcher runs only a few requests concurrently, so further connections to
// it would stay unused.
constexpr size_t kMaxConnectionsPerSearcher = 8;

// Part of the allowance for extra arrivals that only the gatherers use. The
// rest is for requests that no gatherer handles.
constexpr double kGatherersAllowanceShare = 0.35;

// Maximum wait of a watch of the searchers. Some searcher updates its
// registration every second. An instance that passes its state on waits for a
// percentage of leave_time at most, since only the answer proves that the state
// is current.
constexpr std::chrono::milliseconds kSearcherWatchTimeout{1500};
constexpr int kSearcherWatchPercent = 15;

// Time in which the store answers a call, and time of the listing after a poll
// that proves nothing.
constexpr std::chrono::milliseconds kAnswerTime{300};
constexpr std::chrono::milliseconds kListingTime{150};

constexpr std::chrono::milliseconds kMinPollInterval{500};

FeedObject MakeFeedObject(const StoreItem<SearcherEntry>& item) {
  FeedObject object{
      FeedKind::kSearcher, item.name, item.revision, item.removed, {}};
  if (item.value) {
    object.value = *item.value;
  }
  return object;
}

// Passes searchers of the store on to the cache for peers. Those that cannot be
// decoded do not exist for peers either.
void UpdateCache(FeedCache& cache,
                 const std::vector<StoreItem<SearcherEntry>>& items,
                 StoreRevision revision,
                 bool is_snapshot) {
  std::vector<FeedObject> objects;
  for (const StoreItem<SearcherEntry>& item : items) {
    if (item.value || !is_snapshot) {
      objects.push_back(MakeFeedObject(item));
    }
  }
  const TimePoint now = NowWithSuspension();
  if (is_snapshot) {
    cache.Replace(now, FeedKind::kSearcher, revision, std::move(objects));
  } else {
    cache.Apply(now, FeedKind::kSearcher, revision, std::move(objects));
  }
}

}  // namespace

void RoutedInstanceImpl::AssumeMaxInstances() {
  SetInstanceCount(kMaxExpectedInstances);
}

// Polls are dated by the answers to the watches of the searchers, so they look
// as old as the time from one of these to the next.
ListWatchOptions RoutedInstanceImpl::WatchOptions() const {
  const std::chrono::milliseconds poll_age =
      ToMilliseconds(RegistryReadInterval()) + SearcherWatchTimeout() +
      kAnswerTime;
  ListWatchOptions options;
  options.poll_interval =
      std::clamp(settings_.recovery_time - poll_age - kListingTime,
                 kMinPollInterval, options.poll_interval);
  options.max_unverified_time =
      settings_.recovery_time - options.poll_interval - kListingTime;
  options.seed = RandomBase();
  return options;
}

std::chrono::milliseconds RoutedInstanceImpl::SearcherWatchTimeout() const {
  return feed_source_.has_clients()
             ? std::min(kSearcherWatchTimeout,
                        settings_.leave_time * kSearcherWatchPercent / 100)
             : kSearcherWatchTimeout;
}

void RoutedInstanceImpl::StartStoreWatches() {
  auto configuration_hooks = ListWatchHooks<StoredConfiguration>(
      "configuration", platform_.configuration);
  configuration_hooks.on_snapshot = [this](auto items, StoreRevision revision) {
    OnStoredConfigurations(items, revision);
  };
  configuration_hooks.on_changes = [this](auto items, StoreRevision revision) {
    OnStoredConfigurations(items, revision);
  };
  configuration_watcher_ = std::make_shared<ListWatcher<StoredConfiguration>>(
      context_, WatchOptions(), std::move(configuration_hooks));
  configuration_watcher_->Start();

  // Searchers update their registrations all the time, so a watch that returns
  // no change points to a lost connection.
  watch_delay_ = RegistryReadInterval();
  ListWatchOptions options;
  options.watch_timeout = SearcherWatchTimeout();
  options.watch_delay = ToMilliseconds(watch_delay_);
  options.seed = RandomBase();
  auto searcher_hooks =
      ListWatchHooks<SearcherEntry>("searchers", platform_.searchers);
  searcher_hooks.on_snapshot = [this](auto items, StoreRevision revision) {
    OnStoredSearchers(std::move(items), revision, true);
  };
  searcher_hooks.on_changes = [this](auto items, StoreRevision revision) {
    OnStoredSearchers(std::move(items), revision, false);
  };
  searcher_watcher_ = std::make_shared<ListWatcher<SearcherEntry>>(
      context_, options, std::move(searcher_hooks));
  searcher_watcher_->Start();
  StartCrashReportWatch();
  StartEvacuationWatch();
}

void RoutedInstanceImpl::StopStoreWatches() {
  if (searcher_watcher_) {
    configuration_watcher_->Stop();
    searcher_watcher_->Stop();
    crash_report_watcher_->Stop();
    configuration_watcher_.reset();
    crash_report_watcher_.reset();
    searcher_watcher_.reset();
  }
  if (evacuation_watcher_) {
    evacuation_watcher_->Stop();
    evacuation_watcher_.reset();
  }
}

// Peers get the active configuration, which may be newer than that of a store
// that was restored from a copy.
void RoutedInstanceImpl::OnStoredConfigurations(
    const std::vector<StoreItem<StoredConfiguration>>& items,
    StoreRevision revision) {
  for (const StoreItem<StoredConfiguration>& item : items) {
    if (item.value) {
      UseConfiguration(item.name, *item.value, item.revision);
    }
  }
  std::vector<FeedObject> objects;
  if (route_table_) {
    objects.push_back({FeedKind::kConfiguration, configuration_name_,
                       configuration_version_.revision, false,
                       ConfigurationText{configuration_text_}});
  }
  feed_cache_.Replace(NowWithSuspension(), FeedKind::kConfiguration, revision,
                      std::move(objects));
  feed_server_->OnCacheChanged();
}

void RoutedInstanceImpl::UseConfiguration(
    const std::string& name,
    const StoredConfiguration& configuration,
    StoreRevision revision) {
  const ConfigurationVersion version{configuration.table->version(), revision};
  if (route_table_ && !(configuration_version_ < version)) {
    if (version.version != configuration_version_.version) {
      LogLine(DecisionEvent::kConfigurationIgnored)
          .Add("configuration", version.version)
          .Add("revision", revision.number)
          .Add("active", configuration_version_.version)
          .Add("active_revision", configuration_version_.revision.number)
          .Write();
    }
    return;
  }
  route_table_ = configuration.table;
  configuration_version_ = version;
  configuration_name_ = name;
  configuration_text_ = configuration.text;
  UpdateGatherers();
  UpdateQuotas();
  caller_server_->SetLimits(ActiveServerLimits());
  LogLine(DecisionEvent::kConfigurationInForce)
      .Add("configuration", version.version)
      .Add("revision", revision.number)
      .Add("routes", route_table_->routes().size())
      .Write();
}

void RoutedInstanceImpl::OnStoredSearchers(
    std::vector<StoreItem<SearcherEntry>> items,
    StoreRevision revision,
    bool is_snapshot) {
  UpdateCache(feed_cache_, items, revision, is_snapshot);
  searchers_revision_ = std::max(searchers_revision_, revision);
  std::vector<SearcherChange> changes;
  changes.reserve(items.size());
  for (StoreItem<SearcherEntry>& item : items) {
    changes.push_back({std::move(item.name), std::move(item.value)});
  }
  UseSearchers(Now(), changes, is_snapshot);
  feed_server_->OnCacheChanged();
}

// An entry without a value could not be decoded. A snapshot omits it; a change
// removes the searcher.
void RoutedInstanceImpl::UseSearchers(
    TimePoint current_at,
    const std::vector<SearcherChange>& changes,
    bool is_snapshot) {
  const TimePoint now = Now();
  const Duration replaced_state_age =
      now - std::exchange(state_known_at_, current_at);
  searchers_known_ = true;
  if (!is_snapshot) {
    plan_context_.searchers.Apply(now, changes);
    return;
  }
  std::vector<SearcherEntry> entries;
  for (const SearcherChange& change : changes) {
    if (change.entry) {
      entries.push_back(*change.entry);
    }
  }
  plan_context_.searchers.Replace(
      now, entries,
      ListingGracePeriod(replaced_state_age, settings_.leave_time));
}

void RoutedInstanceImpl::OnSearcherAdded(const RoutedSearcher& searcher) {
  metrics_.searchers_added.Add();
  LogLine(DecisionEvent::kSearcherAdded)
      .Add("searcher", searcher.entry().id)
      .Add("service", searcher.entry().service)
      .Add("endpoint", ToString(searcher.entry().endpoint))
      .Write();
}

void RoutedInstanceImpl::OnSearcherLeaving(const RoutedSearcher& searcher,
                                           std::string_view cause) {
  metrics_.searchers_left.Add();
  LogLine(DecisionEvent::kSearcherLeaving)
      .Add("searcher", searcher.entry().id)
      .Add("service", searcher.entry().service)
      .Add("cause", cause)
      .Write();
  clients_->Close(searcher);
}

size_t RoutedInstanceImpl::MaxConnectionsPerSearcher(
    const std::string& name) const {
  const RoutedService* const service =
      route_table_ ? route_table_->FindService(name) : nullptr;
  const double total = service == nullptr ? 1 : service->max_connections;
  return std::clamp<size_t>(
      static_cast<size_t>(InstanceShare(total, SharersOf(name))), 1,
      kMaxConnectionsPerSearcher);
}

// Only gatherers send to shards, except while none is available.
size_t RoutedInstanceImpl::SharersOf(const std::string& service) const {
  return SharesAsGatherer(service) ? gatherer_ids_.size() : instance_count_;
}

bool RoutedInstanceImpl::SharesAsGatherer(const std::string& service) const {
  return !gatherer_ids_.empty() && gatherers_.gathers_itself() &&
         shards_.contains(service);
}

LimitShare RoutedInstanceImpl::LimitShareOf(const std::string& service) const {
  const size_t sharers = SharersOf(service);
  return {InstanceShare(1, sharers),
          PlaceAmong(SharesAsGatherer(service) ? gatherer_ids_ : instance_ids_,
                     settings_.id, sharers),
          std::chrono::duration_cast<Duration>(NowWall().time_since_epoch()) -
              Now().time_since_epoch()};
}

void RoutedInstanceImpl::SetInstanceCount(size_t count) {
  instance_count_ = std::max<size_t>(1, count);
  const ExtraArrivalLimits total{
      settings_.extra_arrivals_ratio,
      static_cast<double>(settings_.extra_arrivals_allowance),
      std::chrono::duration_cast<Duration>(settings_.extra_arrivals_window)};
  ExtraArrivalLimits limits = InstanceLimits(total, instance_count_);
  if (!gatherer_ids_.empty()) {
    // The gatherers share a part of the allowance among them.
    limits.allowance *= 1 - kGatherersAllowanceShare;
    if (gatherers_.gathers_itself()) {
      limits.allowance +=
          InstanceLimits(total, gatherer_ids_.size()).allowance *
          kGatherersAllowanceShare;
    }
  }
  plan_context_.extra_arrivals.SetLimits(Now(), limits);
  clients_->TrimConnections();
}

}  // namespace greengage
