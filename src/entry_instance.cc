#include "greengage/entry_instance.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <random>

#include "greengage/transport/claim_service.h"
#include "greengage/transport/claim_store.h"
#include "greengage/transport/configuration_service.h"
#include "greengage/transport/front_service.h"
#include "greengage/transport/log.h"
#include "greengage/transport/peer_service.h"
#include "greengage/transport/platform_client.h"
#include "greengage/transport/query_service.h"

namespace greengage {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr size_t kTimeLineEvents = 65536;

// Between two looks at whether the work under way has ended.
constexpr std::chrono::milliseconds kStopPollPeriod{20};

// Sub-request ids of different instances must differ; 62 random bits make sure
// of that, and leave room to count up.
uint64_t RandomBase() {
  std::random_device device;
  return (uint64_t{device()} << 30) ^ device();
}

// How long a watch waits at the platform for a change.
constexpr std::chrono::milliseconds kWatchWait{10000};

ConfigurationText ToText(PlatformObject object) {
  return ConfigurationText{object.version, std::move(object.value)};
}

// For the configuration, "no change" and "no object yet" are the same.
Result<ConfigurationText> ToWatchResult(Result<PlatformObject> result) {
  if (result) {
    return ToText(std::move(result).value());
  }
  if (result.last_reason().kind == FailureKind::kNotFound) {
    return Failure{FailureKind::kStaleVersion, "configuration", "none yet"};
  }
  return result.last_reason();
}

}  // namespace

class EntryInstanceImpl
    : public EntryInstance,
      public std::enable_shared_from_this<EntryInstanceImpl> {
 public:
  EntryInstanceImpl(asio::io_context& context, const InstanceSettings& settings)
      : context_(context),
        settings_(settings),
        events_(settings.id, kTimeLineEvents, &clock_, LogEvent),
        searchers_(SearcherStateOptions{},
                   [this](TimePoint,
                          const Endpoint& searcher,
                          SearcherTracker::Change change) {
                     OnSearcherChange(searcher, change);
                   }),
        hedges_(HedgeOptions{}),
        extra_load_(kDefaultHedgePercent),
        retries_(kDefaultRetryPercent, kRetryBurst),
        admission_(AdmissionOptions{}),
        stop_timer_(context) {}

  Result<Done> Listen();

  Endpoint http_endpoint() const override { return http_server_->endpoint(); }

  void Stop(std::function<void()> stopped) override;

 private:
  static constexpr double kDefaultHedgePercent = 2;
  static constexpr double kDefaultRetryPercent = 10;
  static constexpr double kRetryBurst = 20;

  void MakeServices();
  void MakeFront();
  Result<Done> ListenToPeers();
  Result<Done> ListenToCallers();
  void WatchPlatform(uint64_t after, ConfigurationService::TextCallback done);
  std::vector<Instance> OwnersOf(const Endpoint& searcher) const;
  std::string Status() const;
  void OnSearcherChange(const Endpoint& searcher,
                        SearcherTracker::Change change);
  void Count(SendReason reason);
  void OnSearcherAnswer(const Endpoint& searcher, const SubAnswer& answer);
  bool IsDraining(const Endpoint& searcher) const;
  void OnConfiguration(const ConfigurationPtr& configuration);
  void StopTakingRequests();
  void WaitForWork();
  bool HasWork() const;
  void StopPeers();

  asio::io_context& context_;
  const InstanceSettings settings_;
  HybridClock clock_;
  EventLog events_;
  Metrics metrics_;
  SearcherTracker searchers_;
  HedgePolicy hedges_;
  ExtraLoadBudget extra_load_;
  RetryBudget retries_;
  Admission admission_;
  QueryContext plans_;
  std::shared_ptr<PlatformClient> platform_;
  std::shared_ptr<OwnerService> owner_service_;
  std::shared_ptr<SubRequestRouter> router_;
  std::shared_ptr<ConfigurationService> configuration_;
  std::unique_ptr<QueryService> queries_;
  std::unique_ptr<ClaimService> claims_;
  std::shared_ptr<PeerService> peer_service_;
  std::shared_ptr<FrontService> front_;
  std::shared_ptr<PeerServer> peer_server_;
  std::shared_ptr<HttpServer> http_server_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> refusing_{false};
  asio::steady_timer stop_timer_;
  TimePoint grace_end_;
  std::function<void()> stopped_;
};

void EntryInstanceImpl::OnSearcherChange(const Endpoint& searcher,
                                         SearcherTracker::Change change) {
  EventKind kind = EventKind::kSearcherDraining;
  if (change == SearcherTracker::Change::kEjected) {
    kind = EventKind::kSearcherEjected;
  } else if (change == SearcherTracker::Change::kReturned) {
    kind = EventKind::kSearcherReturned;
  }
  events_.Record(std::chrono::system_clock::now(), kind, "",
                 ToString(searcher));
}

