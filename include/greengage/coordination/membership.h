// Group membership: failure detection and dissemination of changes.
#ifndef GREENGAGE_COORDINATION_MEMBERSHIP_H_
#define GREENGAGE_COORDINATION_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "greengage/coordination/datagram.h"
#include "greengage/coordination/dissemination_queue.h"
#include "greengage/coordination/member_map.h"
#include "greengage/coordination/member_table.h"
#include "greengage/coordination/membership_options.h"
#include "greengage/state/endpoint.h"
#include "greengage/state/instance.h"
#include "greengage/state/time.h"

namespace greengage {

enum class MembershipChangeKind : uint8_t {
  kJoined,     // New, or live again after it was gone.
  kSuspected,  // Does not acknowledge pings; local to this instance.
  kRefuted,    // Acknowledged a ping while suspected, or raised its incarnation
               // to refute a failure or after a restart, possibly at other end
               // points.
  kLeaving,
  kGone,
};

struct MembershipChange {
  MembershipChangeKind kind = MembershipChangeKind::kJoined;
  Instance instance;
};

// `source` announced a higher active configuration version than this instance
// has.
struct VersionAnnouncement {
  uint64_t version = 0;
  Instance source;
};

// The actions that the caller must carry out, in order.
struct MembershipActions {
  std::vector<OutgoingDatagram> datagrams;
  std::vector<MembershipChange> changes;
  std::vector<VersionAnnouncement> versions;
};

// Membership state machine of one instance, a variant of SWIM. Each instance
// pings its successors on a hash ring, so the number of instances that ping a
// member is constant, whatever the group size. A member that does not
// acknowledge is pinged repeatedly, also through other members, until it
// acknowledges or `gone_timeout` has passed. Only then do the instances that
// pinged it declare it gone. Changes spread by gossip, and anti-entropy with
// digests repairs missed gossip. An instance that learns that it was declared
// gone raises its incarnation.
//
// A record that declares a member gone is applied at once if the member itself
// or another known member that is not gone disseminates it. If it comes from a
// member table, or from a sender that is unknown or held gone, the member is
// pinged first: otherwise the two sides of a healed network partition would
// declare each other gone again.
//
// Not thread-safe, does no I/O and reads no clock. Call Tick() about every
// 100 ms.
class Membership {
 public:
  // `self.incarnation` must be higher than that of any earlier process with the
  // same id.
  Membership(Instance self,
             MembershipOptions options,
             uint64_t random_seed,
             TimePoint now);

  MembershipActions Tick(TimePoint now);

  // `source` is the end point that sent the datagram.
  MembershipActions OnDatagram(const Datagram& datagram,
                               const Endpoint& source,
                               TimePoint now);

  // Sets gossip end points of instances that may exist.
  void SetSeeds(std::vector<Endpoint> seeds);

  // Sets the configuration version active on this instance. A higher version
  // than before is disseminated.
  void SetConfigurationVersion(uint64_t version);

  // Announces that this instance is leaving. It keeps answering pings.
  MembershipActions Leave(TimePoint now);

  // Announces to a few members that this instance is gone. Later calls return
  // no actions.
  MembershipActions Stop(TimePoint now);

  // Returns a snapshot of the members. Copies all members, so call it only
  // after changes.
  MemberTablePtr Table() const { return members_.Table(); }

  const Instance& self() const { return self_; }
  uint64_t configuration_version() const { return configuration_version_; }

 private:
  // A member whose acknowledgement is outstanding.
  struct Probe {
    TimePoint started;
    TimePoint next_ping;
    TimePoint next_indirect;
    uint64_t first_sequence = 0;
    bool suspected = false;
    // Set if another instance declared the member gone with this incarnation.
    std::optional<uint64_t> gone_incarnation;
  };

  // A ping sent on behalf of another instance.
  struct Relay {
    Endpoint requester;
    uint64_t sequence = 0;
    TimePoint expires;
  };

  // How a received record is handled, depending on its source.
  struct Origin {
    bool trusted = false;      // A gone state needs no verification.
    bool disseminate = false;  // The record is gossiped further.
  };

  // Probing.
  void DetectPause(TimePoint now);
  void StartProbes(TimePoint now);
  void StartProbe(const Instance& target,
                  std::optional<uint64_t> gone_incarnation,
                  TimePoint now);
  void AdvanceProbes(TimePoint now);
  void AdvanceProbe(const std::string& id, Probe& probe, TimePoint now);
  bool HasExpired(const Probe& probe, TimePoint now) const;
  void SendPing(const Instance& target,
                std::optional<uint64_t> gone_incarnation);
  void SendIndirectPings(const Instance& target);
  void Suspect(const Instance& target, TimePoint now);
  void DeclareGone(const std::string& id, TimePoint now);
  void ConfirmAlive(std::string_view id, TimePoint now);
  void ExpireRelays(TimePoint now);
  void Reconnect(TimePoint now);
  void SendAck(const Datagram& ping, const Endpoint& source);
  void RelayPing(const Datagram& request,
                 const Endpoint& source,
                 TimePoint now);
  void HandleAck(const Datagram& ack, TimePoint now);

  // Merging of records.
  bool MergeAll(const Datagram& datagram, bool sender_gone, TimePoint now);
  bool Merge(const Instance& received, Origin origin, TimePoint now);
  bool MergeSelf(const Instance& received, TimePoint now);
  void Verify(const Instance& known, uint64_t gone_incarnation, TimePoint now);
  void Apply(const Instance& received, const Instance* known, TimePoint now);
  void PublishSelf(TimePoint now);
  void HandleVersion(const Datagram& datagram);
  void ReplyToGoneSender(const Datagram& datagram, const Endpoint& source);

  // Dissemination.
  void Gossip(TimePoint now);
  size_t AppendUpdates(Datagram& datagram) const;
  uint32_t DisseminationRounds() const;
  void Sync(TimePoint now);
  void SyncWith(const Endpoint& receiver);
  void SyncWithSeeds();
  void ReplyToDigest(const Datagram& digest, const Endpoint& source);
  void HandleMembers(const Datagram& datagram,
                     const Endpoint& source,
                     bool changed,
                     TimePoint now);
  void SendBuckets(const std::vector<size_t>& buckets,
                   const Endpoint& receiver,
                   bool with_digest);

  Datagram NewDatagram(DatagramKind kind) const;
  void Send(const Endpoint& receiver, Datagram datagram);
  void ReportChange(MembershipChangeKind kind, const Instance& instance);
  MembershipActions TakeActions();
  Duration RandomDelay(Duration period);

  Instance self_;
  const MembershipOptions options_;
  std::mt19937_64 random_;
  MemberMap members_;
  DisseminationQueue dissemination_queue_;
  std::vector<Endpoint> seeds_;
  uint64_t configuration_version_ = 0;
  uint64_t last_sequence_ = 0;

  std::map<std::string, Probe, std::less<>> probes_;
  std::map<uint64_t, Relay> relays_;

  bool stopped_ = false;
  TimePoint last_active_;
  TimePoint last_received_;
  TimePoint next_probe_;
  TimePoint next_gossip_;
  TimePoint next_sync_;
  TimePoint next_reconnect_;
  MembershipActions actions_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_MEMBERSHIP_H_
