// An entry instance that routes opaque requests. greengaged runs it on
// platforms where searchers register themselves in a store that also holds the
// routes.
#ifndef GREENGAGE_ROUTED_INSTANCE_H_
#define GREENGAGE_ROUTED_INSTANCE_H_

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "greengage/protocol/call_dialect.h"
#include "greengage/protocol/instance_settings.h"
#include "greengage/state/crash_report.h"
#include "greengage/state/crash_slot.h"
#include "greengage/state/evacuation.h"
#include "greengage/state/instance_record.h"
#include "greengage/state/result.h"
#include "greengage/state/route_table.h"
#include "greengage/state/searcher_entry.h"
#include "greengage/transport/list_watcher.h"

namespace greengage {

// Reads the objects of one kind from a store.
template <typename Item>
struct ListWatchSource {
  std::function<void(const std::string& after,
                     typename ListWatcher<Item>::PageCallback)>
      list;
  std::function<CancelWatch(uint64_t revision,
                            std::chrono::milliseconds wait,
                            typename ListWatcher<Item>::PageCallback)>
      watch;
  // Lists the first page; the result may be a few seconds stale. Optional.
  std::function<void(typename ListWatcher<Item>::PageCallback)> poll;
};

enum class Registration : uint8_t {
  kNew,
  kRenewed,  // An earlier process of the instance had left its entry.
};

// The platform's registry of instances. Each instance adds itself when it
// starts and removes itself when it stops.
struct InstanceRegistry {
  std::function<void(const InstanceRecord&,
                     std::function<void(Result<Registration>)>)>
      add;
  // Replaces the entry of an instance that stops by `record`.
  std::function<void(const InstanceRecord& record,
                     std::function<void(Result<Done>)>)>
      mark_stopped;
  // Succeeds if there is no such entry.
  std::function<void(const std::string& id, std::function<void(Result<Done>)>)>
      remove;
  // Lists the registered instances; the result may be some seconds old.
  std::function<void(std::function<void(Result<std::vector<InstanceRecord>>)>)>
      list;
};

// Reports that all instances share, each under its key.
struct CrashReportStore {
  ListWatchSource<CrashReport> source;
  // Succeeds if there is a report of the same key, which is left unchanged.
  std::function<void(const CrashReport&, std::function<void(Result<Done>)>)>
      add;
  // Succeeds if there is no such report.
  std::function<void(const std::string& key, std::function<void(Result<Done>)>)>
      remove;
  // Takes a slot. The result is false if it is taken already. After a failure
  // it may be taken or not.
  std::function<void(const CrashSlot&, std::function<void(Result<bool>)>)>
      take_slot;
  // Gives a slot back. Succeeds if it is not taken.
  std::function<void(const CrashSlot&, std::function<void(Result<Done>)>)>
      give_back_slot;
};

// A configuration and the text from which it was decoded, which another
// instance can decode as well.
struct StoredConfiguration {
  std::string text;
  RouteTablePtr table;
};

// The platform-specific parts of a routed instance.
struct RoutedPlatform {
  CallDialect dialect;
  ListWatchSource<StoredConfiguration> configuration;
  // Decodes the text of a StoredConfiguration. Fails with kMalformedMessage.
  std::function<Result<StoredConfiguration>(const std::string& text)>
      decode_configuration;
  ListWatchSource<SearcherEntry> searchers;
  InstanceRegistry instances;
  CrashReportStore crash_reports;
  ListWatchSource<Evacuation> evacuations;
};

// Usage: call Start(), run the io_context on one thread, call Stop(), and end
// the thread after `stopped` has run.
class RoutedInstance {
 public:
  virtual ~RoutedInstance() = default;

  // Binds all ports before it returns. Fails with kAddressInUse or
  // kInvalidArgument.
  static Result<std::shared_ptr<RoutedInstance>> Start(
      boost::asio::io_context& context,
      const InstanceSettings& settings,
      RoutedPlatform platform);

  // The endpoint for callers, with the port that was bound.
  virtual Endpoint http_endpoint() const = 0;

  // Applies the settings that can change at run time: the log level, the limits
  // of extra arrivals and the shutdown times. The log line states if a change
  // of another setting needs a restart.
  virtual void Reload(const InstanceSettings& settings) = 0;

  // Starts a graceful shutdown. The instance reports that it is not ready,
  // serves requests until none arrives any more or the notice time has passed,
  // then completes the requests in flight within the grace time. `stopped` runs
  // once.
  virtual void Stop(std::function<void()> stopped) = 0;
};

}  // namespace greengage

#endif  // GREENGAGE_ROUTED_INSTANCE_H_
