// The data that the control thread and the traffic thread exchange.

#ifndef MUSTARDFLOW_TRANSPORT_TRAFFIC_VIEW_H_
#define MUSTARDFLOW_TRANSPORT_TRAFFIC_VIEW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include "coordination/load_sampler.h"
#include "protocol/message_codec.h"
#include "state/config.h"
#include "state/grant.h"
#include "state/host_entry.h"

namespace mustardflow::transport {

// A snapshot of the data that the traffic thread routes requests by. Immutable
// once it is shared between the threads.
struct TrafficView {
  std::shared_ptr<const state::ConfigSnapshot> config;
  // The newest routes by service.
  std::map<std::string, std::shared_ptr<const protocol::RoutesMessage>> routes;
  // Live hosts by name.
  std::map<std::string, state::HostEntry> hosts;
};

// An order to this host. The traffic thread applies it, because that thread
// performs the duties which the order changes.
struct OrderCall {
  std::uint64_t id = 0;
  state::Order order;
};

// The acknowledgement of the OrderCall with the same id.
struct OrderReply {
  std::uint64_t id = 0;
  state::OrderAck ack;
};

// The load of one service since the last report.
struct ServiceLoadReport {
  std::string service;
  coordination::LoadReport report;
};

// A message from the traffic thread to the control thread.
using TrafficEvent = std::variant<OrderReply, ServiceLoadReport>;

// A message from the control thread to the traffic thread.
using TrafficCommand =
    std::variant<std::shared_ptr<const TrafficView>, OrderCall>;

// Returns the member name of a host. The members of a service are its backend
// servers and the hosts; the prefix keeps the names of hosts distinct from
// those of servers.
inline std::string HostMemberName(const std::string& host) {
  return "host/" + host;
}

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_TRAFFIC_VIEW_H_
