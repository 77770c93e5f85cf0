#include "greengage/routed_instance.h"

#include <chrono>
#include <utility>

#include "greengage/transport/guard.h"
#include "greengage/transport/log_line.h"
#include "routed_instance_impl.h"
#include "state/gauge_names.h"
#include "transport/random_base.h"

namespace greengage {
namespace {

namespace asio = boost::asio;

// Peers that are tried while the searchers cannot be reached from here. Those
// of the own data centre are often cut off as well and refuse.
constexpr size_t kMaxPeers = 4;

// Memory of unfinished requests and answers, so that a process with a limit of
// 160 MB can hold them beside everything else.
constexpr size_t kMaxUnfinishedBytes = size_t{64} << 20;

RequestRouter::ForwardHook ForwardHookOf(
    const std::shared_ptr<GatherForwarder>& forwarder) {
  return [forwarder](ForwardedQuery query,
                     const std::shared_ptr<HttpExchange>& exchange,
                     GatherForwarder::GatherHere gather_here) {
    forwarder->Forward(std::move(query), exchange, std::move(gather_here));
  };
}

}  // namespace

RoutedInstanceImpl::RoutedInstanceImpl(asio::io_context& context,
                                       const InstanceSettings& settings,
                                       RoutedPlatform platform)
    : context_(context),
      settings_(settings),
      platform_(std::move(platform)),
      plan_context_(
          {[this](const RoutedSearcher& searcher) {
             OnSearcherAdded(searcher);
           },
           [this](const RoutedSearcher& searcher, std::string_view cause) {
             OnSearcherLeaving(searcher, cause);
           }},
          kRouteHedgeOptions,
          settings.data_centre,
          settings.regions),
      suspects_(CrashSuspectOptions{}),
      crash_slots_(HeldCrashSlotOptions{}),
      reach_(SearcherReachOptions{}),
      receive_budget_(std::make_shared<ReceiveBudget>(kMaxUnfinishedBytes)),
      clients_(std::make_shared<SearcherClients>(
          context,
          [this](const std::string& service) {
            return MaxConnectionsPerSearcher(service);
          },
          receive_budget_)),
      feed_cache_(RandomBase()),
      instance_counter_(SelfRecord(), InstanceCounterOptions{}),
      feed_source_(SelfRecord(), FeedSourceOptions{.max_age = MaxFeedAge()}),
      feed_client_(std::make_shared<FeedClient>(context)),
      gatherers_(settings.id),
      peers_(settings.id),
      stop_timer_(context),
      housekeeping_timer_(context),
      instances_timer_(context),
      feed_timer_(context) {
  AssumeMaxInstances();
  plan_context_.spill_mode = settings.spill;
  plan_context_.spill =
      DataCentreSpill({settings.leaving_cost, settings.leaving_region_cost});
  plan_context_.limit_share = [this](const std::string& service) {
    return LimitShareOf(service);
  };
  forwarder_ = MakeForwarder(GathererChooser::kMaxGatherersTried, &gatherers_);
  peer_forwarder_ = MakeForwarder(kMaxPeers, &peers_);
  feed_server_ = std::make_shared<FeedServer>(
      context, &feed_cache_,
      FeedServerHooks{[this] {
                        return !rejecting_ && searcher_watcher_ != nullptr &&
                               feed_cache_.AgeAt(NowWithSuspension()) <
                                   MaxFeedAge();
                      },
                      &NowWithSuspension});
  plan_context_.random.seed(
      static_cast<std::minstd_rand::result_type>(RandomBase()));
}

std::shared_ptr<GatherForwarder> RoutedInstanceImpl::MakeForwarder(
    size_t max_peers,
    GathererChooser* chooser) {
  return std::make_shared<GatherForwarder>(
      context_, max_peers, receive_budget_, chooser, &plan_context_.random,
      GatherForwarder::Hooks{
          [this](const std::string& request_id, const std::string& gatherer,
                 uint64_t configuration, unsigned status, Duration took) {
            OnForwarded(request_id, gatherer, configuration, status, took);
          },
          [this](const std::string& request_id, const std::string& gatherer,
                 const std::string& detail) {
            LogLine(DecisionEvent::kGathererFailed)
                .Add("request_id", request_id)
                .Add("gatherer", gatherer)
                .Add("detail", detail)
                .Write();
          },
          [this](const SearcherEntry& searcher) {
            plan_context_.searchers.OnAnnouncedLeaving(Now(), searcher);
          }});
}

Result<Done> RoutedInstanceImpl::Listen() {
  router_ = std::make_shared<RequestRouter>(
      context_, platform_.dialect,
      RequestRouter::Limits{settings_.http_in_flight}, &plan_context_,
      &suspects_, &reach_, clients_, &metrics_,
      RequestRouter::Hooks{
          [this] { return route_table_; },
          [this](TimePoint now, Duration longest) {
            return !stop_sequence_ || stop_sequence_->Takes(now, longest);
          },
          [this] { return RegistryAge(); },
          [this] { return RegistryAge() > settings_.leave_time; },
          [this] { return !gatherers_.gathers_itself(); },
          [this](const CrashReport& report, CrashedRequest request) {
            OnSearcherCrashed(report, std::move(request));
          },
          [this](const std::vector<std::string>& keys) {
            WithdrawCrashReports(keys);
          },
          [this](const RequestDigest& digest, size_t count,
                 RequestRouter::SlotCallback done) {
            TakeCrashSlot({digest, 0}, count, std::move(done));
          },
          [this](const CrashSlot& slot, SlotUse use) {
            OnCrashSlotEnded(slot, use);
          },
          [this](const Organisation& organisation) {
            return AdmitWithinQuota(organisation);
          },
          [this](const std::string& organisation) {
            if (quotas_) {
              quotas_->OnNotRun(organisation);
            }
          },
          ForwardHookOf(forwarder_), ForwardHookOf(peer_forwarder_)});
  for (const auto& step : {&RoutedInstanceImpl::ListenForCallers,
                           &RoutedInstanceImpl::ListenForReadinessChecks,
                           &RoutedInstanceImpl::ListenForMetrics,
                           &RoutedInstanceImpl::ListenForPeers}) {
    Result<Done> result = (this->*step)();
    if (!result) {
      return result;
    }
  }
  LogLine(DecisionEvent::kInstanceStarted)
      .Add("version", GREENGAGE_VERSION)
      .Add("data_centre", settings_.data_centre)
      .Write();
  JoinInstances();
  ScheduleHousekeeping();
  return Done{};
}

// Returns the limits of the configuration, or those of the settings where the
// configuration has none.
HttpServerLimits RoutedInstanceImpl::ActiveServerLimits() const {
  const CallerLimits configured =
      route_table_ ? route_table_->limits() : CallerLimits{};
  HttpServerLimits limits;
  limits.body_bytes = configured.body_bytes.value_or(settings_.http_body_bytes);
  limits.header_bytes =
      configured.header_bytes.value_or(settings_.http_header_bytes);
  limits.connections = settings_.http_connections;
  limits.read_timeout = settings_.http_read_timeout;
  limits.idle_timeout =
      configured.idle_timeout.value_or(settings_.http_idle_timeout);
  limits.receive_budget = receive_budget_;
  return limits;
}

Result<Done> RoutedInstanceImpl::ListenForCallers() {
  Result<std::shared_ptr<HttpServer>> server = HttpServer::Listen(
      context_, settings_.http, ActiveServerLimits(),
      [router = router_](HttpRequest request,
                         const std::shared_ptr<HttpExchange>& exchange) {
        router->Handle(std::move(request), exchange);
      });
  if (!server) {
    return server.last_reason();
  }
  caller_server_ = *server;
  return Done{};
}

Result<Done> RoutedInstanceImpl::ListenForReadinessChecks() {
  Result<std::shared_ptr<HttpServer>> server = HttpServer::Listen(
      context_, settings_.ready, HttpServerLimits{},
      [this](const HttpRequest& request,
             const std::shared_ptr<HttpExchange>& exchange) {
        exchange->Reply(request.path == platform_.dialect.ready_path
                            ? MakeReadinessResponse()
                            : HttpResponse{.status = 404});
      });
  if (!server) {
    return server.last_reason();
  }
  readiness_server_ = *server;
  return Done{};
}

std::vector<Gauge> RoutedInstanceImpl::Gauges() const {
  return {{kUnfinishedAnswerBytes,
           [budget = receive_budget_] {
             return static_cast<double>(budget->reserved());
           }},
          {kHandlerFailures,
           [] { return static_cast<double>(HandlerFailures()); }}};
}

Result<Done> RoutedInstanceImpl::ListenForMetrics() {
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
                               .body = SerializeMetrics(metrics_, Gauges())});
                         });
  if (!server) {
    return server.last_reason();
  }
  metrics_server_ = *server;
  return Done{};
}

