// Parsing of the entries that backend servers write into the platform's store.

#ifndef MUSTARDFLOW_PLATFORM_SERVER_ENTRY_H_
#define MUSTARDFLOW_PLATFORM_SERVER_ENTRY_H_

#include <optional>
#include <string>
#include <string_view>

#include "protocol/findings.h"
#include "state/server_record.h"

namespace mustardflow::platform {

// Returns nullopt for an entry that does not describe a usable server: one that
// is not JSON, lacks a field, or has a field of the wrong type, out of range or
// with an unknown state, or whose id cannot be sent. `findings` then has the
// reasons.
std::optional<state::ServerRecord> ParseServerEntry(
    const std::string& id,
    std::string_view text,
    protocol::Findings* findings);

}  // namespace mustardflow::platform

#endif  // MUSTARDFLOW_PLATFORM_SERVER_ENTRY_H_
