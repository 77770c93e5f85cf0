// Notifies owners about the searchers that the platform lists as leaving.
#ifndef GREENGAGE_TRANSPORT_UPSTREAM_WATCH_H_
#define GREENGAGE_TRANSPORT_UPSTREAM_WATCH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "greengage/coordination/owner_set.h"
#include "greengage/state/hybrid_clock.h"
#include "greengage/transport/platform_client.h"
#include "greengage/transport/sub_request_router.h"

namespace greengage {

// Only the watchers of a data centre read the list, so that the number of reads
// does not grow with the number of instances. Thread-safe.
class UpstreamWatch : public std::enable_shared_from_this<UpstreamWatch> {
 public:
  struct Hooks {
    // Returns true if this instance is currently a watcher.
    std::function<bool()> is_watcher;
    // Returns the current owners; may be null.
    std::function<OwnerSetPtr()> owners;
    // Runs for each searcher owned by this instance that is listed as leaving,
    // each time that the list is read.
    std::function<void(const Endpoint&)> on_leaving;
  };

  UpstreamWatch(boost::asio::io_context& context,
                std::string self,
                std::shared_ptr<PlatformClient> platform,
                std::chrono::milliseconds timeout,
                std::shared_ptr<SubRequestRouter> router,
                HybridClock* clock,
                Hooks hooks);

  void Start();
  void Stop();

 private:
  void Schedule();
  void FetchInstances();
  void NotifyOwners(const std::vector<Instance>& listed);

  const std::string self_;
  const std::shared_ptr<PlatformClient> platform_;
  const std::chrono::milliseconds timeout_;
  const std::shared_ptr<SubRequestRouter> router_;
  HybridClock* const clock_;
  const Hooks hooks_;
  boost::asio::steady_timer timer_;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_UPSTREAM_WATCH_H_
