#include "greengage/entry_instance.h"

#include <boost/asio.hpp>

#include <random>

#include "greengage/coordination/owner_directory.h"
#include "greengage/coordination/stop_sequence.h"
#include "greengage/coordination/watcher_set.h"
#include "greengage/protocol/status_codec.h"
#include "greengage/transport/claim_service.h"
#include "greengage/transport/claim_store.h"
#include "greengage/transport/claim_sweeper.h"
#include "greengage/transport/configuration_service.h"
#include "greengage/transport/front_service.h"
#include "greengage/transport/gossip_service.h"
#include "greengage/transport/log.h"
#include "greengage/transport/peer_service.h"
#include "greengage/transport/platform_client.h"
#include "greengage/transport/query_service.h"
#include "greengage/transport/upstream_watch.h"
#include "state/gauge_names.h"
#include "transport/configuration_fetch.h"

namespace greengage {
namespace {

namespace asio = boost::asio;

constexpr size_t kTimeLineEvents = 65536;

// Between two looks at whether the work under way has ended.
constexpr std::chrono::milliseconds kStopPollPeriod{20};

// Sub-request ids of different instances must differ; 62 random bits make sure
// of that, and leave room to count up.
uint64_t RandomBase() {
  std::random_device device;
  return (uint64_t{device()} << 30) ^ device();
}

// How often an instance that knows no other asks the platform for some.
constexpr std::chrono::seconds kSeedPeriod{2};

// How long a watch waits at the platform for a change.
constexpr std::chrono::milliseconds kWatchWait{10000};

double Value(const Counter& counter) {
  return static_cast<double>(counter.value());
}

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
        stop_timer_(context),
        seed_timer_(context) {}

  Result<Done> Listen();

  Endpoint http_endpoint() const override { return http_server_->endpoint(); }

  void Stop(std::function<void()> stopped) override;

 private:
  static constexpr double kDefaultHedgePercent = 2;
  static constexpr double kDefaultRetryPercent = 10;
  static constexpr double kRetryBurst = 20;

