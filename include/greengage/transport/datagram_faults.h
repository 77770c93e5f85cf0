// Faults that tests lay on datagrams: loss, and end points that are cut off.
#ifndef GREENGAGE_TRANSPORT_DATAGRAM_FAULTS_H_
#define GREENGAGE_TRANSPORT_DATAGRAM_FAULTS_H_

#include <cstdint>
#include <mutex>
#include <random>
#include <set>

#include "greengage/state/endpoint.h"

namespace greengage {

// Without faults unless told otherwise. Thread-safe.
class DatagramFaults {
 public:
  // Loses this share, from 0 to 1, of the datagrams sent, chosen by `seed`.
  void SetLoss(double share, uint64_t seed);

  // Nothing passes to or from these end points.
  void SetBlockedEndpoints(std::set<Endpoint> endpoints);

  // Whether a datagram to `receiver` is lost.
  bool ShouldDropTo(const Endpoint& receiver);

  // Whether a datagram from `sender` is lost.
  bool ShouldDropFrom(const Endpoint& sender);

 private:
  std::mutex mutex_;
  double loss_ = 0;
  std::mt19937_64 random_;
  std::set<Endpoint> cut_;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_DATAGRAM_FAULTS_H_
