// Parsing of the operators' configuration from the platform's store.

#ifndef MUSTARDFLOW_PLATFORM_OPERATOR_CONFIG_H_
#define MUSTARDFLOW_PLATFORM_OPERATOR_CONFIG_H_

#include <memory>
#include <string_view>

#include "protocol/findings.h"
#include "state/routing_config.h"

namespace mustardflow::platform {

// Returns null if `text` is not a configuration. An invalid route is omitted
// and reported as a finding; the other routes remain valid. Missing and invalid
// settings of a service keep their defaults.
std::shared_ptr<const state::RoutingConfig> ParseOperatorConfig(
    std::string_view text,
    protocol::Findings* findings);

}  // namespace mustardflow::platform

#endif  // MUSTARDFLOW_PLATFORM_OPERATOR_CONFIG_H_
