// Rendezvous hashing: every process that knows the same candidates ranks them
// for a key in the same order, and a candidate that goes changes no other
// candidate's rank.
#ifndef GREENGAGE_COORDINATION_RENDEZVOUS_H_
#define GREENGAGE_COORDINATION_RENDEZVOUS_H_

#include <cstdint>
#include <string_view>

namespace greengage {

// Hash of a key or of a candidate's name.
uint64_t RendezvousHash(std::string_view name);

// Weight of a candidate for a key; the highest comes first.
uint64_t RendezvousWeight(uint64_t key_hash, uint64_t candidate_hash);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_RENDEZVOUS_H_
