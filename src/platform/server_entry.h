// The entries that backend servers write into the platform's store.

#ifndef MUSTARDFLOW_PLATFORM_SERVER_ENTRY_H_
#define MUSTARDFLOW_PLATFORM_SERVER_ENTRY_H_

#include <optional>
#include <string>
#include <string_view>

#include "state/server_record.h"

namespace mustardflow::platform {

// Returns nothing for an entry that names no server to use: a field missing or
// of another type, a state that is not known, or bytes that cannot be read.
// `problem` then says what is wrong.
std::optional<state::ServerRecord> ParseServerEntry(const std::string& id,
                                                    std::string_view text,
                                                    std::string* problem);

}  // namespace mustardflow::platform

#endif  // MUSTARDFLOW_PLATFORM_SERVER_ENTRY_H_
