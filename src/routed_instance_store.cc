// How a routed instance follows the store: the configuration, the searchers and
// the roll of instances.
#include <algorithm>
#include <chrono>
#include <utility>

#include "greengage/transport/log_line.h"
#include "routed_instance_impl.h"
#include "transport/random_base.h"

namespace greengage {
namespace {

// Assumed until the instances have been counted: a bound that is shared by all
// must hold also at the largest deployment that is expected.
constexpr size_t kAssumedInstances = 1000;

// Between two counts of the instances, and before a failed one is repeated.
constexpr std::chrono::seconds kCountPeriod{10};
constexpr std::chrono::milliseconds kCountAgain{500};

// A searcher works on few requests at once; more connections than this to one
// of them serve nobody.
constexpr size_t kMostConnections = 8;

// How long a watch of the searchers waits; some report each second.
constexpr std::chrono::milliseconds kSearcherWatchWait{1500};

// Time between two reads of the registry, as a share of the time in which a
// leaving searcher may still get work: the rest covers a slow or repeated read
// and the work that is on its way.
constexpr int kRegistryPeriodPercent = 45;

void LogRollMissed(std::string_view call, const Failure& reason) {
  LogLine(DecisionEvent::kRollMissed)
      .Add("call", call)
      .Add("cause", FailureKindName(reason.kind))
      .Add("detail", reason.detail)
      .Write();
}

}  // namespace

void RoutedInstanceImpl::AssumeManyInstances() {
  SetInstances(kAssumedInstances);
}

template <typename Item>
typename ListWatcher<Item>::Hooks RoutedInstanceImpl::FeedHooks(
    const std::string& feed,
    FeedSource<Item> source) {
  typename ListWatcher<Item>::Hooks hooks;
  hooks.list = std::move(source.list);
  hooks.watch = std::move(source.watch);
  hooks.poll = std::move(source.peek);
  hooks.on_failing = [this, feed](const Failure& reason) {
    LogLine(DecisionEvent::kStoreLost)
        .Add("feed", feed)
        .Add("cause", FailureKindName(reason.kind))
        .Add("detail", reason.detail)
        .Write();
    metrics_.store_changes[{feed, "lost"}].Add();
  };
  hooks.on_recovered = [this, feed] {
    LogLine(DecisionEvent::kStoreRegained).Add("feed", feed).Write();
    metrics_.store_changes[{feed, "regained"}].Add();
  };
  return hooks;
}

void RoutedInstanceImpl::Follow() {
  ListWatchOptions options;
  options.seed = RandomBase();
  auto configuration_hooks =
      FeedHooks<RouteTablePtr>("configuration", platform_.configuration);
  configuration_hooks.on_snapshot = [this](auto items) {
    OnConfigurations(items);
  };
  configuration_hooks.on_changes = configuration_hooks.on_snapshot;
  configuration_feed_ = std::make_shared<ListWatcher<RouteTablePtr>>(
      context_, options, std::move(configuration_hooks));
  configuration_feed_->Start();

  // Searchers report all the time: a watch that is told nothing is a dead one.
  options.watch_timeout = kSearcherWatchWait;
  options.watch_delay = settings_.leave_time * kRegistryPeriodPercent / 100;
  options.seed = RandomBase();
  auto searcher_hooks =
      FeedHooks<SearcherEntry>("searchers", platform_.searchers);
  searcher_hooks.on_snapshot = [this](auto items) {
    OnSearchers(std::move(items), true);
  };
  searcher_hooks.on_changes = [this](auto items) {
    OnSearchers(std::move(items), false);
  };
  searcher_feed_ = std::make_shared<ListWatcher<SearcherEntry>>(
      context_, options, std::move(searcher_hooks));
  searcher_feed_->Start();
}

void RoutedInstanceImpl::OnConfigurations(
    const std::vector<StoreItem<RouteTablePtr>>& items) {
  for (const StoreItem<RouteTablePtr>& item : items) {
    if (!item.value || item.revision <= table_revision_) {
      continue;
    }
    table_ = *item.value;
    table_revision_ = item.revision;
    callers_->SetLimits(CallerLimitsNow());
    LogLine(DecisionEvent::kConfigurationInForce)
        .Add("configuration", table_->version())
        .Add("revision", table_revision_)
        .Add("routes", table_->routes().size())
        .Write();
  }
}

void RoutedInstanceImpl::OnSearchers(
    std::vector<StoreItem<SearcherEntry>> items,
    bool whole) {
  const TimePoint now = Now();
  registry_read_ = now;
  searchers_known_ = true;
  std::vector<SearcherEntry> entries;
  std::vector<SearcherChange> changes;
  for (StoreItem<SearcherEntry>& item : items) {
    // An entry that cannot be read names no searcher to use.
    if (whole && item.value) {
      entries.push_back(*std::move(item.value));
    } else if (!whole) {
      changes.push_back({std::move(item.name), std::move(item.value)});
    }
  }
  if (whole) {
    plans_.searchers.Replace(now, entries);
  } else {
    plans_.searchers.Apply(now, changes);
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
                                           std::string_view why) {
  metrics_.searchers_left.Add();
  LogLine(DecisionEvent::kSearcherLeaving)
      .Add("searcher", searcher.entry().id)
      .Add("service", searcher.entry().service)
      .Add("cause", why)
      .Write();
  clients_->Close(searcher);
}

size_t RoutedInstanceImpl::Connections(const std::string& name) const {
  const RoutedService* const service =
      table_ ? table_->FindService(name) : nullptr;
  const double all = service == nullptr ? 1 : service->max_connections;
  return std::clamp<size_t>(static_cast<size_t>(InstanceShare(all, instances_)),
                            1, kMostConnections);
}

void RoutedInstanceImpl::SetInstances(size_t count) {
  instances_ = std::max<size_t>(1, count);
  const ExtraArrivalLimits whole{
      settings_.extra_arrivals_ratio,
      static_cast<double>(settings_.extra_arrivals_allowance),
      std::chrono::duration_cast<Duration>(settings_.extra_arrivals_window)};
  plans_.extra_arrivals.set_limits(ShareOf(whole, instances_));
}

void RoutedInstanceImpl::EnterRoll() {
  platform_.instances.enter(
      settings_.id, [weak = weak_from_this()](const Result<Done>& entered) {
        const auto self = weak.lock();
        if (!self || entered || self->stopping_) {
          return;
        }
        LogRollMissed("enter", entered.last_reason());
        self->roll_missed_ = true;  // Repeated with the next count.
      });
}

void RoutedInstanceImpl::CountInstances() {
  if (std::exchange(roll_missed_, false)) {
    EnterRoll();
  }
  platform_.instances.count([weak = weak_from_this()](
                                const Result<size_t>& counted) {
    const auto self = weak.lock();
    if (!self || self->stopping_) {
      return;
    }
    if (counted && *counted != self->instances_) {
      self->SetInstances(*counted);
      LogLine(DecisionEvent::kInstancesCounted)
          .Add("instances", self->instances_)
          .Write();
    }
    if (!counted) {
      LogRollMissed("count", counted.last_reason());
    }
    self->CountLater(counted ? Duration(kCountPeriod) : Duration(kCountAgain));
  });
}

void RoutedInstanceImpl::CountLater(Duration pause) {
  count_timer_.expires_after(pause);
  count_timer_.async_wait([weak = weak_from_this()](auto error) {
    const auto self = weak.lock();
    if (!error && self) {
      self->CountInstances();
    }
  });
}

}  // namespace greengage
