#include "greengage/protocol/datagram_codec.h"

#include <limits>
#include <string>

#include "greengage/coordination/member_map.h"

#include <criterion/criterion.h>

namespace greengage {

namespace {

Instance LargestInstance() {
  const Endpoint endpoint{.host = "255.255.255.255", .port = 65535};
  return {.id = "instance-with-a-long-name-0001",
          .data_centre = "data-centre-1",
          .gossip = endpoint,
          .peer = endpoint,
          .http = endpoint,
          .state = InstanceState::kLeaving,
          .incarnation = std::numeric_limits<uint64_t>::max()};
}

Datagram LargestDatagram() {
  Datagram datagram;
  datagram.kind = DatagramKind::kMembers;
  datagram.sender = LargestInstance().id;
  datagram.sequence = std::numeric_limits<uint64_t>::max();
  datagram.stamp = {.milliseconds = std::numeric_limits<int64_t>::max(),
                    .counter = std::numeric_limits<uint32_t>::max()};
  datagram.configuration_version = std::numeric_limits<uint64_t>::max();
  datagram.target = LargestInstance().id;
  datagram.members = {LargestInstance(), LargestInstance()};
  datagram.digest.assign(kDigestBuckets, std::numeric_limits<uint32_t>::max());
  return datagram;
}

}  // namespace

Test(DatagramCodec, RoundTrips) {
  const Datagram sent = LargestDatagram();
  const Result<Datagram> read = DecodeDatagram(EncodeDatagram(sent));
  cr_assert(read.ok());
  cr_assert(read->kind == sent.kind);
  cr_assert(read->sender == sent.sender);
  cr_assert(read->sequence == sent.sequence);
  cr_assert(read->stamp == sent.stamp);
  cr_assert(read->configuration_version == sent.configuration_version);
  cr_assert(read->target == sent.target);
  cr_assert(read->digest == sent.digest);
  cr_assert(read->members.size() == 2);
  const Instance& member = read->members.front();
  cr_assert(member.id == LargestInstance().id);
  cr_assert(member.data_centre == LargestInstance().data_centre);
  cr_assert(member.http == LargestInstance().http);
  cr_assert(member.state == InstanceState::kLeaving);
  cr_assert(member.incarnation == LargestInstance().incarnation);
}

Test(DatagramCodec, EncodedSizeIsWithinMaxEncodedBytes) {
  const Datagram datagram = LargestDatagram();
  cr_assert(EncodeDatagram(datagram).size() <= MaxEncodedBytes(datagram));
  Datagram gone = datagram;
  for (Instance& member : gone.members) {
    member.gossip = member.peer = member.http = {};
  }
  cr_assert(EncodeDatagram(gone).size() <= MaxEncodedBytes(gone));
}

Test(DatagramCodec, RejectsMalformedDatagrams) {
  Datagram without_sender = LargestDatagram();
  without_sender.sender.clear();
  Datagram invalid_state = LargestDatagram();
  invalid_state.members.front().state = static_cast<InstanceState>(9);
  Datagram unknown_kind = LargestDatagram();
  unknown_kind.kind = static_cast<DatagramKind>(77);
  for (const std::string& bytes :
       {std::string("\xff\xff"), std::string(), EncodeDatagram(without_sender),
        EncodeDatagram(invalid_state), EncodeDatagram(unknown_kind)}) {
    const Result<Datagram> read = DecodeDatagram(bytes);
    cr_assert(!read.ok());
    cr_assert(read.last_reason().kind == FailureKind::kMalformedMessage);
  }
}

}  // namespace greengage
