// Simulated network faults for tests: datagram loss and blocked endpoints.
#ifndef GREENGAGE_TRANSPORT_DATAGRAM_FAULTS_H_
#define GREENGAGE_TRANSPORT_DATAGRAM_FAULTS_H_

#include <cstdint>
#include <mutex>
#include <random>
#include <set>

#include "greengage/state/endpoint.h"

namespace greengage {

// Has no faults by default. Thread-safe.
class DatagramFaults {
 public:
  // Drops sent datagrams with probability `loss_ratio`, from 0 to 1. `seed`
  // initializes the random choice.
  void SetLoss(double loss_ratio, uint64_t seed);

  // Drops all datagrams to and from `endpoints`, which replace the endpoints
  // of earlier calls.
  void SetBlockedEndpoints(std::set<Endpoint> endpoints);

  // Returns true if a datagram to `receiver` must be dropped.
  bool ShouldDropTo(const Endpoint& receiver);

  // Returns true if a datagram from `sender` must be dropped.
  bool ShouldDropFrom(const Endpoint& sender);

 private:
  std::mutex mutex_;
  double loss_ratio_ = 0;
  std::mt19937_64 random_;
  std::set<Endpoint> blocked_;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_DATAGRAM_FAULTS_H_