// A forwarded query has the path of the caller's request and is known by its
// headers.
void RoutedInstanceImpl::HandlePeer(
    HttpRequest request,
    const std::shared_ptr<HttpExchange>& exchange) {
  if (HasForwardInfo(request.headers)) {
    router_->HandleForwarded(std::move(request), exchange);
  } else if (request.path == kFeedPath) {
    feed_server_->Handle(request, exchange);
  } else {
    exchange->Reply(
        HttpResponse{.status = request.path == kAlivePath ? 200U : 404U});
  }
}

Result<Done> RoutedInstanceImpl::ListenForPeers() {
  HttpServerLimits limits;
  limits.body_bytes = settings_.http_body_bytes;
  limits.header_bytes = settings_.http_header_bytes;
  limits.receive_budget = receive_budget_;
  Result<std::shared_ptr<HttpServer>> server =
      HttpServer::Listen(context_, settings_.peer, limits,
                         [this](HttpRequest request,
                                const std::shared_ptr<HttpExchange>& exchange) {
                           HandlePeer(std::move(request), exchange);
                         });
  if (!server) {
    return server.last_reason();
  }
  peer_server_ = *server;
  return Done{};
}

HttpResponse RoutedInstanceImpl::MakeReadinessResponse() const {
  std::string_view reason;
  if (stopping_) {
    reason = "stopping";
  } else if (!route_table_) {
    reason = "no_configuration";
  } else if (!searchers_known_) {
    reason = "no_searchers";
  } else if (!evacuations_read_ &&
             Now() - started_at_ < settings_.evacuation_time) {
    // Later, this instance serves with what it knows.
    reason = "no_evacuations";
  }
  const bool ready = reason.empty();
  return HttpResponse{.status = ready ? 200U : 503U,
                      .body = ready ? "{\"ready\": true}"
                                    : "{\"ready\": false, \"reason\": \"" +
                                          std::string(reason) + "\"}"};
}

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
