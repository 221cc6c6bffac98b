// What a host learns from the settings file of the platform.

#ifndef MUSTARDFLOW_STATE_HOST_PROFILE_H_
#define MUSTARDFLOW_STATE_HOST_PROFILE_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "state/document.h"
#include "state/time.h"

namespace mustardflow::state {

// The bounds that the installation sets on the system's behaviour.
struct ServiceBounds {
  // Requests sent more than once, as a fraction of a service's requests.
  double retry_ratio = 0.2;
  // Repeats allowed beside that fraction, in each window, over all hosts.
  double retry_slack = 50;
  Duration retry_window = std::chrono::seconds(10);
  // A cold server may get its rate times this factor, plus the slack, in each
  // second, over all hosts.
  double cold_factor = 1.5;
  double cold_slack = 5;
  // The longest lease that a backend server accepts.
  Duration max_lease = std::chrono::seconds(10);
  // From a stop signal until the process is killed.
  Duration stop_grace = std::chrono::seconds(6);
};

struct HostProfile {
  std::string name;
  std::string zone;
  // This host's own address, for all that it listens on.
  std::string ip;
  Address callers;
  Address readiness;
  Address operators;
  // The first port that is free for messages between hosts.
  std::uint16_t peer_port = 0;
  Address store;
  // How often a backend server renews its entry in the store.
  Duration server_heartbeat = std::chrono::seconds(1);
  std::size_t memory_bytes = 256u << 20;
  // The processor time of this host, in cores, and its link.
  double cores = 1;
  double link_mbps = 1000;
  // The whole system starts for the first time.
  bool bootstrap = false;
  ServiceBounds bounds;
};

// How much a host can do as a leader, in cores. A leader of 80 hosts uses 0.08
// cores and, in a burst of changes, 40 Mbit/s.
inline double LeaderCapacity(const HostProfile& profile) {
  constexpr double kMegabitsPerCore = 500;
  return std::min(profile.cores, profile.link_mbps / kMegabitsPerCore);
}

}  // namespace mustardflow::state

#endif  // MUSTARDFLOW_STATE_HOST_PROFILE_H_
