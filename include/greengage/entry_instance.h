// An entry instance: the query service that greengaged runs.
#ifndef GREENGAGE_ENTRY_INSTANCE_H_
#define GREENGAGE_ENTRY_INSTANCE_H_

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

#include "greengage/protocol/instance_settings.h"
#include "greengage/state/result.h"

namespace greengage {

// Usage: call Start(), run the io_context on one or more threads, call Stop(),
// and end the threads after `stopped` has run.
class EntryInstance {
 public:
  virtual ~EntryInstance() = default;

  // Binds all ports before it returns, so that a port in use leaves nothing
  // half started. Fails with kAddressInUse or kInvalidArgument.
  static Result<std::shared_ptr<EntryInstance>> Start(
      boost::asio::io_context& context,
      const InstanceSettings& settings);

  // The endpoint for callers and operators, with the port that was bound.
  virtual Endpoint http_endpoint() const = 0;

  // Starts a graceful shutdown. The instance reports that it is not ready,
  // serves requests for the notice time of the settings, then completes the
  // requests in flight within the grace time. `stopped` runs once. Further
  // calls have no effect.
  virtual void Stop(std::function<void()> stopped) = 0;
};

}  // namespace greengage

#endif  // GREENGAGE_ENTRY_INSTANCE_H_
