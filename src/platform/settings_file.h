// Parsing of the settings file that the platform provides to a process.

#ifndef MUSTARDFLOW_PLATFORM_SETTINGS_FILE_H_
#define MUSTARDFLOW_PLATFORM_SETTINGS_FILE_H_

#include <optional>
#include <string_view>

#include "protocol/findings.h"
#include "state/host_profile.h"

namespace mustardflow::platform {

// The environment variable that holds the path of the settings file.
inline constexpr const char* kSettingsVariable = "MUSTARDFLOW_SETTINGS";

// Returns nullopt if a required field is missing or invalid, or an optional
// address is invalid. Each such field is reported as a finding. Other optional
// settings keep their defaults if they are missing or invalid. Unknown fields
// are ignored.
std::optional<state::HostProfile> ParseSettingsFile(
    std::string_view text,
    protocol::Findings* findings);

}  // namespace mustardflow::platform

#endif  // MUSTARDFLOW_PLATFORM_SETTINGS_FILE_H_
