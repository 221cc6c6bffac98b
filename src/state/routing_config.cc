// Look-up of routes by host name and path prefix.

#include "state/routing_config.h"

#include <algorithm>
#include <utility>

namespace mustardflow::state {

RoutingConfig::RoutingConfig(std::int64_t version,
                             std::vector<Route> routes,
                             std::map<std::string, ServiceRules> services,
                             IngressLimits limits,
                             bool complete,
                             std::optional<Organisations> organisations)
    : version_(version),
      routes_(std::move(routes)),
      services_(std::move(services)),
      limits_(limits),
      complete_(complete),
      organisations_(std::move(organisations)) {
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
  if (organisations_) {
    for (const auto& [name, organisation] : *organisations_) {
      for (const std::string& key : organisation.keys) {
        by_key_.emplace(key, &organisation);
      }
    }
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

const Organisation* RoutingConfig::FindKey(std::string_view key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second;
}

const Organisation* RoutingConfig::FindOrganisation(
    std::string_view name) const {
  if (!organisations_) {
    return nullptr;
  }
  const auto found = organisations_->find(name);
  return found == organisations_->end() ? nullptr : &found->second;
}

}  // namespace mustardflow::state
