// Implements the division of descriptors.

#include "admission/connection_limits.h"

#include <algorithm>

namespace mustardflow::admission {

using state::Duration;
using state::Instant;

namespace {

// Descriptors that the platform reserves for files.
constexpr std::size_t kFileDescriptors = 200;
// Listeners, the event loop and the connections to the store.
constexpr std::size_t kProcessDescriptors = 32;
// Each kind of connection can be opened at least so often.
constexpr std::size_t kMinConnections = 4;
// A connection that was used a moment ago may carry its next request already.
constexpr Duration kMinIdleTime = std::chrono::seconds(1);

std::size_t ShareOf(std::size_t descriptors,
                    std::size_t parts_of_32,
                    std::size_t maximum) {
  return std::clamp(descriptors * parts_of_32 / 32, kMinConnections, maximum);
}

}  // namespace

ConnectionLimits ConnectionLimitsFor(std::size_t max_descriptors) {
  ConnectionLimits limits;
  if (max_descriptors == 0) {
    return limits;
  }
  const std::size_t reserved =
      std::min(max_descriptors, kFileDescriptors + kProcessDescriptors);
  const std::size_t available = max_descriptors - reserved;
  limits.callers = ShareOf(available, 16, limits.callers);
  limits.forwarded = ShareOf(available, 6, limits.forwarded);
  limits.servers = ShareOf(available, 6, limits.servers);
  limits.peer_pages = ShareOf(available, 2, limits.peer_pages);
  limits.probes = ShareOf(available, 1, limits.probes);
  return limits;
}

std::optional<std::size_t> ChooseConnectionToClose(
    Instant now,
    const std::vector<OpenConnection>& connections) {
  std::optional<std::size_t> chosen;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    const OpenConnection& candidate = connections[i];
    const bool may_close =
        candidate.stalled ||
        (candidate.idle && now - candidate.since >= kMinIdleTime);
    if (!may_close) {
      continue;
    }
    const bool better = !chosen ||
                        (candidate.idle && !connections[*chosen].idle) ||
                        (candidate.idle == connections[*chosen].idle &&
                         candidate.since < connections[*chosen].since);
    if (better) {
      chosen = i;
    }
  }
  return chosen;
}

}  // namespace mustardflow::admission
