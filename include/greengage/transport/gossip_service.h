// Runs the membership protocol over UDP.
#ifndef GREENGAGE_TRANSPORT_GOSSIP_SERVICE_H_
#define GREENGAGE_TRANSPORT_GOSSIP_SERVICE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "greengage/coordination/member_table.h"
#include "greengage/coordination/membership.h"
#include "greengage/state/endpoint.h"
#include "greengage/state/event_log.h"
#include "greengage/state/hybrid_clock.h"
#include "greengage/state/instance.h"
#include "greengage/state/metrics.h"
#include "greengage/state/result.h"
#include "greengage/transport/datagram_faults.h"
#include "greengage/transport/datagram_socket.h"

namespace greengage {

struct GossipOptions {
  Instance self;  // Start() sets its incarnation from the wall clock.
  std::vector<Endpoint> seeds;
  uint64_t random_seed = 0;
  MembershipOptions membership;
};

// Traffic counters of the socket, for metrics. Byte counts exclude the UDP and
// IP headers.
struct GossipCounters {
  Counter datagrams_sent;
  Counter bytes_sent;
  Counter datagrams_received;
  Counter bytes_received;
  Counter datagrams_malformed;
};

// Thread-safe. Must be stopped before the objects that the hooks refer to are
// destroyed.
class GossipService : public std::enable_shared_from_this<GossipService> {
 public:
  // Hooks run one at a time, in the order of the events. Each may be empty.
  struct Hooks {
    std::function<void(const MembershipChange&)> on_change;
    // Runs once after one or more changes.
    std::function<void(const MemberTablePtr&)> on_table;
    // May run many times with the same version.
    std::function<void(const VersionAnnouncement&)> on_version;
  };

  // Fails with kAddressInUse or kInvalidArgument. `clock` and `events` must
  // outlive the service.
  static Result<std::shared_ptr<GossipService>> Start(
      boost::asio::io_context& context,
      GossipOptions options,
      HybridClock* clock,
      EventLog* events,
      Hooks hooks);

  // Returns the current members, which always include this instance.
  MemberTablePtr table() const;

  // Returns the listening endpoint, with the port that was bound.
  Endpoint endpoint() const { return socket_->endpoint(); }

  // Replaces the seeds passed to Start().
  void SetSeeds(std::vector<Endpoint> seeds);

  // Announces the active version of this instance. A version that is not above
  // the previous one has no effect.
  void SetConfigurationVersion(uint64_t version);

  // Announces that this instance is leaving. It continues to answer probes.
  void Leave();

  // Notifies a few members that this instance has left, closes the socket and
  // runs `on_stopped`.
  void Stop(std::function<void()> on_stopped);

  const GossipCounters& counters() const { return counters_; }

  DatagramFaults& faults() { return faults_; }

 private:
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

  GossipService(boost::asio::io_context& context,
                HybridClock* clock,
                EventLog* events,
                Hooks hooks);

  Result<Done> Bind(boost::asio::io_context& context, GossipOptions options);
  void ScheduleTick();
  void OnDatagram(const Endpoint& source, const std::string& bytes);
  void ExecuteActions(MembershipActions actions);
  void Send(OutgoingDatagram outgoing);
  void RecordChange(const MembershipChange& change);
  void OnVersionAnnounced(const VersionAnnouncement& announced);
  void PublishTable();

  HybridClock* const clock_;
  EventLog* const events_;
  const Hooks hooks_;
  const Strand strand_;  // Guards the members below, except the table.
  boost::asio::steady_timer timer_;
  std::shared_ptr<DatagramSocket> socket_;
  std::unique_ptr<Membership> membership_;
  uint64_t highest_announced_version_ = 0;
  bool stopped_ = false;
  GossipCounters counters_;
  DatagramFaults faults_;
  mutable std::mutex table_mutex_;
  MemberTablePtr table_;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_GOSSIP_SERVICE_H_
