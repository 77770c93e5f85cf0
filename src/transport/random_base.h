// Random numbers that differ between instances and between restarts.
#ifndef GREENGAGE_SRC_TRANSPORT_RANDOM_BASE_H_
#define GREENGAGE_SRC_TRANSPORT_RANDOM_BASE_H_

#include <cstdint>
#include <random>

namespace greengage {

// Returns a random start value for a counter. Its 62 bits make a collision
// between two instances unlikely and leave room to count up.
inline uint64_t RandomBase() {
  std::random_device device;
  return (uint64_t{device()} << 30) ^ device();
}

}  // namespace greengage

#endif  // GREENGAGE_SRC_TRANSPORT_RANDOM_BASE_H_
