// The implementation of RoutedInstance.
#ifndef GREENGAGE_SRC_ROUTED_INSTANCE_IMPL_H_
#define GREENGAGE_SRC_ROUTED_INSTANCE_IMPL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "greengage/coordination/stop_sequence.h"
#include "greengage/routed_instance.h"
#include "greengage/state/routed_metrics.h"
#include "greengage/transport/http_server.h"
#include "greengage/transport/request_router.h"
#include "transport/clock.h"

namespace greengage {

// The member functions are in three files: routed_instance.cc creates the
// components and listens, routed_instance_store.cc processes the data of the
// store, routed_instance_stop.cc handles reload and shutdown. All of them run
// on one thread.
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
  HttpResponse MakeReadinessResponse() const;
  void StartStoreWatches();
  void OnConfigurationObjects(
      const std::vector<StoreItem<RouteTablePtr>>& items);
  void OnSearcherObjects(std::vector<StoreItem<SearcherEntry>> items,
                         bool is_snapshot);
  void OnSearcherAdded(const RoutedSearcher& searcher);
  void OnSearcherLeaving(const RoutedSearcher& searcher,
                         std::string_view cause);
  size_t MaxConnectionsPerSearcher(const std::string& service) const;
  void AssumeMaxInstances();
  void RegisterInstance();
  void CountInstances();
  void ScheduleInstanceCount(Duration delay);
  void SetInstanceCount(size_t count);
  Duration RegistryAge() const { return Now() - registry_read_at_; }
  void ScheduleHousekeeping();
  void RunHousekeeping();
  void AdvanceStop();
  void FinishStop();

  template <typename Item>
  typename ListWatcher<Item>::Hooks ListWatchHooks(
      const std::string& feed,
      ListWatchSource<Item> source);

  boost::asio::io_context& context_;
  InstanceSettings settings_;
  const RoutedPlatform platform_;
  RoutedMetrics metrics_;
  RequestPlanContext plan_context_;
  std::shared_ptr<SearcherClients> clients_;
  std::shared_ptr<RequestRouter> router_;
  std::shared_ptr<HttpServer> caller_server_;
  std::shared_ptr<HttpServer> readiness_server_;
  std::shared_ptr<HttpServer> metrics_server_;
  std::shared_ptr<ListWatcher<RouteTablePtr>> configuration_watcher_;
  std::shared_ptr<ListWatcher<SearcherEntry>> searcher_watcher_;
  RouteTablePtr route_table_;
  uint64_t route_table_revision_ = 0;
  bool searchers_known_ = false;
  TimePoint registry_read_at_;
  bool stopping_ = false;
  bool rejecting_ = false;
  std::optional<StopSequence> stop_sequence_;
  std::function<void()> on_stopped_;
  boost::asio::steady_timer stop_timer_;
  boost::asio::steady_timer housekeeping_timer_;
  boost::asio::steady_timer instance_count_timer_;
  size_t instance_count_ = 1;
  bool registration_failed_ = false;
};

}  // namespace greengage

#endif  // GREENGAGE_SRC_ROUTED_INSTANCE_IMPL_H_
