// Rendezvous hashing: every process with the same candidates ranks them in the
// same order for a key, and removing a candidate does not change the order of
// the others.
#ifndef GREENGAGE_COORDINATION_RENDEZVOUS_H_
#define GREENGAGE_COORDINATION_RENDEZVOUS_H_

#include <cstdint>
#include <string_view>

namespace greengage {

// Returns the hash of a key or of a candidate's name.
uint64_t RendezvousHash(std::string_view name);

// Returns the weight of a candidate for a key; the highest weight ranks first.
uint64_t RendezvousWeight(uint64_t key_hash, uint64_t candidate_hash);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_RENDEZVOUS_H_