void EntryInstanceImpl::OnSearcherAnswer(const Endpoint& searcher,
                                         const SubAnswer& answer) {
  metrics_.service_time.Record(answer.service_time);
  if (answer.load && answer.load->draining) {
    searchers_.OnDrainSign(std::chrono::steady_clock::now(), searcher);
  }
}

bool EntryInstanceImpl::IsDraining(const Endpoint& searcher) const {
  const std::optional<SearcherView> view =
      searchers_.View(std::chrono::steady_clock::now(), searcher);
  return view && view->draining;
}

void EntryInstanceImpl::Count(SendReason reason) {
  if (reason == SendReason::kHedge) {
    metrics_.sub_requests_hedged.Add();
  } else if (reason == SendReason::kRetry) {
    metrics_.sub_requests_retried.Add();
  }
}

void EntryInstanceImpl::OnConfiguration(const ConfigurationPtr& configuration) {
  searchers_.Apply(std::chrono::steady_clock::now(), *configuration);
  owner_service_->Apply(configuration);
  if (const auto level = ParseLogLevel(configuration->log_level)) {
    SetLogLevel(*level);
  }
}

void EntryInstanceImpl::MakeServices() {
  owner_service_ = std::make_shared<OwnerService>(
      context_, RandomBase(),
      OwnerService::Hooks{
          [this](const SubRequest&) { metrics_.sub_requests_sent.Add(); },
          [this](const SubRequest& request, const SubAnswer& answer) {
            OnSearcherAnswer(request.searcher, answer);
            events_.Record(std::chrono::system_clock::now(),
                           EventKind::kSubRequestEnded, request.request_id,
                           ToString(request.searcher),
                           std::string(OutcomeName(answer.outcome)));
          },
          [this](const Endpoint& searcher) { return IsDraining(searcher); }});
  router_ = std::make_shared<SubRequestRouter>(
      context_, settings_.id,
      [this](const Endpoint& searcher) { return OwnersOf(searcher); },
      owner_service_.get(), &clock_, PeerLimits{},
      SubRequestRouter::Hooks{
          [this](const SubRequest& request, const Instance& owner) {
            metrics_.sub_requests_forwarded.Add();
            events_.Record(std::chrono::system_clock::now(),
                           EventKind::kSubRequestForwarded, request.request_id,
                           owner.id, ToString(request.searcher));
          }});
  configuration_ = std::make_shared<ConfigurationService>(
      context_, &events_,
      ConfigurationService::Hooks{
          [this](uint64_t after, ConfigurationService::TextCallback done) {
            WatchPlatform(after, std::move(done));
          },
          [](const Instance&, uint64_t,
             const ConfigurationService::TextCallback& done) {
            done(Failure{FailureKind::kUnavailable, "peer", "no link"});
          },
          [this](const ConfigurationPtr& configuration) {
            OnConfiguration(configuration);
          }});
  plans_.searchers = &searchers_;
  plans_.hedges = &hedges_;
  plans_.extra_load = &extra_load_;
  plans_.retries = &retries_;
  plans_.configuration = [this] { return configuration_->current(); };
  plans_.next_sub_request_id = RandomBase();
  queries_ = std::make_unique<QueryService>(
      context_, &plans_, &admission_, router_, &events_,
      [this](const SubRequest&, SendReason reason) { Count(reason); });
  claims_ = std::make_unique<ClaimService>(
      context_, settings_.id,
      MakeClaimHooks(platform_, settings_.platform_timeout,
                     [this](Query query, ConfigurationPtr configuration,
                            QueryService::Callback done) {
                       queries_->Run(std::move(query), std::move(configuration),
                                     std::move(done));
                     }),
      &events_, &metrics_);
  peer_service_ = std::make_shared<PeerService>(
      owner_service_.get(), &clock_,
      [](const std::string&) { return std::optional<std::string>(); });
}

void EntryInstanceImpl::WatchPlatform(uint64_t after,
                                      ConfigurationService::TextCallback done) {
  const TimePoint deadline = std::chrono::steady_clock::now() + kWatchWait +
                             settings_.platform_timeout;
  platform_->Watch(ConfigurationObject(), after, kWatchWait, deadline,
                   [done = std::move(done)](Result<PlatformObject> result) {
                     done(ToWatchResult(std::move(result)));
                   });
}

std::vector<Instance> EntryInstanceImpl::OwnersOf(const Endpoint&) const {
  return {};
}

std::string EntryInstanceImpl::Status() const {
  const ConfigurationPtr configuration = configuration_->current();
  json::object status;
  status["instance"] = settings_.id;
  status["data_centre"] = settings_.data_centre;
  status["state"] = stopping_ ? "leaving" : "live";
  status["configuration_version"] = configuration ? configuration->version : 0;
  status["platform_down"] = configuration_->platform_down();
  status["members"] = json::array();
  return json::serialize(status);
}

