#include "greengage/transport/datagram_faults.h"

#include <utility>

namespace greengage {

void DatagramFaults::SetLoss(double share, uint64_t seed) {
  const std::lock_guard lock(mutex_);
  loss_ = share;
  random_.seed(seed);
}

void DatagramFaults::SetBlockedEndpoints(std::set<Endpoint> endpoints) {
  const std::lock_guard lock(mutex_);
  cut_ = std::move(endpoints);
}

bool DatagramFaults::ShouldDropTo(const Endpoint& receiver) {
  const std::lock_guard lock(mutex_);
  if (cut_.contains(receiver)) {
    return true;
  }
  return loss_ > 0 && std::bernoulli_distribution(loss_)(random_);
}

bool DatagramFaults::ShouldDropFrom(const Endpoint& sender) {
  const std::lock_guard lock(mutex_);
  return cut_.contains(sender);
}

}  // namespace greengage
