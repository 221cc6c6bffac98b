// One version of the operators' configuration of all routes and services.

#ifndef MUSTARDFLOW_STATE_ROUTING_CONFIG_H_
#define MUSTARDFLOW_STATE_ROUTING_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/time.h"

namespace mustardflow::state {

// Whether and how a request may be retried.
enum class RequestKind {
  kIdempotent,
  kNonIdempotent,
  // Idempotent, with a large response body.
  kDownload,
};

// Whether a request of this kind may run more than once.
inline bool MayRetry(RequestKind kind) {
  return kind != RequestKind::kNonIdempotent;
}

// Upper bound of Route::max_attempts.
inline constexpr int kMaxAttempts = 10;

// A target of a traffic split.
struct WeightedService {
  std::string service;
  // Relative to the weights of the route's other services.
  double weight = 1;
};

// Maps requests with a host name and a path prefix to services.
struct Route {
  std::string name;
  // In lower case, without a port.
  std::string hostname;
  // Begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  // The maximum time until the final response.
  Duration timeout = std::chrono::seconds(1);
  // A response within this time meets the latency target.
  Duration target_latency = std::chrono::milliseconds(300);
  // The maximum number of backend servers that one request may be sent to;
  // between 1 and kMaxAttempts.
  int max_attempts = 1;
  // 0 is the most urgent.
  int priority = 0;
  // Whether requests need no organisation's key.
  bool is_public = false;
  // One entry unless the traffic is split. Empty if no service could be read;
  // the requests of the route are then refused.
  std::vector<WeightedService> services;
};

// The settings of one service.
struct ServiceRules {
  // The maximum number of connections to one backend server, over all hosts.
  int max_connections = 100;
  // How long a backend server stays cold after its start.
  Duration warmup = Duration(0);
  // Requests per second that a cold backend server can handle.
  double cold_rate = 0;
  // Whether each shard key is owned by one backend server.
  bool keyed = false;
};

// An organisation whose callers may send requests.
struct Organisation {
  std::string name;
  // The keys by which its requests are recognised.
  std::vector<std::string> keys;
  // Takes precedence over the priority of the route.
  std::optional<int> priority;
  // The organisation may send this many requests per second over all hosts, and
  // `burst` in addition. 0 means no limit.
  double rate = 0;
  double burst = 0;

  // Whether this is one of the few organisations with the highest limits.
  bool largest = false;

  bool limited() const { return rate > 0; }
};

// The priority of a request of `organisation`, which is null if it has none.
inline int PriorityOf(const Route& route, const Organisation* organisation) {
  return organisation != nullptr
             ? organisation->priority.value_or(route.priority)
             : route.priority;
}

using Organisations = std::map<std::string, Organisation, std::less<>>;

// Limits on the connections and requests of callers.
struct IngressLimits {
  // Maximum sizes of the header and of the body of a request.
  std::size_t header_bytes = 16 << 10;
  std::size_t body_bytes = 64 << 20;
  // The maximum time from the start of a request until its header is complete.
  Duration header_timeout = std::chrono::seconds(3);
  // The maximum time that a connection may be idle between requests. A whole
  // request has to arrive within `header_timeout + idle_timeout`.
  Duration idle_timeout = std::chrono::seconds(15);
};

// The configuration and an index of its routes. Immutable.
class RoutingConfig {
 public:
  RoutingConfig(std::int64_t version,
                std::vector<Route> routes,
                std::map<std::string, ServiceRules> services,
                IngressLimits limits,
                bool complete = true,
                std::optional<Organisations> organisations = {});
  RoutingConfig(const RoutingConfig&) = delete;
  RoutingConfig& operator=(const RoutingConfig&) = delete;

  // Returns the route of `hostname` with the longest prefix that `path` begins
  // with, or null if there is none. `hostname` is in lower case, without a
  // port.
  const Route* FindRoute(std::string_view hostname,
                         std::string_view path) const;

  // Returns the organisation with this key, or null if there is none.
  const Organisation* FindKey(std::string_view key) const;
  // Returns the organisation with this name, or null if there is none.
  const Organisation* FindOrganisation(std::string_view name) const;

  std::int64_t version() const { return version_; }
  const std::vector<Route>& routes() const { return routes_; }
  const std::map<std::string, ServiceRules>& services() const {
    return services_;
  }
  const IngressLimits& limits() const { return limits_; }
  // Nullopt if requests need no key.
  const std::optional<Organisations>& organisations() const {
    return organisations_;
  }
  // Whether all routes, keys and limits on sizes could be read. If not, it is
  // not known whether the operators allow a request that matches no route, has
  // an unknown key or exceeds a limit.
  bool complete() const { return complete_; }

 private:
  const std::int64_t version_;
  const std::vector<Route> routes_;
  const std::map<std::string, ServiceRules> services_;
  const IngressLimits limits_;
  const bool complete_;
  const std::optional<Organisations> organisations_;
  // Maps a host name to indexes into routes_, sorted by descending length of
  // the prefix.
  std::unordered_map<std::string, std::vector<std::size_t>> by_hostname_;
  // Refers to keys and entries of organisations_.
  std::unordered_map<std::string_view, const Organisation*> by_key_;
};

}  // namespace mustardflow::state

#endif  // MUSTARDFLOW_STATE_ROUTING_CONFIG_H_
