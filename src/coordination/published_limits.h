// The limits of servers that the leader publishes to all hosts.

#ifndef MUSTARDFLOW_COORDINATION_PUBLISHED_LIMITS_H_
#define MUSTARDFLOW_COORDINATION_PUBLISHED_LIMITS_H_

#include <map>
#include <optional>
#include <string>

#include "state/ownership_table.h"

namespace mustardflow::coordination {

// By server id; nullopt if nothing is known of the server's limit any more.
using LimitChanges = std::map<std::string, std::optional<state::ServerLimit>>;

// Replaces `published` by what servers have stated, and returns what changed. A
// limit that has changed by less than a twentieth stays as it was published:
// each change is sent to all hosts.
LimitChanges UpdatePublishedLimits(const state::ServerLimits& stated,
                                   state::ServerLimits* published);

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_PUBLISHED_LIMITS_H_
