// Parsing and validation of service documents.

#include "protocol/document_codec.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "protocol/object_reader.h"

namespace mustardflow::protocol {

using state::RequestClass;
using state::ServerEntry;
using state::ServiceDocument;

namespace {

constexpr std::int64_t kMaxSlots = 10'000;
constexpr std::int64_t kMaxConnections = 100'000;
constexpr std::int64_t kMaxDeadlineMs = 600'000;
constexpr std::int64_t kMaxPathSegmentIndex = 20;
constexpr double kMaxWeight = 1000;

constexpr std::array<std::string_view, 6> kMethods = {"GET", "HEAD",  "POST",
                                                      "PUT", "PATCH", "DELETE"};

// Returns whether `text` is a valid name of a service, server, zone or class.
bool IsName(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](unsigned char character) {
           return std::isalnum(character) || character == '-' ||
                  character == '_' || character == '.';
         });
}

// Reads one service document and checks the rules that span several fields.
class DocumentReader {
 public:
  DocumentReader(const boost::json::value& value, Findings* findings)
      : root_(value, "", findings) {}

  ServiceDocument Read() {
    ServiceDocument document;
    document.service = Name(root_, "service");
    document.fence_check = root_.Boolean("fence_check", true);
    if (!document.fence_check) {
      root_.Report("fence_check",
                   "servers that do not check fences are not supported yet",
                   "let the servers check fences and set it to true");
    }
    document.zones = ReadZones();
    document.servers = ReadServers(document.zones);
    document.classes = ReadClasses();
    root_.ReportUnknownFields();
    return document;
  }

 private:
  static std::string Name(ObjectReader& reader, std::string_view field) {
    std::string name = reader.String(field, Presence::kRequired);
    if (!name.empty() && !IsName(name)) {
      reader.Report(field, "\"" + name + "\" is not a name",
                    "use letters, digits, dots, dashes and underscores");
    }
    return name;
  }

  std::vector<std::string> ReadZones() {
    auto zones = root_.Strings("zones", Presence::kRequired);
    std::set<std::string> seen;
    for (std::size_t i = 0; i < zones.size(); ++i) {
      const std::string field = "zones/" + std::to_string(i);
      if (!IsName(zones[i])) {
        root_.Report(field, "\"" + zones[i] + "\" is not a name",
                     "use letters, digits, dots, dashes and underscores");
      }
      if (!seen.insert(zones[i]).second) {
        root_.Report(field, "duplicate zone \"" + zones[i] + "\"",
                     "name each zone once");
      }
    }
    return zones;
  }

  // Names and addresses of servers must be unique, and each zone in `zones`
  // must have a server.
  std::vector<ServerEntry> ReadServers(const std::vector<std::string>& zones) {
    std::vector<ServerEntry> servers;
    std::set<std::string> names;
    std::map<state::Address, std::string> addresses;
    for (ObjectReader& reader : root_.Objects("servers", Presence::kRequired)) {
      ServerEntry server = ReadServer(reader);
      if (!names.insert(server.name).second) {
        reader.Report("name", "duplicate server \"" + server.name + "\"",
                      "give each server a name of its own");
      }
      const auto [other, inserted] =
          addresses.try_emplace(server.address, server.name);
      if (!inserted && server.address.port != 0) {
        reader.Report("address",
                      "the address belongs to \"" + other->second + "\"",
                      "give each server an address of its own");
      }
      if (std::find(zones.begin(), zones.end(), server.zone) == zones.end()) {
        reader.Report("zone", "\"" + server.zone + "\" is not in /zones",
                      "use a listed zone or list this one");
      }
      servers.push_back(std::move(server));
    }
    if (servers.empty()) {
      root_.Report("servers", "no servers", "list at least one server");
    }
    ReportEmptyZones(zones, servers);
    return servers;
  }

  static ServerEntry ReadServer(ObjectReader& reader) {
    ServerEntry server;
    server.name = Name(reader, "name");
    server.address = reader.Address("address");
    server.zone = reader.String("zone", Presence::kRequired);
    server.slots =
        static_cast<int>(reader.Integer("slots", 1, kMaxSlots, std::nullopt));
    server.connections = static_cast<int>(
        reader.Integer("connections", 1, kMaxConnections, std::nullopt));
    if (server.connections < server.slots) {
      reader.Report("connections", "fewer connections than slots",
                    "allow at least one connection for each slot");
    }
    server.weight = reader.Number("weight", 0, kMaxWeight, 1);
    reader.ReportUnknownFields();
    return server;
  }

