// What the control thread tells the traffic thread.

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

// A snapshot of everything by which requests are routed. Immutable once it is
// shared.
struct TrafficView {
  std::shared_ptr<const state::ConfigSnapshot> config;
  // By service.
  std::map<std::string, std::shared_ptr<const protocol::RoutesMessage>> routes;
  // Live hosts by name.
  std::map<std::string, state::HostEntry> hosts;
};

// An order to this host, to be applied by the thread that does the work.
struct OrderCall {
  std::uint64_t id = 0;
  state::Order order;
};

struct OrderReply {
  std::uint64_t id = 0;
  state::OrderAck ack;
};

// What the traffic thread tells the control thread.
struct ServiceLoadReport {
  std::string service;
  coordination::LoadReport report;
};

using TrafficEvent = std::variant<OrderReply, ServiceLoadReport>;

using TrafficCommand =
    std::variant<std::shared_ptr<const TrafficView>, OrderCall>;

// The name of a host among the members of a service.
inline std::string HostMemberName(const std::string& host) {
  return "host/" + host;
}

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_TRAFFIC_VIEW_H_
