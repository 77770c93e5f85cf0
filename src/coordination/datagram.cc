#include "greengage/coordination/datagram.h"

namespace greengage {

namespace {

// Tags, lengths and largest integers of one end point.
constexpr size_t kEndpointOverheadBytes = 9;
// Tags and lengths of three strings, the state, and the largest incarnation.
constexpr size_t kInstanceOverheadBytes = 24;
// Tags, lengths and largest integers of all fields that are not repeated.
constexpr size_t kDatagramOverheadBytes = 58;

size_t MaxEncodedBytes(const Endpoint& endpoint) {
  return endpoint.host.size() + kEndpointOverheadBytes;
}

}  // namespace

size_t MaxEncodedBytes(const Instance& instance) {
  size_t bytes =
      kInstanceOverheadBytes + instance.id.size() + instance.data_centre.size();
  if (!instance.gossip.host.empty()) {
    bytes += MaxEncodedBytes(instance.gossip) + MaxEncodedBytes(instance.peer) +
             MaxEncodedBytes(instance.http);
  }
  return bytes;
}

size_t MaxEncodedBytes(const Datagram& datagram) {
  size_t bytes = kDatagramOverheadBytes + datagram.sender.size() +
                 datagram.target.size() +
                 datagram.digest.size() * sizeof(uint32_t);
  for (const Instance& member : datagram.members) {
    bytes += MaxEncodedBytes(member);
  }
  return bytes;
}

}  // namespace greengage
