// The messages of the membership protocol, as typed values.
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
  kPing = 0,          // Asks the receiver for an acknowledgement.
  kAck = 1,           // Acknowledges a ping, also on behalf of `target`.
  kIndirectPing = 2,  // Asks the receiver to ping `target`.
  kGossip = 3,        // Carries news.
  kDigest = 4,        // Compares member tables.
  kMembers = 5,       // Carries the members of differing buckets.
};

// One hash for each bucket of a member table; empty if not sent.
using Digest = std::vector<uint32_t>;

// One datagram. The records of instances that are gone may lack end points.
struct Datagram {
  DatagramKind kind = DatagramKind::kPing;
  std::string sender;
  uint64_t sequence = 0;
  HybridTime stamp;
  uint64_t configuration_version = 0;  // In force at the sender.
  std::string target;
  std::vector<Instance> members;
  Digest digest;
};

// A datagram on its way to `receiver`.
struct OutgoingDatagram {
  Endpoint receiver;
  Datagram datagram;
};

// Upper bounds of the encoded size in bytes, without headers of UDP and IP.
size_t MaxEncodedBytes(const Instance& instance);
size_t MaxEncodedBytes(const Datagram& datagram);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_DATAGRAM_H_
