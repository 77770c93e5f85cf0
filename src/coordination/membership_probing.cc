// Failure detection of Membership.
#include <algorithm>
#include <chrono>
#include <utility>

#include "greengage/coordination/membership.h"

namespace greengage {

namespace {

constexpr std::chrono::seconds kRelayLifetime{4};
constexpr size_t kMaxRelays = 256;

// Returns a record that declares `target` gone, without the fields that the
// receiver does not need.
Instance MakeGoneRecord(const Instance& target, uint64_t incarnation) {
  Instance record;
  record.id = target.id;
  record.state = InstanceState::kGone;
  record.incarnation = incarnation;
  return record;
}

bool ContainsMember(const Datagram& datagram, std::string_view id) {
  return std::any_of(datagram.members.begin(), datagram.members.end(),
                     [&](const Instance& member) { return member.id == id; });
}

}  // namespace

// After a pause of this process, extends the probes by the length of the pause:
// acknowledgements missed meanwhile are no sign of a failure.
void Membership::DetectPause(TimePoint now) {
  const Duration gap = now - last_active_;
  last_active_ = now;
  if (gap <= options_.pause_threshold) {
    return;
  }
  for (auto& [id, probe] : probes_) {
    probe.started += gap;
  }
}

void Membership::StartProbes(TimePoint now) {
  std::vector<const Instance*> targets;
  if (options_.choose_probe_targets) {
    targets =
        options_.choose_probe_targets(members_, options_.successors, random_);
  } else {
    targets = members_.Successors(
        options_.successors, [this](const Instance& instance) {
          return instance.state != InstanceState::kGone &&
                 instance.state != InstanceState::kSuspect;
        });
  }
  for (const Instance* target : targets) {
    if (!probes_.contains(target->id)) {
      StartProbe(*target, std::nullopt, now);
    }
  }
}

void Membership::StartProbe(const Instance& target,
                            std::optional<uint64_t> gone_incarnation,
                            TimePoint now) {
  Probe probe;
  probe.started = now;
  probe.next_ping = now + options_.retry_timeout;
  probe.next_indirect = probe.next_ping + options_.retry_period;
  probe.first_sequence = last_sequence_ + 1;
  probe.gone_incarnation = gone_incarnation;
  probes_.emplace(target.id, probe);
  SendPing(target, gone_incarnation);
}

void Membership::AdvanceProbes(TimePoint now) {
  std::vector<std::string> expired;
  for (auto& [id, probe] : probes_) {
    if (HasExpired(probe, now)) {
      expired.push_back(id);
    } else {
      AdvanceProbe(id, probe, now);
    }
  }
  for (const std::string& id : expired) {
    DeclareGone(id, now);
  }
}

void Membership::AdvanceProbe(const std::string& id,
                              Probe& probe,
                              TimePoint now) {
  const Instance* target = members_.Find(id);
  if (target == nullptr) {
    return;
  }
  if (!probe.suspected && now - probe.started >= options_.suspect_timeout) {
    probe.suspected = true;
    Suspect(*target, now);
  }
  if (now >= probe.next_ping) {
    probe.next_ping = now + options_.retry_period;
    SendPing(*target, probe.gone_incarnation);
  }
  if (now >= probe.next_indirect) {
    probe.next_indirect = now + options_.indirect_period;
    SendIndirectPings(*target);
  }
}

bool Membership::HasExpired(const Probe& probe, TimePoint now) const {
  const bool isolated =
      last_received_ <= probe.started && members_.present().size() > 1;
  return now - probe.started >=
         (isolated ? options_.isolated_gone_timeout : options_.gone_timeout);
}

void Membership::SendPing(const Instance& target,
                          std::optional<uint64_t> gone_incarnation) {
  Datagram ping = NewDatagram(DatagramKind::kPing);
  ping.sequence = ++last_sequence_;
  ping.target = target.id;
  if (gone_incarnation) {
    ping.members.push_back(MakeGoneRecord(target, *gone_incarnation));
  }
  AppendUpdates(ping);
  Send(target.gossip, std::move(ping));
}

void Membership::SendIndirectPings(const Instance& target) {
  Datagram request = NewDatagram(DatagramKind::kIndirectPing);
  request.sequence = ++last_sequence_;
  request.target = target.id;
  request.members.push_back(target);
  for (const Instance* relay :
       ChooseRandom(members_, options_.indirect_count, random_)) {
    if (relay->id != target.id) {
      Send(relay->gossip, request);
    }
  }
}

void Membership::Suspect(const Instance& target, TimePoint now) {
  if (target.state != InstanceState::kLive) {
    return;
  }
  members_.SetState(target.id, InstanceState::kSuspect, now);
  ReportChange(MembershipChangeKind::kSuspected, target);
  StartProbes(now);
}

void Membership::DeclareGone(const std::string& id, TimePoint now) {
  const auto probe = probes_.extract(id);
  const Instance* target = members_.Find(id);
  if (target == nullptr || target->state == InstanceState::kGone) {
    return;
  }
  Instance record = *target;
  record.state = InstanceState::kGone;
  record.incarnation =
      std::max(record.incarnation, probe.mapped().gone_incarnation.value_or(0));
  members_.Put(record, now);
  dissemination_queue_.Add(id);
  ReportChange(MembershipChangeKind::kGone, record);
}

void Membership::ConfirmAlive(std::string_view id, TimePoint now) {
  const auto probe = probes_.find(id);
  probes_.erase(probe);
  const Instance* target = members_.Find(id);
  if (target != nullptr && target->state == InstanceState::kSuspect) {
    members_.SetState(id, InstanceState::kLive, now);
    ReportChange(MembershipChangeKind::kRefuted, *target);
  }
}

void Membership::ExpireRelays(TimePoint now) {
  while (!relays_.empty() && (relays_.begin()->second.expires <= now ||
                              relays_.size() > kMaxRelays)) {
    relays_.erase(relays_.begin());
  }
}

void Membership::Reconnect(TimePoint now) {
  members_.RemoveGone(now - options_.gone_retention);
  next_reconnect_ = now + options_.reconnect_period;
  if (members_.present().empty()) {
    next_reconnect_ = now + options_.join_period;
  }
  SyncWithSeeds();
  const std::vector<const Instance*>& gone = members_.gone();
  if (!gone.empty()) {
    const Instance& target = *gone[random_() % gone.size()];
    SendPing(target, target.incarnation);
  }
}

void Membership::SendAck(const Datagram& ping, const Endpoint& source) {
  if (!ping.target.empty() && ping.target != self_.id) {
    return;
  }
  Datagram ack = NewDatagram(DatagramKind::kAck);
  ack.sequence = ping.sequence;
  const Instance* sender = members_.Find(ping.sender);
  if (sender != nullptr && sender->state == InstanceState::kGone) {
    ack.members.push_back(MakeGoneRecord(*sender, sender->incarnation));
  }
  if (sender == nullptr || ContainsMember(ping, self_.id)) {
    ack.members.push_back(self_);
  }
  AppendUpdates(ack);
  Send(source, std::move(ack));
}

void Membership::RelayPing(const Datagram& request,
                           const Endpoint& source,
                           TimePoint now) {
  const Instance* target = members_.Find(request.target);
  if (target == nullptr) {
    return;
  }
  relays_[last_sequence_ + 1] = {.requester = source,
                                 .sequence = request.sequence,
                                 .expires = now + kRelayLifetime};
  SendPing(*target, std::nullopt);
}

void Membership::HandleAck(const Datagram& ack, TimePoint now) {
  if (ack.target.empty()) {
    if (const auto relay = relays_.extract(ack.sequence)) {
      Datagram answer = NewDatagram(DatagramKind::kAck);
      answer.sequence = relay.mapped().sequence;
      answer.target = ack.sender;
      Send(relay.mapped().requester, std::move(answer));
    }
  }
  const std::string& subject = ack.target.empty() ? ack.sender : ack.target;
  const auto probe = probes_.find(subject);
  if (probe != probes_.end() && ack.sequence >= probe->second.first_sequence) {
    ConfirmAlive(subject, now);
  }
}

}  // namespace greengage
