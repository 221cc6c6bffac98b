// Distributes the requests of a route over its services by their weights.

#ifndef MUSTARDFLOW_COORDINATION_TRAFFIC_SPLIT_H_
#define MUSTARDFLOW_COORDINATION_TRAFFIC_SPLIT_H_

#include <functional>
#include <map>
#include <string>

#include "state/routing_config.h"

namespace mustardflow::coordination {

// Smooth weighted round robin: each request adds to the credit of every service
// its weight, selects the service with the highest credit, and subtracts the
// sum of the weights from that credit. Unlike a random selection, it keeps to
// the weights even over few requests.
class TrafficSplit {
 public:
  // Selects the service for the next request of the route among those that
  // `can_serve` accepts; null if there is none.
  const std::string* Pick(
      const state::Route& route,
      const std::function<bool(const std::string&)>& can_serve);

 private:
  // The credit of each service, by route and service name.
  // Invariant: the credits of a route add up to 0 between calls.
  std::map<std::string, std::map<std::string, double>> credit_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_TRAFFIC_SPLIT_H_
