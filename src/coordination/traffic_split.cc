// Smooth weighted round robin.

#include "coordination/traffic_split.h"

namespace mustardflow::coordination {

const std::string* TrafficSplit::Pick(
    const state::Route& route,
    const std::function<bool(const std::string&)>& can_serve) {
  if (route.services.size() == 1) {
    const std::string& only = route.services.front().service;
    return can_serve(only) ? &only : nullptr;
  }
  std::map<std::string, double>& credit = credit_[route.name];
  double sum = 0;
  const state::WeightedService* best = nullptr;
  for (const state::WeightedService& candidate : route.services) {
    if (!can_serve(candidate.service)) {
      continue;
    }
    sum += candidate.weight;
    double& own = credit[candidate.service];
    own += candidate.weight;
    if (best == nullptr || own > credit[best->service]) {
      best = &candidate;
    }
  }
  if (best == nullptr) {
    return nullptr;
  }
  credit[best->service] -= sum;
  return &best->service;
}

}  // namespace mustardflow::coordination
