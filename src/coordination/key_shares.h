// Division of the load of a keyed service among its servers.

#ifndef MUSTARDFLOW_COORDINATION_KEY_SHARES_H_
#define MUSTARDFLOW_COORDINATION_KEY_SHARES_H_

#include <vector>

namespace mustardflow::coordination {

// What one server can take of the load. Rates are in requests per second. A
// rate that is not known is infinite; the other one then is infinite as well.
struct ServerRates {
  // The server's part of the load relative to other servers, while no rate is
  // reached; above 0.
  double weight = 1;
  // The highest rate while other servers have room.
  double preferred = 0;
  // The highest rate that the server serves; at least `preferred` and above 0.
  double bearable = 0;
};

// Returns the load of each server, in requests per second; the sum is `load`.
// No server gets more than its preferred rate unless all do, nor more than its
// bearable rate unless all do. In an overload, the loads are in proportion to
// the bearable rates, so that servers refuse equal fractions.
std::vector<double> DivideKeyLoad(double load,
                                  const std::vector<ServerRates>& servers);

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_KEY_SHARES_H_
