// The assignment of gates: for each backend server, the host that sends all
// requests for it.

#ifndef MUSTARDFLOW_COORDINATION_GATE_ASSIGNMENT_H_
#define MUSTARDFLOW_COORDINATION_GATE_ASSIGNMENT_H_

#include <map>
#include <optional>
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
  // The address at which the host takes requests from other hosts.
  state::Address address;
  // The weight of the host's share of the work, relative to other hosts; above
  // 0.
  double strength = 1;
};

// A server that needs a gate.
struct GatedServer {
  std::string id;
  std::string zone;
  int slots = 1;
  // The requests per second that the server accepts from all hosts together, if
  // it has announced a limit.
  std::optional<double> rate_limit;
};

// A server gets a gate only if there are more hosts than this for each of its
// slots. Without a gate, each host would then use so small a share of the slots
// that its own requests would not show how full the server is.
inline constexpr double kMaxHostsPerSlot = 3;

// A server with a rate limit gets a gate if an equal share of the limit is
// below this, in requests per second and host. Demand differs between hosts, so
// small shares leave a part of the limit unused.
inline constexpr double kMinRatePerHost = 5;

// Assigns gates by weighted rendezvous hashing. A server gets a gate in its own
// zone if a host is known there. Servers are spread over the hosts in
// proportion to `strength`. Few servers change their gate when hosts come and
// go.
class GateAssignment {
 public:
  // The host has reported at `now` that it is active.
  void RecordHost(state::Instant now, const GateHost& host);
  // The host is about to stop.
  void RemoveHost(const std::string& name);

  // Returns the gates of `servers`. Servers whose slots and rate limit suffice
  // for the number of hosts get none.
  state::GateAddresses Assign(state::Instant now,
                              const std::vector<GatedServer>& servers);

 private:
  bool NeedsGate(const GatedServer& server) const;

  struct KnownHost {
    GateHost host;
    state::Instant last_report{};
  };

  std::map<std::string, KnownHost> hosts_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_GATE_ASSIGNMENT_H_
