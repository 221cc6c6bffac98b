// Weighted rendezvous hashing of servers to hosts.

#include "coordination/gate_assignment.h"

#include <xxhash.h>

#include <cmath>

namespace mustardflow::coordination {

using state::Duration;
using state::Instant;

namespace {

// Hosts report each 0.4 s. A host that has missed three reports gets no
// servers.
constexpr Duration kHostTimeout = std::chrono::milliseconds(1500);

// The rank of a host for a server; the lowest rank wins. A host with twice the
// strength wins twice as often.
double Rank(const GateHost& host, const std::string& server) {
  // The top 53 bits of the hash, as a fraction in (0, 1).
  const std::string text = host.name + '\n' + server;
  const double fraction =
      (static_cast<double>(XXH3_64bits(text.data(), text.size()) >> 11) + 0.5) /
      9007199254740992.0;
  return -std::log(fraction) / host.strength;
}

}  // namespace

void GateAssignment::RecordHost(Instant now, const GateHost& host) {
  hosts_[host.name] = {host, now};
}

void GateAssignment::RemoveHost(const std::string& name) {
  hosts_.erase(name);
}

bool GateAssignment::NeedsGate(const GatedServer& server) const {
  const auto hosts = static_cast<double>(hosts_.size());
  return hosts > kMaxHostsPerSlot * server.slots ||
         (server.rate_limit && hosts > 1 &&
          *server.rate_limit < kMinRatePerHost * hosts);
}

state::GateAddresses GateAssignment::Assign(
    Instant now,
    const std::vector<GatedServer>& servers) {
  std::erase_if(hosts_, [now](const auto& entry) {
    return now - entry.second.last_report > kHostTimeout;
  });
  std::set<std::string> zones;
  for (const auto& [name, known] : hosts_) {
    zones.insert(known.host.zone);
  }
  state::GateAddresses gates;
  for (const GatedServer& server : servers) {
    if (!NeedsGate(server)) {
      continue;
    }
    const bool has_zone = zones.contains(server.zone);
    const GateHost* best = nullptr;
    double best_rank = 0;
    for (const auto& [name, known] : hosts_) {
      if (has_zone && known.host.zone != server.zone) {
        continue;
      }
      const double rank = Rank(known.host, server.id);
      if (best == nullptr || rank < best_rank) {
        best = &known.host;
        best_rank = rank;
      }
    }
    gates[server.id] = best->address;
  }
  return gates;
}

}  // namespace mustardflow::coordination
