// Look-up of routes by host name and path prefix.

#include "state/routing_config.h"

#include <algorithm>
#include <utility>

namespace mustardflow::state {

RoutingConfig::RoutingConfig(std::int64_t version,
                             std::vector<Route> routes,
                             std::map<std::string, ServiceRules> services,
                             IngressLimits limits,
                             bool complete)
    : version_(version),
      routes_(std::move(routes)),
      services_(std::move(services)),
      limits_(limits),
      complete_(complete) {
  for (std::size_t i = 0; i < routes_.size(); ++i) {
    by_hostname_[routes_[i].hostname].push_back(i);
  }
  for (auto& [hostname, indexes] : by_hostname_) {
    std::sort(indexes.begin(), indexes.end(),
              [this](std::size_t left, std::size_t right) {
                return routes_[left].prefix.size() >
                       routes_[right].prefix.size();
              });
  }
}

const Route* RoutingConfig::FindRoute(std::string_view hostname,
                                      std::string_view path) const {
  const auto found = by_hostname_.find(std::string(hostname));
  if (found == by_hostname_.end()) {
    return nullptr;
  }
  for (const std::size_t index : found->second) {
    if (path.starts_with(routes_[index].prefix)) {
      return &routes_[index];
    }
  }
  return nullptr;
}

}  // namespace mustardflow::state
