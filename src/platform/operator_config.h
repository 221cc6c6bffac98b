// The operators' configuration as the platform's store holds it.

#ifndef MUSTARDFLOW_PLATFORM_OPERATOR_CONFIG_H_
#define MUSTARDFLOW_PLATFORM_OPERATOR_CONFIG_H_

#include <memory>
#include <string_view>

#include "protocol/findings.h"
#include "state/routing_config.h"

namespace mustardflow::platform {

// Returns null if the text is no configuration. A route or service that cannot
// be read is left out with a finding; the others hold.
std::shared_ptr<const state::RoutingConfig> ParseOperatorConfig(
    std::string_view text,
    protocol::Findings* findings);

}  // namespace mustardflow::platform

#endif  // MUSTARDFLOW_PLATFORM_OPERATOR_CONFIG_H_
