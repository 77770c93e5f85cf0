#include "greengage/coordination/rendezvous.h"

#include <xxhash.h>

namespace greengage {

uint64_t RendezvousHash(std::string_view name) {
  return XXH3_64bits(name.data(), name.size());
}

uint64_t RendezvousWeight(uint64_t key_hash, uint64_t candidate_hash) {
  return XXH3_64bits_withSeed(&candidate_hash, sizeof(candidate_hash),
                              key_hash);
}

}  // namespace greengage
