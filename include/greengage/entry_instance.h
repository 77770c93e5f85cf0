// One entry instance: everything that greengaged runs.
#ifndef GREENGAGE_ENTRY_INSTANCE_H_
#define GREENGAGE_ENTRY_INSTANCE_H_

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

#include "greengage/protocol/instance_settings.h"
#include "greengage/state/result.h"

namespace greengage {

// Usage: Start(), run the io_context on several threads, Stop(), and leave the
// threads when `stopped` has run.
class EntryInstance {
 public:
  virtual ~EntryInstance() = default;

  // Binds all ports, so that nothing is half started if one is in use. Fails
  // with kAddressInUse or kInvalidArgument.
  static Result<std::shared_ptr<EntryInstance>> Start(
      boost::asio::io_context& context,
      const InstanceSettings& settings);

  // Where callers and operators reach it, with the real port.
  virtual Endpoint http_endpoint() const = 0;

  // Stops gracefully: readiness turns false, callers are served for the notice
  // time of the settings, then every request under way gets its answer, within
  // the grace time. `stopped` runs once. Further calls have no effect.
  virtual void Stop(std::function<void()> stopped) = 0;
};

}  // namespace greengage

#endif  // GREENGAGE_ENTRY_INSTANCE_H_
