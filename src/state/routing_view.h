// The current configuration, ownership table and number of hosts, as known to
// one host.

#ifndef MUSTARDFLOW_STATE_ROUTING_VIEW_H_
#define MUSTARDFLOW_STATE_ROUTING_VIEW_H_

#include <cstddef>
#include <memory>
#include <optional>

#include "state/ownership_table.h"
#include "state/routing_config.h"
#include "state/time.h"

namespace mustardflow::state {

// Owned by the entry host and read by the code that routes requests.
struct RoutingView {
  // Null until the first configuration has been read.
  std::shared_ptr<const RoutingConfig> config;
  // Since when `config` has been in force on this host.
  Instant config_since{};
  // When this host last knew that there was no newer configuration. Nothing if
  // it knows that there is one.
  std::optional<Instant> config_confirmed_at;
  // The time as of which this host knows the entries of servers, if it does.
  std::optional<Instant> servers_confirmed_at;
  OwnershipTable table;
  // The number of hosts that share the limits of a service or server, including
  // this host.
  std::size_t hosts = 1;
};

}  // namespace mustardflow::state

#endif  // MUSTARDFLOW_STATE_ROUTING_VIEW_H_
