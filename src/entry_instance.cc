#include "greengage/entry_instance.h"

#include <boost/asio.hpp>

#include "entry_instance_impl.h"
#include "greengage/coordination/watcher_set.h"
#include "greengage/transport/claim_store.h"
#include "greengage/transport/guard.h"
#include "state/gauge_names.h"
#include "transport/configuration_fetch.h"
#include "transport/random_base.h"

namespace greengage {
namespace {

// Memory of the unfinished requests of all callers.
constexpr size_t kMaxUnfinishedRequestBytes = size_t{64} << 20;

namespace asio = boost::asio;

double Value(const Counter& counter) {
  return static_cast<double>(counter.value());
}

}  // namespace

void EntryInstanceImpl::CreateServices() {
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
          [this](const Endpoint& searcher) { return IsDraining(searcher); },
          [this](const Endpoint& searcher) {
            events_.Record(std::chrono::system_clock::now(),
                           EventKind::kConnectionReplaced, "",
                           ToString(searcher));
          }});
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
            WatchConfiguration(after, std::move(done));
          },
          [this](const ConfigurationFetch& fetch,
                 ConfigurationService::TextCallback done) {
            FetchConfiguration(router_->ClientFor(fetch.source),
                               configuration_->current_text(), clock_,
                               std::move(done));
          },
          [this](const ConfigurationPtr& configuration) {
            OnConfiguration(configuration);
          }});
  query_context_.searchers = &searchers_;
  query_context_.hedge_policy = &hedge_policy_;
  query_context_.hedge_budget = &hedge_budget_;
  query_context_.retry_budget = &retry_budget_;
  query_context_.configuration = [this] { return configuration_->current(); };
  query_context_.next_sub_request_id = RandomBase();
  queries_ = std::make_unique<QueryService>(
      context_, &query_context_, &admission_, router_, &events_,
      [this](const SubRequest&, SendReason reason) {
        CountExtraSubRequest(reason);
      });
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
      [this](const Endpoint& searcher) { OnSearcherLeaving(searcher); });
  CreateBackgroundTasks();
}

void EntryInstanceImpl::CreateBackgroundTasks() {
  upstream_watch_ = std::make_shared<UpstreamWatch>(
      context_, settings_.id, platform_, settings_.platform_timeout, router_,
      &clock_,
      UpstreamWatch::Hooks{
          [this] { return !stopping_ && ShouldWatch(*gossip_->table()); },
          [this] { return owners_.owners(); },
          [this](const Endpoint& searcher) { OnSearcherLeaving(searcher); }});
  claim_sweeper_ = std::make_shared<ClaimSweeper>(
      context_, platform_, settings_.platform_timeout,
      ClaimSweeper::Hooks{
          [this] {
            return !stopping_ && configuration_->current() &&
                   ShouldSweepClaims(settings_.id, gossip_->table()->members);
          },
          [this] {
            const ConfigurationPtr configuration = configuration_->current();
            return ClaimLimits{configuration->limits.claim_retention,
                               configuration->limits.clock_skew};
          }});
}

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
    searchers_.OnDrainSignal(std::chrono::steady_clock::now(), searcher);
  }
}

bool EntryInstanceImpl::IsDraining(const Endpoint& searcher) const {
  const std::optional<SearcherView> view =
      searchers_.View(std::chrono::steady_clock::now(), searcher);
  return view && view->draining;
}

void EntryInstanceImpl::CountExtraSubRequest(SendReason reason) {
  if (reason == SendReason::kHedge) {
    metrics_.sub_requests_hedged.Add();
  } else if (reason == SendReason::kRetry) {
    metrics_.sub_requests_retried.Add();
  }
}

void EntryInstanceImpl::CreateHttpApi() {
  HttpApiHooks hooks;
  hooks.configuration = [this] { return configuration_->current(); };
  hooks.ready = [this] { return !stopping_ && configuration_->current(); };
  hooks.rejecting = [this] { return rejecting_.load(); };
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
  http_api_ = std::make_shared<HttpApiService>(
      settings_.id, std::move(hooks), HttpApiLimits{settings_.http_in_flight},
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
       [this] {
         return static_cast<double>(query_context_.rejected_answers.load());
       }},
      {kHandlerFailures, [] { return static_cast<double>(HandlerFailures()); }},
  };
}

Result<Done> EntryInstanceImpl::ListenForPeers() {
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

Result<Done> EntryInstanceImpl::ListenForCallers() {
  HttpServerLimits limits;
  limits.body_bytes = settings_.http_body_bytes;
  limits.header_bytes = settings_.http_header_bytes;
  limits.connections = settings_.http_connections;
  limits.read_timeout = settings_.http_read_timeout;
  limits.idle_timeout = settings_.http_idle_timeout;
  limits.receive_budget =
      std::make_shared<ReceiveBudget>(kMaxUnfinishedRequestBytes);
  Result<std::shared_ptr<HttpServer>> server = HttpServer::Listen(
      context_, settings_.http, limits,
      [http_api = http_api_](const HttpRequest& request,
                             const std::shared_ptr<HttpExchange>& exchange) {
        http_api->Handle(request, exchange);
      });
  if (!server) {
    return server.last_reason();
  }
  http_server_ = *server;
  return Done{};
}

Result<Done> EntryInstanceImpl::Listen() {
  platform_ = PlatformClient::Create(context_, settings_.platform);
  CreateServices();
  CreateHttpApi();
  for (const auto& step : {&EntryInstanceImpl::ListenForPeers,
                           &EntryInstanceImpl::ListenForCallers,
                           &EntryInstanceImpl::StartGossip}) {
    Result<Done> result = (this->*step)();
    if (!result) {
      return result;
    }
  }
  events_.Record(std::chrono::system_clock::now(), EventKind::kProcessStarted,
                 "", GREENGAGE_VERSION);
  OnMemberTable(gossip_->table());
  SeedFromPlatform();
  upstream_watch_->Start();
  claim_sweeper_->Start();
  return Done{};
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
