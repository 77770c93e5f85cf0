// Dissemination of Membership: gossip and anti-entropy.
#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "greengage/coordination/membership.h"

namespace greengage {

namespace {

constexpr size_t kMaxJoinSeeds = 3;
constexpr size_t kDigestBytes = kDigestBuckets * sizeof(uint32_t);

// Returns the record of `member` to send. Suspicion is not disseminated, and
// the receiver needs no end points of members that are gone.
Instance ToDisseminatedRecord(const Instance& member) {
  if (member.state != InstanceState::kGone) {
    Instance record = member;
    if (record.state == InstanceState::kSuspect) {
      record.state = InstanceState::kLive;
    }
    return record;
  }
  Instance record;
  record.id = member.id;
  record.state = member.state;
  record.incarnation = member.incarnation;
  return record;
}

}  // namespace

void Membership::Gossip(TimePoint now) {
  next_gossip_ = now + options_.gossip_period;
  const std::vector<const Instance*> receivers =
      options_.choose_gossip_targets
          ? options_.choose_gossip_targets(members_, options_.fan_out, random_)
          : ChooseRandom(members_, options_.fan_out, random_);
  if (receivers.empty()) {
    return;
  }
  Datagram gossip = NewDatagram(DatagramKind::kGossip);
  const size_t count = AppendUpdates(gossip);
  for (const Instance* receiver : receivers) {
    Send(receiver->gossip, gossip);
  }
  dissemination_queue_.FinishRound(count, DisseminationRounds(),
                                   options_.max_received_copies);
}

// Appends as many queued records as fit, and returns the number of queue items
// included.
size_t Membership::AppendUpdates(Datagram& datagram) const {
  size_t bytes = MaxEncodedBytes(datagram);
  size_t count = 0;
  for (const DisseminationItem& item : dissemination_queue_.items()) {
    const Instance* member = members_.Find(item.id);
    if (member != nullptr) {
      Instance record = ToDisseminatedRecord(*member);
      bytes += MaxEncodedBytes(record);
      if (bytes > options_.datagram_bytes) {
        break;
      }
      datagram.members.push_back(std::move(record));
    }
    ++count;
  }
  return count;
}

uint32_t Membership::DisseminationRounds() const {
  const auto members = static_cast<double>(members_.present().size() + 1);
  const double rounds =
      std::ceil(options_.dissemination_rounds_factor * std::log2(members + 1));
  return static_cast<uint32_t>(rounds);
}

void Membership::Sync(TimePoint now) {
  next_sync_ = now + options_.sync_period;
  const std::vector<const Instance*> partner =
      ChooseRandom(members_, 1, random_);
  if (!partner.empty()) {
    SyncWith(partner.front()->gossip);
  }
}

void Membership::SyncWith(const Endpoint& receiver) {
  Datagram digest = NewDatagram(DatagramKind::kDigest);
  digest.members.push_back(self_);
  digest.digest = members_.digest();
  Send(receiver, std::move(digest));
}

// Contacts one seed that is not a member, or several while no member is known.
void Membership::SyncWithSeeds() {
  std::vector<Endpoint> candidates = seeds_;
  std::erase(candidates, self_.gossip);
  for (const Instance* member : members_.present()) {
    std::erase(candidates, member->gossip);
  }
  std::vector<Endpoint> chosen;
  std::sample(candidates.begin(), candidates.end(), std::back_inserter(chosen),
              members_.present().empty() ? kMaxJoinSeeds : 1, random_);
  for (const Endpoint& seed : chosen) {
    SyncWith(seed);
  }
}

void Membership::ReplyToDigest(const Datagram& digest, const Endpoint& source) {
  const std::vector<size_t> differing =
      members_.DifferingBuckets(digest.digest);
  if (!differing.empty()) {
    SendBuckets(differing, source, /*with_digest=*/true);
  }
}

void Membership::HandleMembers(const Datagram& datagram,
                               const Endpoint& source,
                               bool changed,
                               TimePoint now) {
  if (changed) {
    next_sync_ = std::min(next_sync_, now + options_.resync_delay);
  }
  const std::vector<size_t> differing =
      members_.DifferingBuckets(datagram.digest);
  if (!differing.empty()) {
    SendBuckets(differing, source, /*with_digest=*/false);
  }
}

// Starts at a random bucket, so that repeated exchanges cover all buckets
// although the number of datagrams is limited. The digest, which requests the
// receiver's members, is sent only after all buckets.
void Membership::SendBuckets(const std::vector<size_t>& buckets,
                             const Endpoint& receiver,
                             bool with_digest) {
  const size_t first = random_() % buckets.size();
  Datagram datagram = NewDatagram(DatagramKind::kMembers);
  size_t bytes = MaxEncodedBytes(datagram);
  size_t sent = 0;
  const auto flush = [&] {
    Send(receiver,
         std::exchange(datagram, NewDatagram(DatagramKind::kMembers)));
    bytes = MaxEncodedBytes(datagram);
    ++sent;
  };
  for (size_t i = 0; i < buckets.size(); ++i) {
    const size_t bucket = buckets[(first + i) % buckets.size()];
    for (const Instance* member : members_.Bucket(bucket)) {
      Instance record = ToDisseminatedRecord(*member);
      const size_t record_bytes = MaxEncodedBytes(record);
      if (bytes + record_bytes > options_.datagram_bytes) {
        flush();
      }
      if (sent == options_.sync_datagrams) {
        return;
      }
      bytes += record_bytes;
      datagram.members.push_back(std::move(record));
    }
  }
  if (with_digest && bytes + kDigestBytes > options_.datagram_bytes) {
    flush();
  }
  if (with_digest) {
    datagram.digest = members_.digest();
  }
  flush();
}

}  // namespace greengage
