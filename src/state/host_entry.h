// Entry hosts, and the messages in which they and coordinators report state.

#ifndef MUSTARDFLOW_STATE_HOST_ENTRY_H_
#define MUSTARDFLOW_STATE_HOST_ENTRY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "state/config.h"
#include "state/document.h"
#include "state/fence.h"

namespace mustardflow::state {

// An entry host as listed by its peers or by the platform's host list.
struct HostEntry {
  std::string name;
  std::string zone;
  // Identifies the run of the host's process; 0 if the host is known from the
  // host list only.
  InstanceId instance = 0;
  // The listener for orders and heartbeats.
  Address control;
  // The listener for requests that other hosts forward.
  Address peers;
  // The listener for operators.
  Address operators;
  // Whether the host is stopping or is about to be replaced.
  bool leaving = false;

  bool operator==(const HostEntry&) const = default;
};

// Announces that a host coordinates a service.
struct CoordinatorClaim {
  std::string service;
  Term term;
  // The version of the route table that the coordinator last published.
  std::uint64_t routes_version = 0;

  bool operator==(const CoordinatorClaim&) const = default;
};

// Sent by each host to each other host at a fixed interval. The receiver
// answers with its own heartbeat.
struct Heartbeat {
  HostEntry host;
  // The log offset up to which the host has read.
  LogOffset position = 0;
  // Services that the host coordinates.
  std::vector<CoordinatorClaim> claims;
  // Control addresses of the hosts from which the sender has recently received
  // a message.
  std::vector<Address> heard;
};

// The status of a backend server, as known to its coordinator.
struct ServerStatus {
  std::string name;
  // Whether the server answers the coordinator's orders and holds a lease.
  bool answering = false;
  // Identifies the run of the server's process; 0 if unknown.
  BootId boot = 0;

  bool operator==(const ServerStatus&) const = default;
};

}  // namespace mustardflow::state

#endif  // MUSTARDFLOW_STATE_HOST_ENTRY_H_
