// The operators' configuration of all services, as one version.

#ifndef MUSTARDFLOW_STATE_ROUTING_CONFIG_H_
#define MUSTARDFLOW_STATE_ROUTING_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/time.h"

namespace mustardflow::state {

// Whether a request may run more than once.
enum class RequestKind {
  kIdempotent,
  kNonIdempotent,
  // Idempotent, with a large answer.
  kDownload,
};

inline bool MayRetry(RequestKind kind) {
  return kind != RequestKind::kNonIdempotent;
}

struct WeightedService {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string hostname;
  // Begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  // The longest time until the final answer.
  Duration timeout = std::chrono::seconds(1);
  // An answer within this time counts in full.
  Duration target_latency = std::chrono::milliseconds(300);
  // The most backend servers that one request may be sent to.
  int max_attempts = 1;
  // 0 is the most urgent.
  int priority = 0;
  // Never empty; one entry unless the traffic is split.
  std::vector<WeightedService> services;
};

struct ServiceRules {
  int max_connections = 100;
  // How long a started backend server stays cold.
  Duration warmup = Duration(0);
  // Requests a second that a cold backend server bears.
  double cold_rate = 0;
  // Whether each key belongs to one backend server.
  bool keyed = false;
};

struct IngressLimits {
  std::size_t header_bytes = 16 << 10;
  std::size_t body_bytes = 64 << 20;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

// Immutable once built.
class RoutingConfig {
 public:
  RoutingConfig(std::int64_t version,
                std::vector<Route> routes,
                std::map<std::string, ServiceRules> services,
                IngressLimits limits);
  RoutingConfig(const RoutingConfig&) = delete;
  RoutingConfig& operator=(const RoutingConfig&) = delete;

  // The route of this host name with the longest prefix of `path`, or null.
  // `hostname` carries no port.
  const Route* FindRoute(std::string_view hostname,
                         std::string_view path) const;

  std::int64_t version() const { return version_; }
  const std::vector<Route>& routes() const { return routes_; }
  const std::map<std::string, ServiceRules>& services() const {
    return services_;
  }
  const IngressLimits& limits() const { return limits_; }

 private:
  const std::int64_t version_;
  const std::vector<Route> routes_;
  const std::map<std::string, ServiceRules> services_;
  const IngressLimits limits_;
  // Indexes into routes_ by host name, the longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> by_hostname_;
};

}  // namespace mustardflow::state

#endif  // MUSTARDFLOW_STATE_ROUTING_CONFIG_H_
