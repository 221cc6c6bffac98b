// Implements the JSON pages for status, key owners, results and configuration.

#include "transport/operator_pages.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstddef>
#include <string_view>
#include <utility>

#include "platform/backend_protocol.h"
#include "protocol/object_reader.h"

namespace mustardflow::transport {

namespace json = boost::json;

namespace {

HttpReply NotFound(std::string_view what) {
  return {404, json::serialize(json::object{{"error", what}})};
}

bool InService(
    const std::map<std::string, state::InServiceState>& in_service_states,
    const std::string& name) {
  const auto found = in_service_states.find(name);
  return found == in_service_states.end() || found->second.in_service;
}

// Returns for each server of a service whether it answers its coordinator, its
// boot id and its number of slices. Stores the number of slices without an
// owner in `unowned`.
json::object ServersJson(const protocol::RoutesMessage& routes,
                         std::size_t* unowned) {
  std::map<std::string, std::size_t> slices;
  const state::SliceTable& keys = routes.routes.keys;
  for (std::size_t i = 0; i < keys.size(); ++i) {
    ++slices[std::string(keys.at(i).server)];
  }
  *unowned = slices[""];
  json::object servers;
  for (const state::ServerStatus& server : routes.servers) {
    servers[server.name] = json::object{{"answering", server.answering},
                                        {"boot", server.boot},
                                        {"slices", slices[server.name]}};
  }
  return servers;
}

}  // namespace

OperatorPages::OperatorPages(const OperatorView& view, state::Instant now)
    : view_(view), now_(now) {}

HttpReply OperatorPages::Answer(const HttpRequest& request) const {
  if (request.path == "/livez") {
    return {200, R"({"live":true})"};
  }
  if (request.path == "/readyz") {
    return Ready();
  }
  if (request.path == "/v1/status") {
    return Status();
  }
  if (request.path == "/v1/owner") {
    return Owner(request);
  }
  if (request.path == "/v1/result") {
    return Result(request);
  }
  if (request.path == "/v1/config") {
    return Config(request);
  }
  return NotFound("no such path");
}

HttpReply OperatorPages::Ready() const {
  const bool ready =
      !view_.routes.empty() &&
      std::all_of(view_.routes.begin(), view_.routes.end(),
                  [](const auto& each) { return each.second != nullptr; });
  return {ready ? 200 : 503,
          ready ? R"({"ready":true})" : R"({"ready":false})"};
}

HttpReply OperatorPages::Status() const {
  const state::ConfigSnapshot& snapshot = view_.fold.snapshot();
  json::object services;
  for (const auto& [name, routes] : view_.routes) {
    const state::ServiceConfig& config = snapshot.services.at(name);
    const auto coordinator = view_.directory.CoordinatorOf(now_, name);
    std::size_t unowned = 0;
    json::object servers;
    if (routes) {
      servers = ServersJson(*routes, &unowned);
    }
    services[name] =
        json::object{{"revision", config.revision},
                     {"witness_revision", config.witness_revision},
                     {"established_revision", config.established_revision},
                     {"coordinator", coordinator.value_or("")},
                     {"unowned_slices", unowned},
                     {"servers", std::move(servers)}};
  }
  json::object hosts;
  for (const state::HostEntry& host : view_.live_hosts) {
    hosts[host.name] =
        json::object{{"zone", host.zone},
                     {"leaving", host.leaving},
                     {"in_service", InService(snapshot.hosts, host.name)},
                     {"operators", protocol::FormatAddress(host.operators)}};
  }
  json::object zones;
  for (const auto& [name, each] : snapshot.zones) {
    zones[name] = json::object{{"in_service", each.in_service},
                               {"revision", each.revision}};
  }
  return {200,
          json::serialize(json::object{
              {"host", view_.host},
              {"position", view_.fold.position()},
              {"waits_for_checkpoint", view_.fold.waiting_for_checkpoint()},
              {"malformed_records", view_.fold.malformed_records()},
              {"services", std::move(services)},
              {"hosts", std::move(hosts)},
              {"zones", std::move(zones)}})};
}

HttpReply OperatorPages::Owner(const HttpRequest& request) const {
  const auto service = request.query.find("service");
  const auto key = request.query.find("key");
  if (service == request.query.end() || key == request.query.end()) {
    return {400, R"({"error":"give service and key"})"};
  }
  const auto found = view_.routes.find(service->second);
  if (found == view_.routes.end() || !found->second ||
      found->second->routes.keys.empty()) {
    return NotFound("no routes of this service");
  }
  const state::SliceView slice =
      found->second->routes.keys.Find(state::HashKey(key->second));
  return {200, json::serialize(
                   json::object{{"service", service->second},
                                {"key", key->second},
                                {"server", slice.server},
                                {"fence", platform::FormatFence(slice.fence)},
                                {"slice_first", slice.range.first},
                                {"slice_last", slice.range.last}})};
}

HttpReply OperatorPages::Result(const HttpRequest& request) const {
  const auto id = request.query.find("id");
  const auto result = id == request.query.end()
                          ? std::nullopt
                          : view_.fold.FindResult(id->second);
  if (!result) {
    return NotFound("no result of this id");
  }
  return {200, json::serialize(json::object{
                   {"id", result->id},
                   {"outcome", state::RecordOutcomeName(result->outcome)},
                   {"revision", result->revision},
                   {"position", view_.fold.position()}})};
}

HttpReply OperatorPages::Config(const HttpRequest& request) const {
  const auto service = request.query.find("service");
  const auto& services = view_.fold.snapshot().services;
  const auto found = service == request.query.end()
                         ? services.end()
                         : services.find(service->second);
  if (found == services.end()) {
    return {200, R"({"revision":0,"text":""})"};
  }
  return {200,
          json::serialize(json::object{{"revision", found->second.revision},
                                       {"text", found->second.text}})};
}

}  // namespace mustardflow::transport
