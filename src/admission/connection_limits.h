// Decides how a host's descriptors are divided, and which connection is closed
// to accept another.

#ifndef MUSTARDFLOW_ADMISSION_CONNECTION_LIMITS_H_
#define MUSTARDFLOW_ADMISSION_CONNECTION_LIMITS_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "state/time.h"

namespace mustardflow::admission {

// Maximum numbers of open connections. The defaults hold where the settings
// state no number of descriptors.
struct ConnectionLimits {
  std::size_t callers = 2500;
  // From other hosts that forward requests.
  std::size_t forwarded = 2500;
  // To backend servers and to gates.
  std::size_t servers = 1000000;
  // From other hosts that read tables and records.
  std::size_t peer_pages = 2000;
  // Of readiness probes, and as many of operators.
  std::size_t probes = 100;
};

// Returns the limits for a process that may open `max_descriptors`; 0 if the
// number is unknown.
ConnectionLimits ConnectionLimitsFor(std::size_t max_descriptors);

// An open connection of a caller or a forwarding host.
struct OpenConnection {
  // Whether no request has arrived or is under way.
  bool idle = false;
  // Whether it holds an answer or a part of a body, and makes no progress.
  bool stalled = false;
  // Since when it is idle or stalled.
  state::Instant since{};
};

// Returns the index of the connection to close so that another one can be
// accepted: the one that has been idle for longest, else the one that has been
// stalled for longest. Returns nullopt if all of them are in use.
std::optional<std::size_t> ChooseConnectionToClose(
    state::Instant now,
    const std::vector<OpenConnection>& connections);

}  // namespace mustardflow::admission

#endif  // MUSTARDFLOW_ADMISSION_CONNECTION_LIMITS_H_
