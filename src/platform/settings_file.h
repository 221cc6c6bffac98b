// The platform's settings file of a process.

#ifndef MUSTARDFLOW_PLATFORM_SETTINGS_FILE_H_
#define MUSTARDFLOW_PLATFORM_SETTINGS_FILE_H_

#include <optional>
#include <string_view>

#include "protocol/findings.h"
#include "state/host_profile.h"

namespace mustardflow::platform {

// The environment variable that holds the path of the settings file.
inline constexpr const char* kSettingsVariable = "MUSTARDFLOW_SETTINGS";

// Returns nothing if a field that is needed is missing or unsuitable; each such
// field is a finding. Fields that are not known are ignored.
std::optional<state::HostProfile> ParseSettingsFile(
    std::string_view text,
    protocol::Findings* findings);

}  // namespace mustardflow::platform

#endif  // MUSTARDFLOW_PLATFORM_SETTINGS_FILE_H_
