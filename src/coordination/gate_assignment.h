// Chooses for each backend server the host that sends all requests for it.

#ifndef MUSTARDFLOW_COORDINATION_GATE_ASSIGNMENT_H_
#define MUSTARDFLOW_COORDINATION_GATE_ASSIGNMENT_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "state/ownership_table.h"
#include "state/time.h"

namespace mustardflow::coordination {

// A host that may be a gate.
struct GateHost {
  std::string name;
  std::string zone;
  // Where it takes requests of other hosts.
  state::Address address;
  // Its share of the work, in relation to other hosts; above 0.
  double strength = 1;
};

// A server that needs a gate.
struct GatedServer {
  std::string id;
  std::string zone;
  int slots = 1;
};

// With more than so many hosts for each slot of a server, a host's part of the
// slots is too small to tell from its own requests how full the server is.
inline constexpr double kMaxHostsPerSlot = 3;

// Weighted rendezvous hashing: hosts of the server's zone before others, in
// proportion to their strength, and few servers change hosts when hosts come
// and go.
class GateAssignment {
 public:
  // A host is at work, as of now.
  void RecordHost(state::Instant now, const GateHost& host);
  // The host is about to stop.
  void RemoveHost(const std::string& name);

  // The gates of these servers; empty while there are few hosts.
  state::Gates Assign(state::Instant now,
                      const std::vector<GatedServer>& servers);

 private:
  struct KnownHost {
    GateHost host;
    state::Instant last_report{};
  };

  std::map<std::string, KnownHost> hosts_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_GATE_ASSIGNMENT_H_
