#include "greengage/coordination/service_split.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace greengage {
namespace {

bool SameWeights(const std::vector<WeightedService>& a,
                 const std::vector<WeightedService>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const WeightedService& x, const WeightedService& y) {
                      return x.service == y.service && x.weight == y.weight;
                    });
}

}  // namespace

const std::string& ServiceSplit::Next(const Route& route) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  State& state = routes_[route.name];
  if (!SameWeights(state.services, route.services)) {
    state.services = route.services;
    state.credit.assign(route.services.size(), 0);
  }
  int64_t total = 0;
  size_t best = 0;
  for (size_t i = 0; i < state.credit.size(); ++i) {
    state.credit[i] += route.services[i].weight;
    total += route.services[i].weight;
    if (state.credit[i] > state.credit[best]) {
      best = i;
    }
  }
  state.credit[best] -= total;
  return route.services[best].service;
}

}  // namespace greengage
