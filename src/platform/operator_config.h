// Parsing of the operators' configuration from the platform's store.

#ifndef MUSTARDFLOW_PLATFORM_OPERATOR_CONFIG_H_
#define MUSTARDFLOW_PLATFORM_OPERATOR_CONFIG_H_

#include <memory>
#include <string_view>

#include "protocol/findings.h"
#include "state/routing_config.h"

namespace mustardflow::platform {

// Returns null and adds a finding if `text` is not JSON or lacks a valid
// version or routes. Omits each invalid route and reports it as a finding; the
// other routes remain valid. Missing and invalid settings of a service keep
// their defaults.
std::shared_ptr<const state::RoutingConfig> ParseOperatorConfig(
    std::string_view text,
    protocol::Findings* findings);

}  // namespace mustardflow::platform

#endif  // MUSTARDFLOW_PLATFORM_OPERATOR_CONFIG_H_
