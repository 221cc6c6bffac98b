// Compares the limits that servers state with the published ones.

#include "coordination/published_limits.h"

#include <algorithm>
#include <cmath>

namespace mustardflow::coordination {

using state::ServerLimit;
using state::ServerLimits;

namespace {

// The lowest change of a limit that is published, as a fraction of the limit.
constexpr double kMinChange = 0.05;

bool IsChanged(const ServerLimit& before, const ServerLimit& after) {
  if (before.start_time_ms != after.start_time_ms || !before.rate ||
      !after.rate) {
    return before != after;
  }
  return std::abs(*before.rate - *after.rate) >
         kMinChange * std::max(*before.rate, *after.rate);
}

}  // namespace

LimitChanges UpdatePublishedLimits(const ServerLimits& stated,
                                   ServerLimits* published) {
  LimitChanges changes;
  for (const auto& [server, limit] : stated) {
    const auto before = published->find(server);
    if (before == published->end() || IsChanged(before->second, limit)) {
      changes[server] = limit;
    }
  }
  for (const auto& [server, limit] : *published) {
    if (!stated.contains(server)) {
      changes[server] = std::nullopt;
    }
  }
  for (const auto& [server, limit] : changes) {
    if (limit) {
      (*published)[server] = *limit;
    } else {
      published->erase(server);
    }
  }
  return changes;
}

}  // namespace mustardflow::coordination
