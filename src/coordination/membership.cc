#include "greengage/coordination/membership.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace greengage {

namespace {

// Returns the change from `known`, which may be null, to `received`.
std::optional<MembershipChangeKind> ChangeKindOf(const Instance& received,
                                                 const Instance* known) {
  const bool was_gone =
      known == nullptr || known->state == InstanceState::kGone;
  switch (received.state) {
    case InstanceState::kGone:
      if (was_gone) {
        return std::nullopt;
      }
      return MembershipChangeKind::kGone;
    case InstanceState::kLeaving:
      return MembershipChangeKind::kLeaving;
    case InstanceState::kLive:
    case InstanceState::kSuspect:
      return was_gone ? MembershipChangeKind::kJoined
                      : MembershipChangeKind::kRefuted;
  }
  return std::nullopt;
}

bool HasEndpoints(const Instance& instance) {
  return !instance.gossip.host.empty();
}

}  // namespace

std::vector<const Instance*> ChooseRandom(const MemberMap& members,
                                          size_t count,
                                          std::mt19937_64& random) {
  const std::vector<const Instance*>& present = members.present();
  std::vector<const Instance*> chosen;
  std::sample(present.begin(), present.end(), std::back_inserter(chosen), count,
              random);
  return chosen;
}

Membership::Membership(Instance self,
                       MembershipOptions options,
                       uint64_t random_seed,
                       TimePoint now)
    : self_(std::move(self)),
      options_(std::move(options)),
      random_(random_seed),
      members_(self_.id),
      last_active_(now),
      last_received_(now),
      next_probe_(now + RandomDelay(options_.probe_period)),
      next_gossip_(now),
      next_sync_(now + RandomDelay(options_.sync_period)),
      next_reconnect_(now) {
  PublishSelf(now);
}

MembershipActions Membership::Tick(TimePoint now) {
  if (stopped_) {
    return {};
  }
  DetectPause(now);
  ExpireRelays(now);
  if (now >= next_probe_) {
    StartProbes(now);
    next_probe_ = std::max(next_probe_ + options_.probe_period, now);
  }
  AdvanceProbes(now);
  if (now >= next_sync_) {
    Sync(now);
  }
  if (now >= next_reconnect_) {
    Reconnect(now);
  }
  if (now >= next_gossip_ && !dissemination_queue_.empty()) {
    Gossip(now);
  }
  return TakeActions();
}

MembershipActions Membership::OnDatagram(const Datagram& datagram,
                                         const Endpoint& source,
                                         TimePoint now) {
  if (stopped_ || datagram.sender == self_.id) {
    return {};
  }
  DetectPause(now);
  last_received_ = now;
  const Instance* sender = members_.Find(datagram.sender);
  const bool sender_gone =
      sender != nullptr && sender->state == InstanceState::kGone;
  const bool changed = MergeAll(datagram, sender_gone, now);
  HandleVersion(datagram);
  switch (datagram.kind) {
    case DatagramKind::kPing:
      SendAck(datagram, source);
      break;
    case DatagramKind::kAck:
      HandleAck(datagram, now);
      break;
    case DatagramKind::kIndirectPing:
      RelayPing(datagram, source, now);
      break;
    case DatagramKind::kGossip:
      break;
    case DatagramKind::kDigest:
      ReplyToDigest(datagram, source);
      break;
    case DatagramKind::kMembers:
      HandleMembers(datagram, source, changed, now);
      break;
  }
  if (sender_gone) {
    ReplyToGoneSender(datagram, source);
  }
  return TakeActions();
}

void Membership::SetSeeds(std::vector<Endpoint> seeds) {
  seeds_ = std::move(seeds);
}

void Membership::SetConfigurationVersion(uint64_t version) {
  if (version > configuration_version_) {
    configuration_version_ = version;
    dissemination_queue_.Add({});
  }
}

MembershipActions Membership::Leave(TimePoint now) {
  self_.state = InstanceState::kLeaving;
  PublishSelf(now);
  Gossip(now);
  return TakeActions();
}

MembershipActions Membership::Stop(TimePoint now) {
  self_.state = InstanceState::kGone;
  PublishSelf(now);
  Gossip(now);
  stopped_ = true;
  return TakeActions();
}

