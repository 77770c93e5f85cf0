// The implementation of EntryInstance.
#ifndef GREENGAGE_SRC_ENTRY_INSTANCE_IMPL_H_
#define GREENGAGE_SRC_ENTRY_INSTANCE_IMPL_H_

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "greengage/coordination/owner_directory.h"
#include "greengage/coordination/stop_sequence.h"
#include "greengage/entry_instance.h"
#include "greengage/transport/claim_service.h"
#include "greengage/transport/claim_sweeper.h"
#include "greengage/transport/configuration_service.h"
#include "greengage/transport/gossip_service.h"
#include "greengage/transport/http_api_service.h"
#include "greengage/transport/log.h"
#include "greengage/transport/peer_service.h"
#include "greengage/transport/platform_client.h"
#include "greengage/transport/query_service.h"
#include "greengage/transport/upstream_watch.h"

namespace greengage {

// The member functions are in three files: entry_instance.cc creates and starts
// the components, entry_instance_members.cc handles changes of the membership
// and of the configuration, entry_instance_stop.cc handles the shutdown.
class EntryInstanceImpl
    : public EntryInstance,
      public std::enable_shared_from_this<EntryInstanceImpl> {
 public:
  EntryInstanceImpl(boost::asio::io_context& context,
                    const InstanceSettings& settings)
      : context_(context),
        settings_(settings),
        events_(settings.id, kMaxRetainedEvents, &clock_, LogEvent),
        searchers_(SearcherStateOptions{},
                   [this](TimePoint,
                          const Endpoint& searcher,
                          SearcherTracker::Change change) {
                     OnSearcherChange(searcher, change);
                   }),
        hedge_policy_(HedgeOptions{}),
        hedge_budget_(kDefaultHedgePercent),
        retry_budget_(kDefaultRetryPercent, kRetryBurst),
        admission_(AdmissionOptions{}),
        stop_timer_(context),
        seed_timer_(context) {}

  Result<Done> Listen();

  Endpoint http_endpoint() const override { return http_server_->endpoint(); }

  void Stop(std::function<void()> stopped) override;

 private:
  // Number of events that the event log keeps.
  static constexpr size_t kMaxRetainedEvents = 65536;

  static constexpr double kDefaultHedgePercent = 2;
  static constexpr double kDefaultRetryPercent = 8;
  static constexpr double kRetryBurst = 20;

  void CreateServices();
  void CreateBackgroundTasks();
  void CreateHttpApi();
  void OnSearcherLeaving(const Endpoint& searcher);
  std::vector<Gauge> Gauges();
  Result<Done> ListenForPeers();
  Result<Done> ListenForCallers();
  void WatchConfiguration(uint64_t after,
                          ConfigurationService::TextCallback done);
  Result<Done> StartGossip();
  void OnMemberTable(const MemberTablePtr& table);
  void OnMemberChange(const MembershipChange& change);
  void UpdateWatching();
  void SeedFromPlatform();
  std::string Status() const;
  void OnSearcherChange(const Endpoint& searcher,
                        SearcherTracker::Change change);
  void CountExtraSubRequest(SendReason reason);
  void OnSearcherAnswer(const Endpoint& searcher, const SubAnswer& answer);
  bool IsDraining(const Endpoint& searcher) const;
  void OnConfiguration(const ConfigurationPtr& configuration);
  void AdvanceStop();
  bool HasWork() const;
  void EndRequests();
  // Finishes the stop once all answers are written and the streams of other
  // instances have ended, or at `end`.
  void AwaitLastAnswers(TimePoint now, TimePoint end);
  void FinishStop();

  boost::asio::io_context& context_;
  const InstanceSettings settings_;
  HybridClock clock_;
  EventLog events_;
  Metrics metrics_;
  SearcherTracker searchers_;
  HedgePolicy hedge_policy_;
  HedgeBudget hedge_budget_;
  RetryBudget retry_budget_;
  Admission admission_;
  QueryContext query_context_;
  std::shared_ptr<PlatformClient> platform_;
  std::shared_ptr<OwnerService> owner_service_;
  std::shared_ptr<SubRequestRouter> router_;
  std::shared_ptr<ConfigurationService> configuration_;
  std::unique_ptr<QueryService> queries_;
  std::unique_ptr<ClaimService> claims_;
  std::shared_ptr<PeerService> peer_service_;
  std::shared_ptr<UpstreamWatch> upstream_watch_;
  std::shared_ptr<ClaimSweeper> claim_sweeper_;
  std::shared_ptr<HttpApiService> http_api_;
  std::shared_ptr<PeerServer> peer_server_;
  std::shared_ptr<HttpServer> http_server_;
  std::shared_ptr<GossipService> gossip_;
  OwnerDirectory owners_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> rejecting_{false};
  boost::asio::steady_timer stop_timer_;
  boost::asio::steady_timer seed_timer_;
  std::optional<StopSequence> stop_sequence_;
  std::function<void()> on_stopped_;
  std::atomic<bool> peers_stopped_{false};
};

}  // namespace greengage

#endif  // GREENGAGE_SRC_ENTRY_INSTANCE_IMPL_H_
