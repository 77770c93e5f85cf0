// Sends sub-requests to the instances that own their searchers.
#ifndef GREENGAGE_TRANSPORT_SUB_REQUEST_ROUTER_H_
#define GREENGAGE_TRANSPORT_SUB_REQUEST_ROUTER_H_

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "greengage/coordination/owner_set.h"
#include "greengage/coordination/peer_health.h"
#include "greengage/state/hybrid_clock.h"
#include "greengage/state/instance.h"
#include "greengage/state/query.h"
#include "greengage/transport/owner_service.h"
#include "greengage/transport/peer_link.h"

namespace greengage {

// Paths of the HTTP/2 streams between instances, one for each operation.
inline constexpr char kSubRequestsPath[] = "/sub-requests";
inline constexpr char kCancelPath[] = "/cancel";
inline constexpr char kConfigurationPath[] = "/configuration";
inline constexpr char kLeavingSearchersPath[] = "/leaving-searchers";

// Identifies the owner that a sub-request was sent to, for cancelling it.
struct SubRequestRoute {
  SubRequest request;
  std::string instance;  // Empty for the owner service of this instance.
  SubmissionId submission = 0;
};

// Thread-safe. Sub-requests of one query for the same owner are sent in one
// message. If an owner is unreachable, the next owner in the owner set is used.
// If no owner is usable, this instance handles the sub-request itself.
class SubRequestRouter : public std::enable_shared_from_this<SubRequestRouter> {
 public:
  using Callback = std::function<void(SubAnswer)>;

  // Returns the current owners, or null if no instance is known yet.
  using OwnersHook = std::function<OwnerSetPtr()>;

  struct Hooks {
    // Runs before a sub-request is sent to another instance; may be empty.
    std::function<void(const SubRequest&, const Instance& owner)> on_forwarded;
  };

  SubRequestRouter(boost::asio::io_context& context,
                   std::string self,
                   OwnersHook owners,
                   OwnerService* owner_service,
                   HybridClock* clock,
                   PeerLimits limits,
                   Hooks hooks);

  // Sends the sub-requests of one query. `on_answer` runs once for each of
  // them.
  std::vector<SubRequestRoute> Send(std::vector<SubRequest> requests,
                                    const Callback& on_answer);

  void Cancel(const SubRequestRoute& route);

  // Returns the client for a peer; creates it on first use and when the address
  // of the peer has changed.
  std::shared_ptr<PeerClient> ClientFor(const Instance& instance);

  // Closes the connection to an instance that has left the cluster.
  void RemovePeer(const std::string& instance);

  void Close();

 private:
  struct Batch;

  struct PeerConnection {
    Endpoint endpoint;
    std::shared_ptr<PeerClient> client;
  };

  const Instance* ChooseOwner(TimePoint now,
                              const std::vector<const Instance*>& owners) const;
  SubRequestRoute SendLocally(SubRequest request, const Callback& on_answer);
  void SendBatch(const Instance& owner,
                 std::vector<SubRequest> requests,
                 const Callback& on_answer);
  void OnMessage(const std::shared_ptr<Batch>& batch,
                 const std::string& message);
  void OnEnd(const std::shared_ptr<Batch>& batch, const PeerStreamResult& end);

  boost::asio::io_context& context_;
  const std::string self_;
  const OwnersHook owners_;
  OwnerService* const owner_service_;
  HybridClock* const clock_;
  const PeerLimits limits_;
  const Hooks hooks_;
  PeerHealth health_;
  std::mutex mutex_;
  std::unordered_map<std::string, PeerConnection> peers_;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_SUB_REQUEST_ROUTER_H_
