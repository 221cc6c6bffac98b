// Fills servers up to their preferred rates, then up to their bearable rates.

#include "coordination/key_shares.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace mustardflow::coordination {

namespace {

// Divides `load` by weight. What exceeds a server's preferred rate goes to the
// others. The preferred rates add up to at least `load`.
std::vector<double> FillPreferred(double load,
                                  const std::vector<ServerRates>& servers) {
  double weight = 0;
  std::vector<std::size_t> order(servers.size());
  std::iota(order.begin(), order.end(), 0);
  for (const ServerRates& server : servers) {
    weight += server.weight;
  }
  // Each server that gets its preferred rate raises the load of those that
  // follow, so the servers that reach it first come first.
  std::sort(order.begin(), order.end(),
            [&servers](std::size_t left, std::size_t right) {
              return servers[left].preferred / servers[left].weight <
                     servers[right].preferred / servers[right].weight;
            });
  std::vector<double> loads(servers.size());
  for (const std::size_t index : order) {
    const ServerRates& server = servers[index];
    loads[index] = std::min(load * server.weight / weight, server.preferred);
    load -= loads[index];
    weight -= server.weight;
  }
  return loads;
}

}  // namespace

std::vector<double> DivideKeyLoad(double load,
                                  const std::vector<ServerRates>& servers) {
  double preferred = 0;
  double bearable = 0;
  for (const ServerRates& server : servers) {
    preferred += server.preferred;
    bearable += server.bearable;
  }
  if (load <= preferred) {
    return FillPreferred(load, servers);
  }
  const double fraction =
      bearable > preferred
          ? std::min(1.0, (load - preferred) / (bearable - preferred))
          : 1;
  const double overload = std::max(1.0, load / bearable);
  std::vector<double> loads;
  for (const ServerRates& server : servers) {
    const double rate =
        server.preferred + fraction * (server.bearable - server.preferred);
    loads.push_back(overload * rate);
  }
  return loads;
}

}  // namespace mustardflow::coordination
