#include "greengage/routed_instance.h"

#include <chrono>
#include <utility>

#include "greengage/transport/log_line.h"
#include "routed_instance_impl.h"
#include "transport/random_base.h"

namespace greengage {
namespace {

namespace asio = boost::asio;

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
          settings.data_centre),
      clients_(std::make_shared<SearcherClients>(
          context,
          [this](const std::string& service) {
            return MaxConnectionsPerSearcher(service);
          })),
      stop_timer_(context),
      housekeeping_timer_(context),
      instance_count_timer_(context) {
  AssumeMaxInstances();
  plan_context_.random.seed(
      static_cast<std::minstd_rand::result_type>(RandomBase()));
}

Result<Done> RoutedInstanceImpl::Listen() {
  router_ = std::make_shared<RequestRouter>(
      context_, platform_.dialect,
      RequestRouter::Limits{settings_.http_in_flight}, &plan_context_, clients_,
      &metrics_,
      RequestRouter::Hooks{[this] { return route_table_; },
                           [this] { return rejecting_; },
                           [this] { return RegistryAge(); }});
  for (const auto& step : {&RoutedInstanceImpl::ListenForCallers,
                           &RoutedInstanceImpl::ListenForReadinessChecks,
                           &RoutedInstanceImpl::ListenForMetrics}) {
    Result<Done> result = (this->*step)();
    if (!result) {
      return result;
    }
  }
  LogLine(DecisionEvent::kInstanceStarted)
      .Add("version", GREENGAGE_VERSION)
      .Add("data_centre", settings_.data_centre)
      .Write();
  StartStoreWatches();
  RegisterInstance();
  CountInstances();
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
                               .body = SerializeMetrics(metrics_, {})});
                         });
  if (!server) {
    return server.last_reason();
  }
  metrics_server_ = *server;
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
