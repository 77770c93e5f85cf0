// Divides the requests of a route among services by weight.
#ifndef GREENGAGE_COORDINATION_SERVICE_SPLIT_H_
#define GREENGAGE_COORDINATION_SERVICE_SPLIT_H_

#include <map>
#include <string>
#include <vector>

#include "greengage/state/route.h"

namespace greengage {

// Smooth weighted round robin: the shares are kept over any few requests, and
// what has no room at its service is not moved to another. Not thread-safe.
class ServiceSplit {
 public:
  // The service of the next request of `route`, which has at least one.
  const std::string& Next(const Route& route);

 private:
  struct State {
    std::vector<WeightedService> services;
    std::vector<int64_t> credit;
  };

  std::map<std::string, State> routes_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_SERVICE_SPLIT_H_