void EntryInstanceImpl::MakeFront() {
  FrontHooks hooks;
  hooks.configuration = [this] { return configuration_->current(); };
  hooks.ready = [this] { return !stopping_ && configuration_->current(); };
  hooks.refusing = [this] { return refusing_.load(); };
  hooks.status = [this] { return Status(); };
  hooks.run = [this](Query query, ConfigurationPtr configuration,
                     QueryService::Callback done) {
    if (!query.idempotent) {
      claims_->Run(std::move(query), std::move(configuration), std::move(done));
      return std::shared_ptr<RunningQuery>();
    }
    return queries_->Run(std::move(query), std::move(configuration),
                         std::move(done));
  };
  front_ = std::make_shared<FrontService>(
      settings_.id, std::move(hooks), FrontLimits{settings_.http_in_flight},
      &events_, &metrics_, std::vector<Gauge>{});
}

Result<Done> EntryInstanceImpl::ListenToPeers() {
  Result<std::shared_ptr<PeerServer>> server = PeerServer::Listen(
      context_, settings_.peer, PeerLimits{},
      [service = peer_service_](const std::string& path,
                                const std::string& message,
                                const std::shared_ptr<PeerStream>& stream) {
        service->Handle(path, message, stream);
      });
  if (!server) {
    return server.last_reason();
  }
  peer_server_ = *server;
  return Done{};
}

Result<Done> EntryInstanceImpl::ListenToCallers() {
  HttpServerLimits limits;
  limits.body_bytes = settings_.http_body_bytes;
  limits.header_bytes = settings_.http_header_bytes;
  limits.connections = settings_.http_connections;
  limits.read_timeout = settings_.http_read_timeout;
  limits.idle_timeout = settings_.http_idle_timeout;
  Result<std::shared_ptr<HttpServer>> server = HttpServer::Listen(
      context_, settings_.http, limits,
      [front = front_](const HttpRequest& request,
                       const std::shared_ptr<HttpExchange>& exchange) {
        front->Handle(request, exchange);
      });
  if (!server) {
    return server.last_reason();
  }
  http_server_ = *server;
  return Done{};
}

Result<Done> EntryInstanceImpl::Listen() {
  platform_ = PlatformClient::Create(context_, settings_.platform);
  MakeServices();
  MakeFront();
  for (const auto& step : {&EntryInstanceImpl::ListenToPeers,
                           &EntryInstanceImpl::ListenToCallers}) {
    const Result<Done> result = (this->*step)();
    if (!result) {
      return result;
    }
  }
  events_.Record(std::chrono::system_clock::now(), EventKind::kProcessStarted,
                 "", GREENGAGE_VERSION);
  configuration_->SetWatching(true);
  return Done{};
}

void EntryInstanceImpl::Stop(std::function<void()> stopped) {
  if (stopping_.exchange(true)) {
    return;
  }
  stopped_ = std::move(stopped);
  events_.Record(std::chrono::system_clock::now(), EventKind::kProcessStopping,
                 "", "graceful stop");
  configuration_->SetWatching(false);
  http_server_->EndKeepAlive();
  stop_timer_.expires_after(settings_.stop_notice);
  stop_timer_.async_wait(
      [self = shared_from_this()](auto) { self->StopTakingRequests(); });
}

void EntryInstanceImpl::StopTakingRequests() {
  refusing_ = true;
  http_server_->StopAccepting();
  grace_end_ = std::chrono::steady_clock::now() + settings_.stop_grace;
  WaitForWork();
}

bool EntryInstanceImpl::HasWork() const {
  return front_->in_flight() > 0 || queries_->in_flight() > 0 ||
         claims_->in_flight() > 0 || owner_service_->in_flight() > 0 ||
         http_server_->connections() > 0;
}

void EntryInstanceImpl::WaitForWork() {
  if (!HasWork() || std::chrono::steady_clock::now() >= grace_end_) {
    StopPeers();
    return;
  }
  stop_timer_.expires_after(kStopPollPeriod);
  stop_timer_.async_wait(
      [self = shared_from_this()](auto) { self->WaitForWork(); });
}

void EntryInstanceImpl::StopPeers() {
  peer_server_->Stop([self = shared_from_this()] {
    self->router_->Close();
    self->configuration_->Stop();
    self->events_.Record(std::chrono::system_clock::now(),
                         EventKind::kProcessStopped, "", "graceful stop");
    self->stopped_();
  });
}

Result<std::shared_ptr<EntryInstance>> EntryInstance::Start(
    asio::io_context& context,
    const InstanceSettings& settings) {
  const auto instance = std::make_shared<EntryInstanceImpl>(context, settings);
  const Result<Done> listening = instance->Listen();
  if (!listening) {
    return listening.last_reason();
  }
  return std::shared_ptr<EntryInstance>(instance);
}

}  // namespace greengage
