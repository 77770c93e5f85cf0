// Which instances there are: failure detection and the spreading of changes.
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
  kJoined,     // Not known before, or back after having been gone.
  kSuspected,  // Does not answer; this instance alone knows.
  kRefuted,    // Answers again, or has raised its incarnation: a refutation
               // or a restart, the latter perhaps at other end points.
  kLeaving,
  kGone,
};

struct MembershipChange {
  MembershipChangeKind kind = MembershipChangeKind::kJoined;
  Instance instance;
};

// `source` has a higher configuration version in force than this instance.
struct VersionAnnouncement {
  uint64_t version = 0;
  Instance source;
};

// What the caller has to do, in order.
struct MembershipActions {
  std::vector<OutgoingDatagram> datagrams;
  std::vector<MembershipChange> changes;
  std::vector<VersionAnnouncement> versions;
};

// The decisions of one instance. Each instance pings its successors on a hash
// ring, so that every instance is pinged by the same few others whatever the
// number of members. One that does not answer is pinged again and again,
// also by way of others, until it answers or its time has passed; only then,
// and only by those who pinged it in vain, it is declared gone. Changes
// spread by gossip, and an exchange of digests repairs what gossip has missed.
// An instance that hears that it is gone raises its incarnation.
//
// Claims that a member is gone are believed when they come as news from a
// member. Those out of an older table, or from a sender that is itself held
// gone, are verified by pings first: two halves that were cut off from each
// other would otherwise declare each other gone once more when they meet.
//
// Not thread-safe, does no I/O and reads no clock. Call Tick() about every
// 100 ms.
class Membership {
 public:
  // `self.incarnation` must be above those of earlier processes with this id.
  Membership(Instance self,
             MembershipOptions options,
             uint64_t random_seed,
             TimePoint now);

  MembershipActions Tick(TimePoint now);

  // `source` is the end point that the datagram came from.
  MembershipActions OnDatagram(const Datagram& datagram,
                               const Endpoint& source,
                               TimePoint now);

  // Gossip end points of instances that may be there.
  void SetSeeds(std::vector<Endpoint> seeds);

  // The version in force here. A higher one than before is news.
  void SetConfigurationVersion(uint64_t version);

  // This instance is leaving: it goes on answering.
  MembershipActions Leave(TimePoint now);

  // This instance stops now: tells a few members that it is gone.
  MembershipActions Stop(TimePoint now);

  // The members as of now. Build it only after changes.
  MemberTablePtr Table() const { return members_.Table(); }

  const Instance& self() const { return self_; }
  uint64_t configuration_version() const { return configuration_version_; }

 private:
  // A member that owes an acknowledgement.
  struct Probe {
    TimePoint started;
    TimePoint next_ping;
    TimePoint next_indirect;
    uint64_t first_sequence = 0;
    bool suspected = false;
    // Another instance claims that it is gone, with this incarnation.
    std::optional<uint64_t> claimed_incarnation;
  };

  // A ping sent on behalf of another instance.
  struct Relay {
    Endpoint requester;
    uint64_t sequence = 0;
    TimePoint expires;
  };

  // Where a record comes from.
  struct Origin {
    bool trusted = false;  // That it is gone needs no verification.
    bool news = false;     // It is passed on.
  };

  // Probing.
  void NoticePause(TimePoint now);
  void StartProbes(TimePoint now);
  void StartProbe(const Instance& target,
                  std::optional<uint64_t> claim,
                  TimePoint now);
  void AdvanceProbes(TimePoint now);
  void AdvanceProbe(const std::string& id, Probe& probe, TimePoint now);
  bool HasExpired(const Probe& probe, TimePoint now) const;
  void SendPing(const Instance& target, std::optional<uint64_t> claim);
  void SendIndirectPings(const Instance& target);
  void Suspect(const Instance& target, TimePoint now);
  void DeclareGone(const std::string& id, TimePoint now);
  void Confirm(std::string_view id, TimePoint now);
  void ExpireRelays(TimePoint now);
  void Reconnect(TimePoint now);
  void AnswerPing(const Datagram& ping, const Endpoint& source);
  void RelayPing(const Datagram& request,
                 const Endpoint& source,
                 TimePoint now);
  void HandleAck(const Datagram& ack, TimePoint now);

  // Records.
  bool MergeAll(const Datagram& datagram, bool sender_gone, TimePoint now);
  bool Merge(const Instance& heard, Origin origin, TimePoint now);
  bool MergeSelf(const Instance& heard, TimePoint now);
  void Verify(const Instance& known, uint64_t claim, TimePoint now);
  void Apply(const Instance& heard, const Instance* known, TimePoint now);
  void PutSelf(TimePoint now);
  void HearVersion(const Datagram& datagram);
  void AnswerGoneSender(const Datagram& datagram, const Endpoint& source);

  // Spreading.
  void Gossip(TimePoint now);
  size_t AppendNews(Datagram& datagram) const;
  uint32_t NewsRounds() const;
  void Sync(TimePoint now);
  void SyncWith(const Endpoint& receiver);
  void SyncWithSeeds();
  void AnswerDigest(const Datagram& digest, const Endpoint& source);
  void HandleMembers(const Datagram& datagram,
                     const Endpoint& source,
                     bool changed,
                     TimePoint now);
  void SendBuckets(const std::vector<size_t>& buckets,
                   const Endpoint& receiver,
                   bool with_digest);

  Datagram NewDatagram(DatagramKind kind) const;
  void Send(const Endpoint& receiver, Datagram datagram);
  void Change(MembershipChangeKind kind, const Instance& instance);
  MembershipActions TakeActions();
  Duration RandomPart(Duration period);

  Instance self_;
  const MembershipOptions options_;
  std::mt19937_64 random_;
  MemberMap members_;
  DisseminationQueue news_;
  std::vector<Endpoint> seeds_;
  uint64_t configuration_version_ = 0;
  uint64_t last_sequence_ = 0;

  std::map<std::string, Probe, std::less<>> probes_;
  std::map<uint64_t, Relay> relays_;

  bool departed_ = false;
  TimePoint last_active_;
  TimePoint last_heard_;
  TimePoint next_probe_;
  TimePoint next_gossip_;
  TimePoint next_sync_;
  TimePoint next_reconnect_;
  MembershipActions actions_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_MEMBERSHIP_H_
