// One entry instance that routes opaque requests: what greengaged runs where
// searchers register themselves and routes come from a store.
#ifndef GREENGAGE_ROUTED_INSTANCE_H_
#define GREENGAGE_ROUTED_INSTANCE_H_

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "greengage/protocol/call_dialect.h"
#include "greengage/protocol/instance_settings.h"
#include "greengage/state/result.h"
#include "greengage/state/route_table.h"
#include "greengage/state/searcher_entry.h"
#include "greengage/transport/list_watcher.h"

namespace greengage {

// How one kind of object is read from a store.
template <typename Item>
struct FeedSource {
  std::function<void(const std::string& after,
                     typename ListWatcher<Item>::PageCallback)>
      list;
  std::function<void(uint64_t revision,
                     std::chrono::milliseconds wait,
                     typename ListWatcher<Item>::PageCallback)>
      watch;
  // The first page of the listing, some seconds old at worst; may be empty.
  std::function<void(typename ListWatcher<Item>::PageCallback)> peek;
};

// The list of all instances, which each enters when it starts.
struct InstanceRoll {
  std::function<void(const std::string& id, std::function<void(Result<Done>)>)>
      enter;
  std::function<void(const std::string& id, std::function<void(Result<Done>)>)>
      leave;
  // How many there are; may be some seconds old.
  std::function<void(std::function<void(Result<size_t>)>)> count;
};

// What differs from platform to platform.
struct RoutedPlatform {
  CallDialect dialect;
  FeedSource<RouteTablePtr> configuration;
  FeedSource<SearcherEntry> searchers;
  InstanceRoll instances;
};

// Usage: Start(), run the io_context on one thread, Stop(), and leave the
// thread when `stopped` has run.
class RoutedInstance {
 public:
  virtual ~RoutedInstance() = default;

  // Binds all ports. Fails with kAddressInUse or kInvalidArgument.
  static Result<std::shared_ptr<RoutedInstance>> Start(
      boost::asio::io_context& context,
      const InstanceSettings& settings,
      RoutedPlatform platform);

  // Where callers reach it, with the real port.
  virtual Endpoint http_endpoint() const = 0;

  // Puts in force what can change while it runs: the log level, the share of
  // extra arrivals and the times of a stop. Says in the log if more changed.
  virtual void Reload(const InstanceSettings& settings) = 0;

  // Stops gracefully: readiness turns false, callers are served until they
  // have stopped coming or the notice time is over, and every request under
  // way gets its answer within the grace time. `stopped` runs once.
  virtual void Stop(std::function<void()> stopped) = 0;
};

}  // namespace greengage

#endif  // GREENGAGE_ROUTED_INSTANCE_H_
