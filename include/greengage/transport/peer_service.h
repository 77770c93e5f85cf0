// Serves requests from other instances.
#ifndef GREENGAGE_TRANSPORT_PEER_SERVICE_H_
#define GREENGAGE_TRANSPORT_PEER_SERVICE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "greengage/state/hybrid_clock.h"
#include "greengage/transport/owner_service.h"
#include "greengage/transport/peer_link.h"

namespace greengage {

// The handler of a PeerServer. Thread-safe.
class PeerService : public std::enable_shared_from_this<PeerService> {
 public:
  // Maps a serialized ConfigurationRequest to a serialized ConfigurationReply.
  // Returns nullopt if this instance has no newer configuration.
  using ConfigurationHook =
      std::function<std::optional<std::string>(const std::string& request)>;

  // Runs for each searcher reported as leaving.
  using LeavingHook = std::function<void(const Endpoint&)>;

  PeerService(OwnerService* owner_service,
              HybridClock* clock,
              ConfigurationHook on_configuration,
              LeavingHook on_leaving);

  void Handle(const std::string& path,
              const std::string& message,
              const std::shared_ptr<PeerStream>& stream);

 private:
  class Batch;

  void HandleSubRequests(const std::string& message,
                         const std::shared_ptr<PeerStream>& stream);
  void RemoveExpiredBatches(const std::string& request_id);
  void HandleCancel(const std::string& message,
                    const std::shared_ptr<PeerStream>& stream);
  void HandleConfiguration(const std::string& message,
                           const std::shared_ptr<PeerStream>& stream);
  void HandleLeavingSearchers(const std::string& message,
                              const std::shared_ptr<PeerStream>& stream);

  OwnerService* const owner_service_;
  HybridClock* const clock_;
  const ConfigurationHook on_configuration_;
  const LeavingHook on_leaving_;
  std::mutex mutex_;
  // Batches in flight by request id, for cancelling single sub-requests.
  std::unordered_multimap<std::string, std::weak_ptr<Batch>> batches_;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_PEER_SERVICE_H_