  void ReportEmptyZones(const std::vector<std::string>& zones,
                        const std::vector<ServerEntry>& servers) {
    for (std::size_t i = 0; i < zones.size(); ++i) {
      const bool used = std::any_of(
          servers.begin(), servers.end(),
          [&](const ServerEntry& server) { return server.zone == zones[i]; });
      if (!used) {
        root_.Report("zones/" + std::to_string(i),
                     "zone \"" + zones[i] + "\" has no servers",
                     "add a server in it or remove the zone");
      }
    }
  }

  // A second class with the same method and path would never match a request.
  std::vector<RequestClass> ReadClasses() {
    std::vector<RequestClass> classes;
    std::set<std::string> names;
    std::map<std::pair<std::string, std::string>, std::string> patterns;
    for (ObjectReader& reader : root_.Objects("classes", Presence::kRequired)) {
      RequestClass request_class = ReadClass(reader);
      if (!names.insert(request_class.name).second) {
        reader.Report("name", "duplicate class \"" + request_class.name + "\"",
                      "give each class a name of its own");
      }
      const auto [other, inserted] = patterns.try_emplace(
          {request_class.method, request_class.path}, request_class.name);
      if (!inserted) {
        reader.Report("path",
                      "matches nothing, since class \"" + other->second +
                          "\" has the same method and path",
                      "change the path or remove one of the classes");
      }
      classes.push_back(std::move(request_class));
    }
    if (classes.empty()) {
      root_.Report("classes", "no classes", "list at least one class");
    }
    return classes;
  }

  static RequestClass ReadClass(ObjectReader& reader) {
    RequestClass request_class;
    request_class.name = Name(reader, "name");
    request_class.method = reader.String("method", Presence::kRequired);
    const bool known = std::find(kMethods.begin(), kMethods.end(),
                                 request_class.method) != kMethods.end();
    if (!known && !request_class.method.empty()) {
      reader.Report("method",
                    "matches nothing, since \"" + request_class.method +
                        "\" is not a method",
                    "use GET, HEAD, POST, PUT, PATCH or DELETE");
    }
    request_class.path = reader.String("path", Presence::kRequired);
    if (!request_class.path.empty() && request_class.path[0] != '/') {
      reader.Report("path", "matches nothing, since it does not begin with /",
                    "begin the path with /");
    }
    request_class.idempotent = reader.Boolean("idempotent", std::nullopt);
    request_class.key = ReadKey(reader);
    request_class.deadline = std::chrono::milliseconds(
        reader.Integer("deadline_ms", 1, kMaxDeadlineMs, 2000));
    reader.ReportUnknownFields();
    return request_class;
  }

  static state::KeySource ReadKey(ObjectReader& reader) {
    auto key = reader.Object("key", Presence::kOptional);
    if (!key) {
      return state::NoKey{};
    }
    const std::string from = key->String("from", Presence::kRequired);
    state::KeySource source;
    if (from == "path") {
      source = state::KeyInPath{static_cast<int>(
          key->Integer("segment", 0, kMaxPathSegmentIndex, std::nullopt))};
    } else if (from == "query") {
      source = state::KeyInQuery{key->String("parameter", Presence::kRequired)};
    } else if (from == "header") {
      source = state::KeyInHeader{key->String("field", Presence::kRequired)};
    } else if (!from.empty()) {
      key->Report("from", "\"" + from + "\" is not a place for a key",
                  "use path, query or header");
      return source;
    }
    key->ReportUnknownFields();
    return source;
  }

  ObjectReader root_;
};

}  // namespace

std::optional<ServiceDocument> ParseDocument(std::string_view text,
                                             Findings* findings) {
  const auto value = ParseJson(text, findings);
  if (!value) {
    return std::nullopt;
  }
  return ReadDocument(*value, findings);
}

std::optional<ServiceDocument> ReadDocument(const boost::json::value& value,
                                            Findings* findings) {
  const std::size_t before = findings->list().size();
  ServiceDocument document = DocumentReader(value, findings).Read();
  if (findings->list().size() != before) {
    return std::nullopt;
  }
  return document;
}

}  // namespace mustardflow::protocol
