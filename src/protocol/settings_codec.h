// Parses and validates the JSON settings of an entry host.

#ifndef MUSTARDFLOW_PROTOCOL_SETTINGS_CODEC_H_
#define MUSTARDFLOW_PROTOCOL_SETTINGS_CODEC_H_

#include <optional>
#include <string_view>

#include "protocol/findings.h"
#include "state/host_settings.h"

namespace mustardflow::protocol {

// Parses and validates the settings. Returns nullopt if `findings` is not empty
// afterwards, even if it only holds findings from before the call.
std::optional<state::HostSettings> ParseSettings(std::string_view text,
                                                 Findings* findings);

}  // namespace mustardflow::protocol

#endif  // MUSTARDFLOW_PROTOCOL_SETTINGS_CODEC_H_
