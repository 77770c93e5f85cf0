// The implementation of RoutedInstance.
#ifndef GREENGAGE_SRC_ROUTED_INSTANCE_IMPL_H_
#define GREENGAGE_SRC_ROUTED_INSTANCE_IMPL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "greengage/coordination/crash_suspects.h"
#include "greengage/coordination/feed_cache.h"
#include "greengage/coordination/feed_source.h"
#include "greengage/coordination/gatherers.h"
#include "greengage/coordination/held_crash_slots.h"
#include "greengage/coordination/instance_counter.h"
#include "greengage/coordination/instance_share.h"
#include "greengage/coordination/searcher_reach.h"
#include "greengage/coordination/stop_sequence.h"
#include "greengage/routed_instance.h"
#include "greengage/state/configuration_version.h"
#include "greengage/state/routed_metrics.h"
#include "greengage/transport/feed_client.h"
#include "greengage/transport/feed_server.h"
#include "greengage/transport/http_server.h"
#include "greengage/transport/log_line.h"
#include "greengage/transport/quota_service.h"
#include "greengage/transport/request_router.h"
#include "transport/clock.h"

namespace greengage {

// Delay before the registry of instances is read after the store was restored.
// The answer may be some seconds old.
inline constexpr std::chrono::seconds kRestoredInstancesReadDelay{2};

// Crash reports that are kept while the store is away. Further ones are only
// known to this instance.
inline constexpr size_t kMaxUnsharedReports = 64;

// The member functions are in six files: routed_instance.cc creates the
// components and listens, routed_instance_feed.cc chooses whether to read the
// store or a peer, routed_instance_store.cc processes the data of either,
// routed_instance_crash.cc shares reports of searchers that ended,
// routed_instance_terms.cc handles evacuations and quotas,
// routed_instance_stop.cc handles reload and shutdown. All of them run on one
// thread.
class RoutedInstanceImpl
    : public RoutedInstance,
      public std::enable_shared_from_this<RoutedInstanceImpl> {
 public:
  RoutedInstanceImpl(boost::asio::io_context& context,
                     const InstanceSettings& settings,
                     RoutedPlatform platform);

  Result<Done> Listen();

  Endpoint http_endpoint() const override { return caller_server_->endpoint(); }

  void Reload(const InstanceSettings& settings) override;

  void Stop(std::function<void()> stopped) override;

 private:
  HttpServerLimits ActiveServerLimits() const;
  Result<Done> ListenForCallers();
  Result<Done> ListenForReadinessChecks();
  Result<Done> ListenForMetrics();
  std::vector<Gauge> Gauges() const;
  Result<Done> ListenForPeers();
  void HandlePeer(HttpRequest request,
                  const std::shared_ptr<HttpExchange>& exchange);
  HttpResponse MakeReadinessResponse() const;

  // Registers this instance and reads the registry, so that it knows its peers,
  // and then chooses where to read from.
  void JoinInstances();
  void RegisterInstance(std::function<void(Registration)> done);
  // Registers this instance again if its entry is missing from the registry.
  void RestoreRegistration();
  void ReadInstancesAfter(Duration delay);
  void ReadInstances();
  void OnInstances(const std::vector<InstanceRecord>& instances);
  // Divides the common limits among the instances that count now. Returns
  // whether they have changed.
  bool CountInstances();
  // Removes the entries of instances that stopped long ago.
  void RemoveOutdatedEntries();
  // Reads the store or a peer, as `feed_source_` decides.
  void UpdateFeed();
  void ScheduleFeedUpdate(Duration delay);
  void FetchFromPeer(const InstanceRecord& peer);
  // Chooses the gatherers after a change of the instances or the configuration.
  void UpdateGatherers();
  void UpdatePeers();
  std::shared_ptr<GatherForwarder> MakeForwarder(size_t max_peers,
                                                 GathererChooser* chooser);
  // Finds out whether the searchers can be reached, if there is a doubt.
  void TrySearchers();
  void OnTrialResult(TrialResult result, const std::string& data_centre);
  void OnForwarded(const std::string& request_id,
                   const std::string& gatherer,
                   uint64_t configuration,
                   unsigned status,
                   Duration took);
  void OnPeerPage(const FeedPage& page);
  // Reads from another source, since a page of the peer `id` was not read.
  void OnPeerPageFailed(const std::string& id, const Failure& reason);
  InstanceRecord SelfRecord() const;
  Duration MaxFeedAge() const;
  Duration RegistryReadInterval() const;

  void StartStoreWatches();
  void StopStoreWatches();
  void OnStoredConfigurations(
      const std::vector<StoreItem<StoredConfiguration>>& items,
      StoreRevision revision);
  void OnStoredSearchers(std::vector<StoreItem<SearcherEntry>> items,
                         StoreRevision revision,
                         bool is_snapshot);
  // Makes `configuration` the active one if it is newer.
  void UseConfiguration(const std::string& name,
                        const StoredConfiguration& configuration,
                        StoreRevision revision);
  // `current_at` is the time at which the state after the changes was current.
  void UseSearchers(TimePoint current_at,
                    const std::vector<SearcherChange>& changes,
                    bool is_snapshot);
  void OnStoredCrashReports(const std::vector<StoreItem<CrashReport>>& items,
                            StoreRevision revision,
                            bool is_snapshot);
  void StartEvacuationWatch();
  void OnStoredEvacuations(const std::vector<StoreItem<Evacuation>>& items,
                           StoreRevision revision,
                           bool is_snapshot);
  void UseEvacuation(const std::string& data_centre,
                     bool evacuated,
                     std::string_view source);
  // Ends the evacuations of all data centres that are not in `listed`.
  void EndEvacuationsExcept(const std::set<std::string>& listed,
                            std::string_view source);
  // Starts or updates the exchange with other instances about quotas, if the
  // configuration and the settings have any.
  void UpdateQuotas();
  std::optional<RequestQuota> QuotaOf(const std::string& organisation) const;
  QuotaVerdict AdmitWithinQuota(const Organisation& organisation);
  void StartCrashReportWatch();
  void OnSearcherCrashed(const CrashReport& report, CrashedRequest request);
  void UseCrashReport(const CrashReport& report, std::string_view source);
  void LogSuspect(const CrashReport& report, std::string_view source);
  void ShareCrashReports();
  void ShareCrashReport(const CrashReport& report);
  void WithdrawCrashReports(const std::vector<std::string>& keys);
  void ExpireCrashReports();
  // Takes the slot, or the next one below `count` that is not taken.
  void TakeCrashSlot(const CrashSlot& slot,
                     size_t count,
                     RequestRouter::SlotCallback done);
  void OnCrashSlotEnded(const CrashSlot& slot, SlotUse use);
  void GiveBackCrashSlots();
  void OnSearcherAdded(const RoutedSearcher& searcher);
  void OnSearcherLeaving(const RoutedSearcher& searcher,
                         std::string_view cause);
  size_t MaxConnectionsPerSearcher(const std::string& service) const;
  // Number of instances that send requests to the searchers of `service`.
  size_t SharersOf(const std::string& service) const;
  bool SharesAsGatherer(const std::string& service) const;
  // The part of this instance in a limit that a searcher of `service` names.
  LimitShare LimitShareOf(const std::string& service) const;
  void AssumeMaxInstances();
  void SetInstanceCount(size_t count);
  Duration RegistryAge() const { return Now() - state_known_at_; }
  void ScheduleHousekeeping();
  void RunHousekeeping();
  void LogRateLimits();
  void AdvanceStop();
  void EndRequests();
  // Finishes the stop once all answers are written, or at `end`.
  void AwaitLastAnswers(TimePoint now, TimePoint end);
  void FinishStop();

  // Returns the options of a watch whose polls show changes within
  // recovery_time, also if an answer to the watch is lost.
  ListWatchOptions WatchOptions() const;
  // Returns how long the store holds a watch of the searchers.
  std::chrono::milliseconds SearcherWatchTimeout() const;
  template <typename Item>
  typename ListWatcher<Item>::Hooks ListWatchHooks(
      const std::string& feed,
      ListWatchSource<Item> source);

  boost::asio::io_context& context_;
  InstanceSettings settings_;
  const RoutedPlatform platform_;
  RoutedMetrics metrics_;
  RequestPlanContext plan_context_;
  CrashSuspects suspects_;
  HeldCrashSlots crash_slots_;
  SearcherReach reach_;
  // Reports that the store has not accepted yet.
  std::vector<CrashReport> unshared_reports_;
  const std::shared_ptr<ReceiveBudget> receive_budget_;
  std::shared_ptr<SearcherClients> clients_;
  std::shared_ptr<QuotaService> quotas_;
  std::shared_ptr<RequestRouter> router_;
  std::shared_ptr<HttpServer> caller_server_;
  std::shared_ptr<HttpServer> readiness_server_;
  std::shared_ptr<HttpServer> metrics_server_;
  std::shared_ptr<HttpServer> peer_server_;
  // Running only while this instance reads the store itself.
  std::shared_ptr<ListWatcher<StoredConfiguration>> configuration_watcher_;
  std::shared_ptr<ListWatcher<SearcherEntry>> searcher_watcher_;
  const std::shared_ptr<RevisionHistory> revision_history_ =
      std::make_shared<RevisionHistory>();
  std::shared_ptr<ListWatcher<CrashReport>> crash_report_watcher_;
  std::shared_ptr<ListWatcher<Evacuation>> evacuation_watcher_;
  const TimePoint started_at_ = Now();
  // This instance has read which data centres are evacuated.
  bool evacuations_read_ = false;
  Duration watch_delay_{};  // Of the running `searcher_watcher_`.
  StoreRevision searchers_revision_;
  FeedCache feed_cache_;
  InstanceCounter instance_counter_;
  FeedSource feed_source_;
  std::shared_ptr<FeedServer> feed_server_;
  std::shared_ptr<FeedClient> feed_client_;
  GathererChooser gatherers_;
  // Of the gatherers of all data centres, and of the instances that count,
  // sorted.
  std::vector<std::string> gatherer_ids_;
  std::vector<std::string> instance_ids_;
  std::shared_ptr<GatherForwarder> forwarder_;
  // Peers that serve requests while this instance is cut off from the
  // searchers.
  GathererChooser peers_;
  std::shared_ptr<GatherForwarder> peer_forwarder_;
  uint64_t forwarded_answers_ = 0;
  // Time at which the known state of the searchers was current. Before the
  // first state, the time until which peers may take to provide it.
  TimePoint state_known_at_;
  std::map<std::string, InstanceRecord> instances_;  // As peers reported them.
  std::vector<InstanceRecord> known_instances_;  // Those that have not stopped.
  bool instances_read_ = false;  // The first read of the registry has ended.
  RouteTablePtr route_table_;
  // Services from which a route of the table gathers parts.
  std::unordered_set<std::string> shards_;
  // Of `route_table_`: its version, and name and text of its object.
  ConfigurationVersion configuration_version_;
  std::string configuration_name_;
  std::string configuration_text_;
  bool searchers_known_ = false;
  bool stopping_ = false;
  bool rejecting_ = false;
  std::optional<StopSequence> stop_sequence_;
  std::function<void()> on_stopped_;
  boost::asio::steady_timer stop_timer_;
  boost::asio::steady_timer housekeeping_timer_;
  boost::asio::steady_timer instances_timer_;
  boost::asio::steady_timer feed_timer_;
  size_t instance_count_ = 1;
  // Until then, the instance count does not fall.
  bool registration_failed_ = false;
  TimePoint registered_at_;  // Time of the latest attempt.
};

template <typename Item>
typename ListWatcher<Item>::Hooks RoutedInstanceImpl::ListWatchHooks(
    const std::string& feed,
    ListWatchSource<Item> source) {
  typename ListWatcher<Item>::Hooks hooks;
  hooks.list = std::move(source.list);
  hooks.watch = std::move(source.watch);
  hooks.poll = std::move(source.poll);
  hooks.history = revision_history_;
  hooks.on_failing = [this, feed](const Failure& reason) {
    LogLine(DecisionEvent::kStoreFailing)
        .Add("feed", feed)
        .Add("cause", FailureKindName(reason.kind))
        .Add("detail", reason.detail)
        .Write();
    metrics_.store_changes[{feed, "lost"}].Add();
  };
  hooks.on_missed = [this, feed](StoreRevision revision) {
    LogLine(DecisionEvent::kChangeMissed)
        .Add("feed", feed)
        .Add("revision", revision.number)
        .Write();
    metrics_.store_changes[{feed, "missed"}].Add();
  };
  hooks.on_recovered = [this, feed] {
    LogLine(DecisionEvent::kStoreRecovered).Add("feed", feed).Write();
    metrics_.store_changes[{feed, "regained"}].Add();
  };
  hooks.on_restored = [this, feed](StoreRevision revision,
                                   StoreRevision known) {
    LogLine(DecisionEvent::kStoreRestored)
        .Add("feed", feed)
        .Add("era", revision.era)
        .Add("revision", revision.number)
        .Add("known_revision", known.number)
        .Write();
    metrics_.store_changes[{feed, "restored"}].Add();
    ReadInstancesAfter(kRestoredInstancesReadDelay);
  };
  return hooks;
}

}  // namespace greengage

#endif  // GREENGAGE_SRC_ROUTED_INSTANCE_IMPL_H_