bool Membership::MergeAll(const Datagram& datagram,
                          bool sender_gone,
                          TimePoint now) {
  const bool known = members_.Find(datagram.sender) != nullptr;
  const bool from_table = datagram.kind == DatagramKind::kMembers;
  bool changed = false;
  for (const Instance& member : datagram.members) {
    const bool from_self = member.id == datagram.sender;
    const Origin origin{
        .trusted = from_self || (known && !sender_gone && !from_table),
        .disseminate = from_self || !from_table};
    changed |= Merge(member, origin, now);
  }
  return changed;
}

bool Membership::Merge(const Instance& received, Origin origin, TimePoint now) {
  if (received.id == self_.id) {
    return MergeSelf(received, now);
  }
  const bool gone = received.state == InstanceState::kGone;
  const Instance* known = members_.Find(received.id);
  if (known == nullptr && (gone || !HasEndpoints(received))) {
    return false;
  }
  if (known != nullptr && !Supersedes(received, *known)) {
    if (origin.disseminate && !Supersedes(*known, received)) {
      dissemination_queue_.CountReceivedCopy(received.id);
    }
    return false;
  }
  const bool was_gone =
      known != nullptr && known->state == InstanceState::kGone;
  if (gone && !was_gone && !origin.trusted) {
    Verify(*known, received.incarnation, now);
    return false;
  }
  Apply(received, known, now);
  if (origin.disseminate) {
    dissemination_queue_.Add(received.id);
  }
  return true;
}

bool Membership::MergeSelf(const Instance& received, TimePoint now) {
  if (!Supersedes(received, self_)) {
    return false;
  }
  self_.incarnation = received.incarnation + 1;
  PublishSelf(now);
  return true;
}

void Membership::Verify(const Instance& known,
                        uint64_t gone_incarnation,
                        TimePoint now) {
  const auto probe = probes_.find(known.id);
  if (probe != probes_.end()) {
    probe->second.gone_incarnation = gone_incarnation;
    return;
  }
  const auto pending =
      std::count_if(probes_.begin(), probes_.end(), [](const auto& item) {
        return item.second.gone_incarnation.has_value();
      });
  if (static_cast<size_t>(pending) < options_.max_verifications) {
    StartProbe(known, gone_incarnation, now);
  }
}

void Membership::Apply(const Instance& received,
                       const Instance* known,
                       TimePoint now) {
  const std::optional<MembershipChangeKind> kind =
      ChangeKindOf(received, known);
  Instance record = received;
  if (record.state == InstanceState::kSuspect) {
    record.state = InstanceState::kLive;
  }
  if (!HasEndpoints(record)) {
    record = *known;
    record.state = received.state;
    record.incarnation = received.incarnation;
  }
  probes_.erase(record.id);
  members_.Put(record, now);
  if (kind) {
    ReportChange(*kind, record);
  }
}

void Membership::PublishSelf(TimePoint now) {
  members_.Put(self_, now);
  dissemination_queue_.Add(self_.id);
}

void Membership::HandleVersion(const Datagram& datagram) {
  if (datagram.configuration_version == configuration_version_) {
    dissemination_queue_.CountReceivedCopy({});
    return;
  }
  const Instance* sender = members_.Find(datagram.sender);
  if (datagram.configuration_version > configuration_version_ &&
      sender != nullptr) {
    actions_.versions.push_back(
        {.version = datagram.configuration_version, .source = *sender});
  }
}

// Informs a sender that it is held gone, or exchanges tables with it if its
// datagram refuted that.
void Membership::ReplyToGoneSender(const Datagram& datagram,
                                   const Endpoint& source) {
  const Instance* sender = members_.Find(datagram.sender);
  if (sender == nullptr) {
    return;
  }
  if (sender->state != InstanceState::kGone) {
    SyncWith(source);
  } else if (datagram.kind != DatagramKind::kPing) {
    SendPing(*sender, sender->incarnation);
  }
}

Datagram Membership::NewDatagram(DatagramKind kind) const {
  Datagram datagram;
  datagram.kind = kind;
  datagram.sender = self_.id;
  datagram.configuration_version = configuration_version_;
  return datagram;
}

void Membership::Send(const Endpoint& receiver, Datagram datagram) {
  actions_.datagrams.push_back(
      {.receiver = receiver, .datagram = std::move(datagram)});
}

void Membership::ReportChange(MembershipChangeKind kind,
                              const Instance& instance) {
  actions_.changes.push_back({.kind = kind, .instance = instance});
}

MembershipActions Membership::TakeActions() {
  return std::exchange(actions_, {});
}

Duration Membership::RandomDelay(Duration period) {
  std::uniform_int_distribution<Duration::rep> part(0, period.count());
  return Duration(part(random_));
}

}  // namespace greengage
