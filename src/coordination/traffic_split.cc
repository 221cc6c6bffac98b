// Smooth weighted round robin.

#include "coordination/traffic_split.h"

namespace mustardflow::coordination {

const std::string& TrafficSplit::Pick(const state::Route& route) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  std::map<std::string, double>& credit = credit_[route.name];
  double sum = 0;
  const state::WeightedService* best = nullptr;
  for (const state::WeightedService& candidate : route.services) {
    sum += candidate.weight;
    double& own = credit[candidate.service];
    own += candidate.weight;
    if (best == nullptr || own > credit[best->service]) {
      best = &candidate;
    }
  }
  credit[best->service] -= sum;
  return best->service;
}

}  // namespace mustardflow::coordination
