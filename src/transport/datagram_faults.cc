#include "greengage/transport/datagram_faults.h"

#include <utility>

namespace greengage {

void DatagramFaults::SetLoss(double loss_ratio, uint64_t seed) {
  const std::lock_guard lock(mutex_);
  loss_ratio_ = loss_ratio;
  random_.seed(seed);
}

void DatagramFaults::SetBlockedEndpoints(std::set<Endpoint> endpoints) {
  const std::lock_guard lock(mutex_);
  blocked_ = std::move(endpoints);
}

bool DatagramFaults::ShouldDropTo(const Endpoint& receiver) {
  const std::lock_guard lock(mutex_);
  if (blocked_.contains(receiver)) {
    return true;
  }
  return loss_ratio_ > 0 && std::bernoulli_distribution(loss_ratio_)(random_);
}

bool DatagramFaults::ShouldDropFrom(const Endpoint& sender) {
  const std::lock_guard lock(mutex_);
  return blocked_.contains(sender);
}

}  // namespace greengage
