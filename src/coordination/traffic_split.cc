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
  for (const state::WeightedService& part : route.services) {
    sum += part.weight;
    double& own = credit[part.service];
    own += part.weight;
    if (best == nullptr || own > credit[best->service]) {
      best = &part;
    }
  }
  credit[best->service] -= sum;
  return best->service;
}

}  // namespace mustardflow::coordination
