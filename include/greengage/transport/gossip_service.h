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
  Instance self;  // Its incarnation is set from the wall clock.
  std::vector<Endpoint> seeds;
  uint64_t random_seed = 0;
  MembershipOptions membership;
};

// What passed the socket, for the metrics page. Bytes are without the headers
// of UDP and IP.
struct GossipCounters {
  Counter datagrams_sent;
  Counter bytes_sent;
  Counter datagrams_received;
  Counter bytes_received;
  Counter datagrams_malformed;
};

// Thread-safe. Stop it before the hooks' targets end.
class GossipService : public std::enable_shared_from_this<GossipService> {
 public:
  // All run one at a time, in the order of what they tell.
  struct Hooks {
    std::function<void(const MembershipChange&)> on_change;
    // After one or more changes.
    std::function<void(const MemberTablePtr&)> on_table;
    // May tell the same version many times.
    std::function<void(const VersionAnnouncement&)> on_version;
  };

  // Fails with kAddressInUse or kInvalidArgument. `clock` and `events` outlive
  // the service.
  static Result<std::shared_ptr<GossipService>> Start(
      boost::asio::io_context& context,
      GossipOptions options,
      HybridClock* clock,
      EventLog* events,
      Hooks hooks);

  // Holds at least this instance.
  MemberTablePtr table() const;

  // Where it listens, with the real port.
  Endpoint endpoint() const { return socket_->endpoint(); }

  // Replaces the seeds of the options.
  void SetSeeds(std::vector<Endpoint> seeds);

  // The version in force here; only a higher one than before has an effect.
  void SetConfigurationVersion(uint64_t version);

  // Tells all that this instance is leaving; it goes on answering.
  void Leave();

  // Tells a few members that this instance is gone, closes the socket and
  // runs `stopped`.
  void Stop(std::function<void()> stopped);

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
  void Perform(MembershipActions actions);
  void Send(OutgoingDatagram outgoing);
  void RecordChange(const MembershipChange& change);
  void HearVersion(const VersionAnnouncement& heard);
  void PublishTable();

  HybridClock* const clock_;
  EventLog* const events_;
  const Hooks hooks_;
  const Strand strand_;  // Guards what follows, but for the table.
  boost::asio::steady_timer timer_;
  std::shared_ptr<DatagramSocket> socket_;
  std::unique_ptr<Membership> membership_;
  uint64_t highest_heard_ = 0;
  bool stopped_ = false;
  GossipCounters counters_;
  DatagramFaults faults_;
  mutable std::mutex table_mutex_;
  MemberTablePtr table_;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_GOSSIP_SERVICE_H_