  void MakeServices();
  void MakeBackgroundWork();
  void MakeFront();
  void OnLeaving(const Endpoint& searcher);
  std::vector<Gauge> Gauges();
  Result<Done> ListenToPeers();
  Result<Done> ListenToCallers();
  void WatchPlatform(uint64_t after, ConfigurationService::TextCallback done);
  Result<Done> StartGossip();
  void OnMembers(const MemberTablePtr& table);
  void OnMemberChange(const MembershipChange& change);
  void DecideWatching();
  void SeedFromPlatform();
  std::string Status() const;
  void OnSearcherChange(const Endpoint& searcher,
                        SearcherTracker::Change change);
  void Count(SendReason reason);
  void OnSearcherAnswer(const Endpoint& searcher, const SubAnswer& answer);
  bool IsDraining(const Endpoint& searcher) const;
  void OnConfiguration(const ConfigurationPtr& configuration);
  void AdvanceStop();
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
  std::shared_ptr<UpstreamWatch> upstream_watch_;
  std::shared_ptr<ClaimSweeper> claim_sweeper_;
  std::shared_ptr<FrontService> front_;
  std::shared_ptr<PeerServer> peer_server_;
  std::shared_ptr<HttpServer> http_server_;
  std::shared_ptr<GossipService> gossip_;
  OwnerDirectory owners_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> refusing_{false};
  asio::steady_timer stop_timer_;
  asio::steady_timer seed_timer_;
  std::optional<StopSequence> stop_sequence_;
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
  owners_.SetConfiguration(configuration);
  gossip_->SetConfigurationVersion(configuration->version);
  DecideWatching();
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
      context_, settings_.id, [this] { return owners_.owners(); },
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
          [this](const ConfigurationFetch& fetch,
                 ConfigurationService::TextCallback done) {
            FetchConfiguration(router_->LinkTo(fetch.source),
                               configuration_->current_text(), clock_,
                               std::move(done));
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
      [this](const std::string& request) {
        return ServeConfiguration(request, *configuration_, clock_);
      },
      [this](const Endpoint& searcher) { OnLeaving(searcher); });
  MakeBackgroundWork();
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
  hooks.on_table = [this](const MemberTablePtr& table) { OnMembers(table); };
  hooks.on_version = [this](const VersionHeard& heard) {
    configuration_->OnHeard(heard.version, heard.source);
  };
  Result<std::shared_ptr<GossipService>> gossip = GossipService::Start(
      context_, std::move(options), &clock_, &events_, std::move(hooks));
  if (!gossip) {
    return gossip.last_reason();
  }
  gossip_ = *gossip;
  return Done{};
}

void EntryInstanceImpl::OnMembers(const MemberTablePtr& table) {
  owners_.SetTable(table);
  DecideWatching();
}

void EntryInstanceImpl::OnMemberChange(const MembershipChange& change) {
  if (change.kind == MembershipChangeKind::kGone) {
    router_->Forget(change.instance.id);
  }
}

// The watchers of a data centre watch for all; an instance without any
// configuration asks the platform itself, since it may know no other instance.
void EntryInstanceImpl::DecideWatching() {
  if (stopping_ || !gossip_) {
    return;
  }
  configuration_->SetWatching(!configuration_->current() ||
                              ShouldWatch(*gossip_->table()));
}

// The platform's list lags, so it only tells whom to try.
void EntryInstanceImpl::SeedFromPlatform() {
  seed_timer_.expires_after(kSeedPeriod);
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

void EntryInstanceImpl::MakeBackgroundWork() {
  upstream_watch_ = std::make_shared<UpstreamWatch>(
      context_, settings_.id, platform_, settings_.platform_timeout, router_,
      &clock_,
      UpstreamWatch::Hooks{
          [this] { return !stopping_ && ShouldWatch(*gossip_->table()); },
          [this] { return owners_.owners(); },
          [this](const Endpoint& searcher) { OnLeaving(searcher); }});
  claim_sweeper_ = std::make_shared<ClaimSweeper>(
      context_, platform_, settings_.platform_timeout,
      ClaimSweeper::Hooks{
          [this] {
            return !stopping_ && configuration_->current() &&
                   SweepsClaims(settings_.id, gossip_->table()->members);
          },
          [this] {
            const ConfigurationPtr configuration = configuration_->current();
            return ClaimLimits{configuration->limits.claim_retention,
                               configuration->limits.clock_skew};
          }});
}

void EntryInstanceImpl::OnLeaving(const Endpoint& searcher) {
  searchers_.OnDrainSign(std::chrono::steady_clock::now(), searcher);
  owner_service_->Drain(searcher);
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
  front_ = std::make_shared<FrontService>(settings_.id, std::move(hooks),
                                          FrontLimits{settings_.http_in_flight},
                                          &events_, &metrics_, Gauges());
}

std::vector<Gauge> EntryInstanceImpl::Gauges() {
  return {
      {kQueriesInFlight,
       [this] { return static_cast<double>(queries_->in_flight()); }},
      {kSubRequestsInFlight,
       [this] { return static_cast<double>(owner_service_->in_flight()); }},
      {kSearcherConnections,
       [this] {
         return static_cast<double>(owner_service_->open_connections());
       }},
      {kMembers,
       [this] {
         return static_cast<double>(gossip_->table()->members.size());
       }},
      {kGossipSent, [this] { return Value(gossip_->counters().bytes_sent); }},
      {kGossipReceived,
       [this] { return Value(gossip_->counters().bytes_received); }},
      {kGossipDatagrams,
       [this] { return Value(gossip_->counters().datagrams_sent); }},
      {kRejectedAnswers,
       [this] { return static_cast<double>(plans_.rejected_answers.load()); }},
  };
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
  for (const auto& step :
       {&EntryInstanceImpl::ListenToPeers, &EntryInstanceImpl::ListenToCallers,
        &EntryInstanceImpl::StartGossip}) {
    Result<Done> result = (this->*step)();
    if (!result) {
      return result;
    }
  }
  events_.Record(std::chrono::system_clock::now(), EventKind::kProcessStarted,
                 "", GREENGAGE_VERSION);
  OnMembers(gossip_->table());
  SeedFromPlatform();
  upstream_watch_->Start();
  claim_sweeper_->Start();
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
  gossip_->Leave();
  http_server_->EndKeepAlive();
  stop_sequence_.emplace(std::chrono::steady_clock::now(),
                         settings_.stop_notice, settings_.stop_grace);
  AdvanceStop();
}

void EntryInstanceImpl::AdvanceStop() {
  const StopStep step = stop_sequence_->Next(std::chrono::steady_clock::now(),
                                             front_->last_request(), HasWork());
  if (step != StopStep::kServe && !refusing_.exchange(true)) {
    http_server_->StopAccepting();
  }
  if (step == StopStep::kFinished) {
    StopPeers();
    return;
  }
  stop_timer_.expires_after(kStopPollPeriod);
  stop_timer_.async_wait(
      [self = shared_from_this()](auto) { self->AdvanceStop(); });
}

bool EntryInstanceImpl::HasWork() const {
  return front_->in_flight() > 0 || queries_->in_flight() > 0 ||
         claims_->in_flight() > 0 || owner_service_->in_flight() > 0 ||
         http_server_->connections() > 0;
}

void EntryInstanceImpl::StopPeers() {
  peer_server_->Stop([self = shared_from_this()] {
    self->router_->Close();
    self->configuration_->Stop();
    self->upstream_watch_->Stop();
    self->claim_sweeper_->Stop();
    self->seed_timer_.cancel();
    self->gossip_->Stop([self] {
      self->events_.Record(std::chrono::system_clock::now(),
                           EventKind::kProcessStopped, "", "graceful stop");
      self->stopped_();
    });
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
