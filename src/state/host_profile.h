// The settings of an entry host, read from the platform's settings file.

#ifndef MUSTARDFLOW_STATE_HOST_PROFILE_H_
#define MUSTARDFLOW_STATE_HOST_PROFILE_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "state/document.h"
#include "state/time.h"

namespace mustardflow::state {

// The bounds that an installation sets on retries, warm-up and leases.
struct ServiceBounds {
  // Retries allowed as a fraction of the requests of a service.
  double retry_ratio = 0.2;
  // Retries allowed in addition to that fraction, per window, over all hosts.
  double retry_slack = 50;
  // The period over which requests and retries are counted.
  Duration retry_window = std::chrono::seconds(10);
  // Over all hosts, a cold server receives at most
  // `ServiceRules::cold_rate * cold_factor + cold_slack` requests per second.
  double cold_factor = 1.5;
  double cold_slack = 5;
  // The maximum lease that a backend server accepts.
  Duration max_lease = std::chrono::seconds(10);
  // The time within which a published configuration must be in force.
  Duration config_apply = std::chrono::seconds(2);
  // Over all hosts, in any period of this length, servers receive at most
  // `(rate * window + burst) * (1 + quota_overage) + quota_slack` requests of
  // an organisation with a limit.
  Duration quota_window = std::chrono::seconds(5);
  double quota_overage = 0.1;
  double quota_slack = 20;
  // The time from a stop signal until the process is killed.
  Duration stop_grace = std::chrono::seconds(6);
};

// The identity, listeners, resources and bounds of an entry host.
struct HostProfile {
  std::string name;
  std::string zone;
  // The IP address of this host. Its listeners for other hosts bind to it.
  std::string ip;
  // Listeners for callers, for readiness probes and for operators.
  Address callers;
  Address readiness;
  Address operators;
  // The first of the ports reserved for messages between hosts. The next port
  // is used as well.
  std::uint16_t peer_port = 0;
  // The platform's log store.
  Address store;
  // The interval at which a backend server renews its entry in the store.
  Duration server_heartbeat = std::chrono::seconds(1);
  // The memory limit of this host.
  std::size_t memory_bytes = 256u << 20;
  // The number of descriptors that the process may open; 0 if unknown.
  std::size_t max_descriptors = 0;
  // The processor capacity of this host, in cores.
  double cores = 1;
  // The bandwidth of the network link of this host, in Mbit/s.
  double link_mbps = 1000;
  // Whether the whole system starts for the first time.
  bool bootstrap = false;
  // Whether requests are admitted by the priority, target latency and work of
  // their kind when capacity is short.
  bool admission_by_priority = false;
  ServiceBounds bounds;
};

// Returns the capacity of a host for the leader's work, in cores. The scarcer
// of processor and link decides. A leader of 80 hosts uses 0.08 cores and, in a
// burst of changes, 40 Mbit/s; the ratio of the two converts the bandwidth of
// the link to cores.
inline double LeaderCapacity(const HostProfile& profile) {
  constexpr double kMegabitsPerCore = 500;
  return std::min(profile.cores, profile.link_mbps / kMegabitsPerCore);
}

}  // namespace mustardflow::state

#endif  // MUSTARDFLOW_STATE_HOST_PROFILE_H_
