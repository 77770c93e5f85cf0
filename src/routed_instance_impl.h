// The parts of one routed instance, and how they call each other.
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

// Its members are in three files: routed_instance.cc makes the parts and
// listens, routed_instance_store.cc follows the store, routed_instance_stop.cc
// reloads and stops it. All run on one thread.
class RoutedInstanceImpl
    : public RoutedInstance,
      public std::enable_shared_from_this<RoutedInstanceImpl> {
 public:
  RoutedInstanceImpl(boost::asio::io_context& context,
                     const InstanceSettings& settings,
                     RoutedPlatform platform);

  Result<Done> Listen();

  Endpoint http_endpoint() const override { return callers_->endpoint(); }

  void Reload(const InstanceSettings& settings) override;

  void Stop(std::function<void()> stopped) override;

 private:
  HttpServerLimits CallerLimitsNow() const;
  Result<Done> ListenToCallers();
  Result<Done> ListenToBalancer();
  Result<Done> ListenToMetrics();
  HttpResponse Readiness() const;
  void Follow();
  void OnConfigurations(const std::vector<StoreItem<RouteTablePtr>>& items);
  void OnSearchers(std::vector<StoreItem<SearcherEntry>> items, bool whole);
  void OnSearcherAdded(const RoutedSearcher& searcher);
  void OnSearcherLeaving(const RoutedSearcher& searcher, std::string_view why);
  size_t Connections(const std::string& service) const;
  void AssumeManyInstances();
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
  typename ListWatcher<Item>::Hooks FeedHooks(const std::string& feed,
                                              FeedSource<Item> source);

  boost::asio::io_context& context_;
  InstanceSettings settings_;
  const RoutedPlatform platform_;
  RoutedMetrics metrics_;
  RequestPlanContext plans_;
  std::shared_ptr<SearcherClients> clients_;
  std::shared_ptr<RequestRouter> router_;
  std::shared_ptr<HttpServer> callers_;
  std::shared_ptr<HttpServer> balancer_;
  std::shared_ptr<HttpServer> metrics_server_;
  std::shared_ptr<ListWatcher<RouteTablePtr>> configuration_feed_;
  std::shared_ptr<ListWatcher<SearcherEntry>> searcher_feed_;
  RouteTablePtr table_;
  uint64_t table_revision_ = 0;
  bool searchers_known_ = false;
  TimePoint registry_read_;
  bool stopping_ = false;
  bool refusing_ = false;
  std::optional<StopSequence> stop_sequence_;
  std::function<void()> stopped_;
  boost::asio::steady_timer stop_timer_;
  boost::asio::steady_timer housekeeping_timer_;
  boost::asio::steady_timer count_timer_;
  size_t instances_ = 1;
  bool roll_missed_ = false;
};

}  // namespace greengage

#endif  // GREENGAGE_SRC_ROUTED_INSTANCE_IMPL_H_
