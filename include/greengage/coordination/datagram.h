// The messages of the membership protocol.
#ifndef GREENGAGE_COORDINATION_DATAGRAM_H_
#define GREENGAGE_COORDINATION_DATAGRAM_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "greengage/state/endpoint.h"
#include "greengage/state/hybrid_clock.h"
#include "greengage/state/instance.h"

namespace greengage {

enum class DatagramKind : uint8_t {
  kPing = 0,          // Requests an acknowledgement.
  kAck = 1,           // Acknowledges a ping, by the sender or by `target`.
  kIndirectPing = 2,  // Requests that the receiver ping `target`.
  kGossip = 3,        // Carries changed member records.
  kDigest = 4,        // Carries the digest of the sender's member table.
  kMembers = 5,       // Carries the members of buckets with differing digests.
};

// One hash per bucket of a member table; empty if not sent.
using Digest = std::vector<uint32_t>;

// One datagram. Records of instances that are gone may have no end points.
struct Datagram {
  DatagramKind kind = DatagramKind::kPing;
  std::string sender;
  uint64_t sequence = 0;
  HybridTime stamp;
  uint64_t configuration_version = 0;  // Active on the sender.
  std::string target;
  std::vector<Instance> members;
  Digest digest;
};

// A datagram to send to `receiver`.
struct OutgoingDatagram {
  Endpoint receiver;
  Datagram datagram;
};

// Upper bounds of the encoded size in bytes, without UDP and IP headers.
size_t MaxEncodedBytes(const Instance& instance);
size_t MaxEncodedBytes(const Datagram& datagram);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_DATAGRAM_H_
