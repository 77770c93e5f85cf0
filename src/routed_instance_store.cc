// The parts of a routed instance that use the store: the configuration, the
// searchers and the registry of instances.
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

// Interval between two counts of the instances, and the delay before the retry
// of a failed count.
constexpr std::chrono::seconds kCountInterval{10};
constexpr std::chrono::milliseconds kCountRetryDelay{500};

// A searcher runs only a few requests concurrently, so further connections to
// it would stay unused.
constexpr size_t kMaxConnectionsPerSearcher = 8;

// Maximum wait of a watch of the searchers. Some searcher updates its
// registration every second.
constexpr std::chrono::milliseconds kSearcherWatchTimeout{1500};

// Interval between two reads of the searcher registry, as a percentage of
// leave_time, the time in which a leaving searcher may still get requests. The
// rest covers a slow or retried read and the requests that are already sent.
constexpr int kRegistryReadPeriodPercent = 45;

void LogRegistryFailure(std::string_view call, const Failure& reason) {
  LogLine(DecisionEvent::kInstanceListFailed)
      .Add("call", call)
      .Add("cause", FailureKindName(reason.kind))
      .Add("detail", reason.detail)
      .Write();
}

}  // namespace

void RoutedInstanceImpl::AssumeMaxInstances() {
  SetInstanceCount(kMaxExpectedInstances);
}

template <typename Item>
typename ListWatcher<Item>::Hooks RoutedInstanceImpl::ListWatchHooks(
    const std::string& feed,
    ListWatchSource<Item> source) {
  typename ListWatcher<Item>::Hooks hooks;
  hooks.list = std::move(source.list);
  hooks.watch = std::move(source.watch);
  hooks.poll = std::move(source.poll);
  hooks.on_failing = [this, feed](const Failure& reason) {
    LogLine(DecisionEvent::kStoreFailing)
        .Add("feed", feed)
        .Add("cause", FailureKindName(reason.kind))
        .Add("detail", reason.detail)
        .Write();
    metrics_.store_changes[{feed, "lost"}].Add();
  };
  hooks.on_recovered = [this, feed] {
    LogLine(DecisionEvent::kStoreRecovered).Add("feed", feed).Write();
    metrics_.store_changes[{feed, "regained"}].Add();
  };
  return hooks;
}

void RoutedInstanceImpl::StartStoreWatches() {
  ListWatchOptions options;
  options.seed = RandomBase();
  auto configuration_hooks =
      ListWatchHooks<RouteTablePtr>("configuration", platform_.configuration);
  configuration_hooks.on_snapshot = [this](auto items) {
    OnConfigurationObjects(items);
  };
  configuration_hooks.on_changes = configuration_hooks.on_snapshot;
  configuration_watcher_ = std::make_shared<ListWatcher<RouteTablePtr>>(
      context_, options, std::move(configuration_hooks));
  configuration_watcher_->Start();

  // Searchers update their registrations all the time, so a watch that returns
  // no change points to a lost connection.
  options.watch_timeout = kSearcherWatchTimeout;
  options.watch_delay = settings_.leave_time * kRegistryReadPeriodPercent / 100;
  options.seed = RandomBase();
  auto searcher_hooks =
      ListWatchHooks<SearcherEntry>("searchers", platform_.searchers);
  searcher_hooks.on_snapshot = [this](auto items) {
    OnSearcherObjects(std::move(items), true);
  };
  searcher_hooks.on_changes = [this](auto items) {
    OnSearcherObjects(std::move(items), false);
  };
  searcher_watcher_ = std::make_shared<ListWatcher<SearcherEntry>>(
      context_, options, std::move(searcher_hooks));
  searcher_watcher_->Start();
}

void RoutedInstanceImpl::OnConfigurationObjects(
    const std::vector<StoreItem<RouteTablePtr>>& items) {
  for (const StoreItem<RouteTablePtr>& item : items) {
    if (!item.value || item.revision <= route_table_revision_) {
      continue;
    }
    route_table_ = *item.value;
    route_table_revision_ = item.revision;
    caller_server_->SetLimits(ActiveServerLimits());
    LogLine(DecisionEvent::kConfigurationInForce)
        .Add("configuration", route_table_->version())
        .Add("revision", route_table_revision_)
        .Add("routes", route_table_->routes().size())
        .Write();
  }
}

void RoutedInstanceImpl::OnSearcherObjects(
    std::vector<StoreItem<SearcherEntry>> items,
    bool is_snapshot) {
  const TimePoint now = Now();
  registry_read_at_ = now;
  searchers_known_ = true;
  std::vector<SearcherEntry> entries;
  std::vector<SearcherChange> changes;
  for (StoreItem<SearcherEntry>& item : items) {
    // An entry without a value could not be decoded. A snapshot omits it; a
    // change removes the searcher.
    if (is_snapshot && item.value) {
      entries.push_back(*std::move(item.value));
    } else if (!is_snapshot) {
      changes.push_back({std::move(item.name), std::move(item.value)});
    }
  }
  if (is_snapshot) {
    plan_context_.searchers.Replace(now, entries);
  } else {
    plan_context_.searchers.Apply(now, changes);
  }
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
      static_cast<size_t>(InstanceShare(total, instance_count_)), 1,
      kMaxConnectionsPerSearcher);
}

void RoutedInstanceImpl::SetInstanceCount(size_t count) {
  instance_count_ = std::max<size_t>(1, count);
  const ExtraArrivalLimits total{
      settings_.extra_arrivals_ratio,
      static_cast<double>(settings_.extra_arrivals_allowance),
      std::chrono::duration_cast<Duration>(settings_.extra_arrivals_window)};
  plan_context_.extra_arrivals.set_limits(
      InstanceLimits(total, instance_count_));
}

void RoutedInstanceImpl::RegisterInstance() {
  platform_.instances.add(
      settings_.id, [weak = weak_from_this()](const Result<Done>& added) {
        const auto self = weak.lock();
        if (!self || added || self->stopping_) {
          return;
        }
        LogRegistryFailure("enter", added.last_reason());
        self->registration_failed_ = true;  // The next count retries it.
      });
}

void RoutedInstanceImpl::CountInstances() {
  if (std::exchange(registration_failed_, false)) {
    RegisterInstance();
  }
  platform_.instances.count(
      [weak = weak_from_this()](const Result<size_t>& counted) {
        const auto self = weak.lock();
        if (!self || self->stopping_) {
          return;
        }
        if (counted && *counted != self->instance_count_) {
          self->SetInstanceCount(*counted);
          LogLine(DecisionEvent::kInstancesCounted)
              .Add("instances", self->instance_count_)
              .Write();
        }
        if (!counted) {
          LogRegistryFailure("count", counted.last_reason());
        }
        self->ScheduleInstanceCount(counted ? Duration(kCountInterval)
                                            : Duration(kCountRetryDelay));
      });
}

void RoutedInstanceImpl::ScheduleInstanceCount(Duration delay) {
  instance_count_timer_.expires_after(delay);
  instance_count_timer_.async_wait([weak = weak_from_this()](auto error) {
    const auto self = weak.lock();
    if (!error && self) {
      self->CountInstances();
    }
  });
}

}  // namespace greengage
