// Numbers that differ from instance to instance and from start to start.
#ifndef GREENGAGE_SRC_TRANSPORT_RANDOM_BASE_H_
#define GREENGAGE_SRC_TRANSPORT_RANDOM_BASE_H_

#include <cstdint>
#include <random>

namespace greengage {

// 62 random bits: enough that no two instances start from the same number, with
// room to count up from it.
inline uint64_t RandomBase() {
  std::random_device device;
  return (uint64_t{device()} << 30) ^ device();
}

}  // namespace greengage

#endif  // GREENGAGE_SRC_TRANSPORT_RANDOM_BASE_H_
