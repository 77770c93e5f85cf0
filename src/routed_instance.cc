#include "greengage/routed_instance.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "greengage/coordination/stop_sequence.h"
#include "greengage/state/routed_metrics.h"
#include "greengage/transport/http_server.h"
#include "greengage/transport/log.h"
#include "greengage/transport/log_line.h"
#include "greengage/transport/request_router.h"
#include "transport/clock.h"
#include "transport/random_base.h"

namespace greengage {
namespace {

namespace asio = boost::asio;

// Between two looks at a stop's progress.
constexpr std::chrono::milliseconds kStopPollPeriod{50};

// Between two rounds of forgetting searchers and writing logs.
constexpr std::chrono::milliseconds kHousekeepingPeriod{250};

// Assumed until the instances have been counted: a bound that is shared by all
// must hold also at the largest deployment that is expected.
constexpr size_t kAssumedInstances = 1000;

// Between two counts of the instances, and before a failed one is repeated.
constexpr std::chrono::seconds kCountPeriod{10};
constexpr std::chrono::milliseconds kCountAgain{500};

// Of a bound that is shared by all instances, so much is used: instances that
// have just come are not counted by all yet.
constexpr double kUsedShare = 0.8;

// A searcher works on few requests at once; more connections than this to one
// of them serve nobody.
constexpr size_t kMostConnections = 8;

// How long a watch of the searchers waits; some report each second.
constexpr std::chrono::milliseconds kSearcherWatchWait{1500};

// Time between two reads of the registry, as a share of the time in which a
// leaving searcher may still get work: the rest covers a slow or repeated read
// and the work that is on its way.
constexpr int kRegistryPeriodPercent = 45;

HedgeOptions HedgesOfRoutes() {
  HedgeOptions options;
  options.quantile = 0.95;
  options.longest_in_medians = 3;
  options.shortest = std::chrono::milliseconds(5);
  options.initial = std::chrono::milliseconds(80);
  options.least_latencies = 20;
  return options;
}

class RoutedInstanceImpl
    : public RoutedInstance,
      public std::enable_shared_from_this<RoutedInstanceImpl> {
 public:
  RoutedInstanceImpl(asio::io_context& context,
                     const InstanceSettings& settings,
                     RoutedPlatform platform)
      : context_(context),
        settings_(settings),
        platform_(std::move(platform)),
        directory_(
            {[this](const RoutedSearcher& searcher) {
               OnSearcherAdded(searcher);
             },
             [this](const RoutedSearcher& searcher, std::string_view why) {
               OnSearcherLeaving(searcher, why);
             }}),
        hedges_(HedgesOfRoutes()),
        extra_arrivals_(ExtraPercent(settings), 0),
        distances_(settings.data_centre),
        clients_(std::make_shared<SearcherClients>(
            context,
            [this](const std::string& service) {
              return Connections(service);
            })),
        stop_timer_(context),
        housekeeping_timer_(context),
        count_timer_(context) {
    SetInstances(kAssumedInstances);
    plans_.searchers = &directory_;
    plans_.hedges = &hedges_;
    plans_.extra_arrivals = &extra_arrivals_;
    plans_.distances = &distances_;
    plans_.split = &split_;
    plans_.random.seed(
        static_cast<std::minstd_rand::result_type>(RandomBase()));
  }

  Result<Done> Listen() {
    router_ = std::make_shared<RequestRouter>(
        context_, platform_.dialect,
        RequestRouter::Limits{settings_.http_in_flight}, &plans_, clients_,
        &metrics_,
        RequestRouter::Hooks{[this] { return table_; },
                             [this] { return refusing_; },
                             [this] { return RegistryAge(); }});
    for (const auto& step : {&RoutedInstanceImpl::ListenToCallers,
                             &RoutedInstanceImpl::ListenToBalancer,
                             &RoutedInstanceImpl::ListenToMetrics}) {
      const Result<Done> result = (this->*step)();
      if (!result) {
        return result;
      }
    }
    LogLine(DecisionEvent::kInstanceStarted)
        .Add("version", GREENGAGE_VERSION)
        .Add("data_centre", settings_.data_centre)
        .Write();
    Follow();
    EnterRoll();
    CountInstances();
    ScheduleHousekeeping();
    return Done{};
  }

  Endpoint http_endpoint() const override { return callers_->endpoint(); }

  void Reload(const InstanceSettings& settings) override;

  void Stop(std::function<void()> stopped) override;

 private:
  Result<Done> ListenToCallers();
  Result<Done> ListenToBalancer();
  Result<Done> ListenToMetrics();
  HttpResponse Readiness() const;
  void Follow();
  void OnConfigurations(const std::vector<FeedItem<RouteTablePtr>>& items);
  void OnSearchers(std::vector<FeedItem<SearcherEntry>> items, bool whole);
  void OnSearcherAdded(const RoutedSearcher& searcher);
  void OnSearcherLeaving(const RoutedSearcher& searcher, std::string_view why);
  size_t Connections(const std::string& service) const;
  static double ExtraPercent(const InstanceSettings& settings) {
    return settings.extra_arrivals_ratio * 100 * kUsedShare;
  }
  void EnterRoll();
  void CountInstances();
  void CountLater(Duration pause);
  void SetInstances(size_t count);
  Duration RegistryAge() const { return Now() - registry_read_; }
  void ScheduleHousekeeping();
  void KeepHouse();
  void AdvanceStop();
  void FinishStop();

  template <typename Item>
  typename FeedFollower<Item>::Hooks FeedHooks(const std::string& feed,
                                               FeedSource<Item> source);

  asio::io_context& context_;
  InstanceSettings settings_;
  const RoutedPlatform platform_;
  RoutedMetrics metrics_;
  SearcherDirectory directory_;
  HedgePolicy hedges_;
  RetryBudget extra_arrivals_;
  DataCentreDistance distances_;
  ServiceSplit split_;
  RequestPlanContext plans_;
  std::shared_ptr<SearcherClients> clients_;
  std::shared_ptr<RequestRouter> router_;
  std::shared_ptr<HttpServer> callers_;
  std::shared_ptr<HttpServer> balancer_;
  std::shared_ptr<HttpServer> metrics_server_;
  std::shared_ptr<FeedFollower<RouteTablePtr>> configuration_feed_;
  std::shared_ptr<FeedFollower<SearcherEntry>> searcher_feed_;
  RouteTablePtr table_;
  uint64_t table_revision_ = 0;
  bool searchers_known_ = false;
  TimePoint registry_read_;
  bool stopping_ = false;
  bool refusing_ = false;
  std::optional<StopSequence> stop_sequence_;
  std::function<void()> stopped_;
  asio::steady_timer stop_timer_;
  asio::steady_timer housekeeping_timer_;
  asio::steady_timer count_timer_;
  size_t instances_ = kAssumedInstances;
  bool roll_missed_ = false;
};

Result<Done> RoutedInstanceImpl::ListenToCallers() {
  HttpServerLimits limits;
  limits.body_bytes = settings_.http_body_bytes;
  limits.header_bytes = settings_.http_header_bytes;
  limits.connections = settings_.http_connections;
  limits.read_timeout = settings_.http_read_timeout;
  limits.idle_timeout = settings_.http_idle_timeout;
  Result<std::shared_ptr<HttpServer>> server = HttpServer::Listen(
      context_, settings_.http, limits,
      [router = router_](HttpRequest request,
                         const std::shared_ptr<HttpExchange>& exchange) {
        router->Handle(std::move(request), exchange);
      });
  if (!server) {
    return server.last_reason();
  }
  callers_ = *server;
  return Done{};
}

Result<Done> RoutedInstanceImpl::ListenToBalancer() {
  Result<std::shared_ptr<HttpServer>> server = HttpServer::Listen(
      context_, settings_.ready, HttpServerLimits{},
      [this](const HttpRequest& request,
             const std::shared_ptr<HttpExchange>& exchange) {
        exchange->Reply(request.path == platform_.dialect.ready_path
                            ? Readiness()
                            : HttpResponse{.status = 404});
      });
  if (!server) {
    return server.last_reason();
  }
  balancer_ = *server;
  return Done{};
}

Result<Done> RoutedInstanceImpl::ListenToMetrics() {
  Result<std::shared_ptr<HttpServer>> server =
      HttpServer::Listen(context_, settings_.metrics, HttpServerLimits{},
                         [this](const HttpRequest& request,
                                const std::shared_ptr<HttpExchange>& exchange) {
                           if (request.path != "/metrics") {
                             exchange->Reply(HttpResponse{.status = 404});
                             return;
                           }
                           exchange->Reply(HttpResponse{
                               .content_type = "text/plain; version=0.0.4",
                               .body = SerializeMetrics(metrics_, {})});
                         });
  if (!server) {
    return server.last_reason();
  }
  metrics_server_ = *server;
  return Done{};
}

HttpResponse RoutedInstanceImpl::Readiness() const {
  std::string_view reason;
  if (stopping_) {
    reason = "stopping";
  } else if (!table_) {
    reason = "no_configuration";
  } else if (!searchers_known_) {
    reason = "no_searchers";
  }
  const bool ready = reason.empty();
  return HttpResponse{.status = ready ? 200U : 503U,
                      .body = ready ? "{\"ready\": true}"
                                    : "{\"ready\": false, \"reason\": \"" +
                                          std::string(reason) + "\"}"};
}

template <typename Item>
typename FeedFollower<Item>::Hooks RoutedInstanceImpl::FeedHooks(
    const std::string& feed,
    FeedSource<Item> source) {
  typename FeedFollower<Item>::Hooks hooks;
  hooks.list = std::move(source.list);
  hooks.watch = std::move(source.watch);
  hooks.peek = std::move(source.peek);
  hooks.on_lost = [this, feed](const Failure& reason) {
    LogLine(DecisionEvent::kStoreLost)
        .Add("feed", feed)
        .Add("cause", FailureKindName(reason.kind))
        .Add("detail", reason.detail)
        .Write();
    metrics_.store_calls[{feed, "lost"}].Add();
  };
  hooks.on_regained = [this, feed] {
    LogLine(DecisionEvent::kStoreRegained).Add("feed", feed).Write();
    metrics_.store_calls[{feed, "regained"}].Add();
  };
  return hooks;
}

void RoutedInstanceImpl::Follow() {
  FeedOptions options;
  options.seed = RandomBase();
  auto configuration_hooks =
      FeedHooks<RouteTablePtr>("configuration", platform_.configuration);
  configuration_hooks.on_snapshot = [this](auto items) {
    OnConfigurations(items);
  };
  configuration_hooks.on_changes = configuration_hooks.on_snapshot;
  configuration_feed_ = std::make_shared<FeedFollower<RouteTablePtr>>(
      context_, options, std::move(configuration_hooks));
  configuration_feed_->Start();

  // Searchers report all the time: a watch that is told nothing is a dead one.
  options.wait = kSearcherWatchWait;
  options.pause = settings_.leave_time * kRegistryPeriodPercent / 100;
  options.seed = RandomBase();
  auto searcher_hooks =
      FeedHooks<SearcherEntry>("searchers", platform_.searchers);
  searcher_hooks.on_snapshot = [this](auto items) {
    OnSearchers(std::move(items), true);
  };
  searcher_hooks.on_changes = [this](auto items) {
    OnSearchers(std::move(items), false);
  };
  searcher_feed_ = std::make_shared<FeedFollower<SearcherEntry>>(
      context_, options, std::move(searcher_hooks));
  searcher_feed_->Start();
}

void RoutedInstanceImpl::OnConfigurations(
    const std::vector<FeedItem<RouteTablePtr>>& items) {
  for (const FeedItem<RouteTablePtr>& item : items) {
    if (!item.value || item.revision <= table_revision_) {
      continue;
    }
    table_ = *item.value;
    table_revision_ = item.revision;
    LogLine(DecisionEvent::kConfigurationInForce)
        .Add("configuration", table_->version())
        .Add("revision", table_revision_)
        .Add("routes", table_->routes().size())
        .Write();
  }
}

void RoutedInstanceImpl::OnSearchers(std::vector<FeedItem<SearcherEntry>> items,
                                     bool whole) {
  const TimePoint now = Now();
  registry_read_ = now;
  searchers_known_ = true;
  std::vector<SearcherEntry> entries;
  std::vector<SearcherChange> changes;
  for (FeedItem<SearcherEntry>& item : items) {
    // An entry that cannot be read names no searcher to use.
    if (whole && item.value) {
      entries.push_back(*std::move(item.value));
    } else if (!whole) {
      changes.push_back({std::move(item.name), std::move(item.value)});
    }
  }
  if (whole) {
    directory_.Replace(now, entries);
  } else {
    directory_.Apply(now, changes);
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
  return std::clamp<size_t>(
      static_cast<size_t>(all * kUsedShare / static_cast<double>(instances_)),
      1, kMostConnections);
}

void RoutedInstanceImpl::SetInstances(size_t count) {
  instances_ = std::max<size_t>(1, count);
  extra_arrivals_.set_burst(settings_.extra_arrivals_allowance * kUsedShare /
                            static_cast<double>(instances_));
}

void RoutedInstanceImpl::EnterRoll() {
  platform_.instances.enter(
      settings_.id, [weak = weak_from_this()](const Result<Done>& entered) {
        const auto self = weak.lock();
        if (!self || entered || self->stopping_) {
          return;
        }
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

void RoutedInstanceImpl::KeepHouse() {
  directory_.Expire(Now());
  FlushLog();
  ScheduleHousekeeping();
}

void RoutedInstanceImpl::ScheduleHousekeeping() {
  housekeeping_timer_.expires_after(kHousekeepingPeriod);
  housekeeping_timer_.async_wait([weak = weak_from_this()](auto error) {
    const auto self = weak.lock();
    if (!error && self) {
      self->KeepHouse();
    }
  });
}

// Addresses and limits of open sockets stay as they were at the start.
void RoutedInstanceImpl::Reload(const InstanceSettings& settings) {
  const bool needs_restart = settings.id != settings_.id ||
                             settings.http != settings_.http ||
                             settings.ready != settings_.ready ||
                             settings.metrics != settings_.metrics ||
                             settings.platform != settings_.platform ||
                             settings.data_centre != settings_.data_centre;
  SetLogLevel(settings.log_level);
  extra_arrivals_.set_percent(ExtraPercent(settings));
  settings_.stop_notice = settings.stop_notice;
  settings_.stop_grace = settings.stop_grace;
  LogLine(DecisionEvent::kSettingsReloaded)
      .Add("log_level", static_cast<int>(settings.log_level))
      .Add("needs_restart", needs_restart ? "yes" : "no")
      .Write();
}

void RoutedInstanceImpl::Stop(std::function<void()> stopped) {
  if (std::exchange(stopping_, true)) {
    return;
  }
  stopped_ = std::move(stopped);
  LogLine(DecisionEvent::kInstanceStopping)
      .Add("in_flight", router_->in_flight())
      .Write();
  callers_->EndKeepAlive();
  count_timer_.cancel();
  platform_.instances.leave(settings_.id, [](const Result<Done>&) {
    // One that stays on the roll only makes the others' shares smaller.
  });
  stop_sequence_.emplace(Now(), settings_.stop_notice, settings_.stop_grace);
  AdvanceStop();
}

void RoutedInstanceImpl::AdvanceStop() {
  const bool has_work = router_->in_flight() > 0 || callers_->connections() > 0;
  const StopStep step =
      stop_sequence_->Next(Now(), router_->last_request(), has_work);
  if (step != StopStep::kServe && !std::exchange(refusing_, true)) {
    callers_->StopAccepting();
  }
  if (step == StopStep::kFinished) {
    FinishStop();
    return;
  }
  stop_timer_.expires_after(kStopPollPeriod);
  stop_timer_.async_wait(
      [self = shared_from_this()](auto) { self->AdvanceStop(); });
}

void RoutedInstanceImpl::FinishStop() {
  configuration_feed_->Stop();
  searcher_feed_->Stop();
  housekeeping_timer_.cancel();
  clients_->CloseAll();
  LogLine(DecisionEvent::kInstanceStopped)
      .Add("in_flight", router_->in_flight())
      .Write();
  FlushLog();
  stopped_();
}

}  // namespace

Result<std::shared_ptr<RoutedInstance>> RoutedInstance::Start(
    asio::io_context& context,
    const InstanceSettings& settings,
    RoutedPlatform platform) {
  const auto instance = std::make_shared<RoutedInstanceImpl>(
      context, settings, std::move(platform));
  const Result<Done> listening = instance->Listen();
  if (!listening) {
    return listening.last_reason();
  }
  return std::shared_ptr<RoutedInstance>(instance);
}

}  // namespace greengage
