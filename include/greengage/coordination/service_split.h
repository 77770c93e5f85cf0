// Splits the requests of a route among services by weight.
#ifndef GREENGAGE_COORDINATION_SERVICE_SPLIT_H_
#define GREENGAGE_COORDINATION_SERVICE_SPLIT_H_

#include <map>
#include <string>
#include <vector>

#include "greengage/state/route.h"

namespace greengage {

// Smooth weighted round robin, so that the weights hold over short runs of
// requests. A request that its service cannot accept is not moved to another
// service. Not thread-safe.
class ServiceSplit {
 public:
  // Returns the service of the next request of `route`, which must have at
  // least one service.
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
