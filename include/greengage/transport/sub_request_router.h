// Takes sub-requests to the instances that own their searchers.
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

// The operations between instances, as paths of nghttp2 streams.
inline constexpr char kSubRequestsPath[] = "/sub-requests";
inline constexpr char kCancelPath[] = "/cancel";
inline constexpr char kConfigurationPath[] = "/configuration";
inline constexpr char kLeavingSearchersPath[] = "/leaving-searchers";

// Where one sub-request went, for cancelling it.
struct SubRequestRoute {
  SubRequest request;
  std::string instance;  // Empty: this instance's own owner service.
  SubmissionId submission = 0;
};

// Thread-safe. Sub-requests of one query that go to the same owner travel in
// one message. Where the owner is out of reach, the next one in the order of
// its set is used, and at last this instance itself.
class SubRequestRouter : public std::enable_shared_from_this<SubRequestRouter> {
 public:
  using Callback = std::function<void(SubAnswer)>;

  // The owners as of now; may be null before any instance is known.
  using OwnersHook = std::function<OwnerSetPtr()>;

  struct Hooks {
    std::function<void(const SubRequest&, const Instance& owner)> on_forwarded;
  };

  SubRequestRouter(boost::asio::io_context& context,
                   std::string self,
                   OwnersHook owners,
                   OwnerService* owner_service,
                   HybridClock* clock,
                   PeerLimits limits,
                   Hooks hooks);

  // Sends the sub-requests of one query; `on_answer` runs once for each.
  std::vector<SubRequestRoute> Send(std::vector<SubRequest> requests,
                                    const Callback& on_answer);

  void Cancel(const SubRequestRoute& route);

  // The link to a peer, made when first asked for.
  std::shared_ptr<PeerClient> ClientFor(const Instance& instance);

  // Drops the link to an instance that has gone.
  void RemovePeer(const std::string& instance);

  void Close();

 private:
  struct Batch;

  struct Link {
    Endpoint peer;
    std::shared_ptr<PeerClient> client;
  };

  const Instance* ChooseOwner(TimePoint now,
                              const std::vector<const Instance*>& owners) const;
  SubRequestRoute SendHere(SubRequest request, const Callback& on_answer);
  void SendBatch(const Instance& owner,
                 std::vector<SubRequest> requests,
                 const Callback& on_answer);
  void OnMessage(const std::shared_ptr<Batch>& batch,
                 const std::string& message);
  void OnEnd(const std::shared_ptr<Batch>& batch, const PeerEnd& end);

  boost::asio::io_context& context_;
  const std::string self_;
  const OwnersHook owners_;
  OwnerService* const owner_service_;
  HybridClock* const clock_;
  const PeerLimits limits_;
  const Hooks hooks_;
  PeerHealth health_;
  std::mutex mutex_;
  std::unordered_map<std::string, Link> links_;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_SUB_REQUEST_ROUTER_H_
