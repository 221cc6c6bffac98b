// Conversion of messages to and from JSON.

#include "protocol/message_codec.h"

#include <boost/json.hpp>
#include <stdexcept>
#include <utility>

#include "protocol/document_codec.h"
#include "protocol/object_reader.h"

namespace mustardflow::protocol {

namespace json = boost::json;

namespace {

using state::Duration;

// Format version that is written into each record.
constexpr int kRecordVersion = 1;

// Parses `text` and runs `decoder` on the result. Returns nullopt if either
// throws.
template <typename Decoder>
auto TryDecode(std::string_view text, Decoder decoder)
    -> std::optional<decltype(decoder(json::value()))> {
  try {
    return decoder(json::parse(text));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::uint64_t UnsignedField(const json::value& object, std::string_view field) {
  return object.at(field).to_number<std::uint64_t>();
}

std::string StringField(const json::value& object, std::string_view field) {
  return std::string(object.at(field).as_string());
}

bool BoolFieldOrFalse(const json::value& object, std::string_view field) {
  const json::value* found = object.as_object().if_contains(field);
  return found && found->as_bool();
}

state::Address DecodeAddress(const json::value& object,
                             std::string_view field) {
  const auto address = ParseAddress(StringField(object, field));
  if (!address) {
    throw std::invalid_argument("not an IP address with a port");
  }
  return *address;
}

// A term is encoded as an array: witness revision, number, instance.
json::value ToJson(state::Term term) {
  return json::array{term.witness_revision, term.number, term.instance};
}

state::Term TermFrom(const json::value& value) {
  const json::array& parts = value.as_array();
  return {parts.at(0).to_number<std::uint64_t>(),
          parts.at(1).to_number<std::uint64_t>(),
          parts.at(2).to_number<std::uint64_t>()};
}

// A grant is encoded as an array: first hash, last hash, term and sequence of
// its fence, continued (0 or 1). If it has a predecessor, the predecessor's
// name and boot id follow.
json::value ToJson(const state::Grant& grant) {
  json::array parts{grant.range.first, grant.range.last,
                    ToJson(grant.fence.term), grant.fence.sequence,
                    grant.continued ? 1 : 0};
  if (!grant.predecessor.member.empty()) {
    parts.emplace_back(grant.predecessor.member);
    parts.emplace_back(grant.predecessor.boot);
  }
  return parts;
}

state::Grant GrantFrom(const json::value& value) {
  constexpr std::size_t kPartsWithPredecessor = 7;
  const json::array& parts = value.as_array();
  const auto number = [&](std::size_t index) {
    return parts.at(index).to_number<std::uint64_t>();
  };
  state::Grant grant{{number(0), number(1)},
                     {TermFrom(parts.at(2)), number(3)},
                     number(4) != 0};
  if (parts.size() >= kPartsWithPredecessor) {
    grant.predecessor = {std::string(parts.at(5).as_string()), number(6)};
  }
  return grant;
}

json::array ToJson(const std::vector<state::Grant>& grants) {
  json::array array;
  for (const state::Grant& grant : grants) {
    array.push_back(ToJson(grant));
  }
  return array;
}

std::vector<state::Grant> GrantsFrom(const json::value& value) {
  std::vector<state::Grant> grants;
  for (const json::value& element : value.as_array()) {
    grants.push_back(GrantFrom(element));
  }
  return grants;
}

// A slice table is encoded as an object with arrays of servers, terms and
// slices. Each server and each term is written only once. A slice is an array:
// first hash, index of its server, index of the term of its fence, sequence of
// its fence.
json::value ToJson(const state::SliceTable& table) {
  json::array servers;
  json::array terms;
  json::array slices;
  std::map<std::string_view, std::size_t> server_indexes;
  std::map<state::Term, std::size_t> term_indexes;
  for (std::size_t i = 0; i < table.size(); ++i) {
    const state::SliceView slice = table.at(i);
    const auto [server, new_server] =
        server_indexes.try_emplace(slice.server, servers.size());
    if (new_server) {
      servers.emplace_back(slice.server);
    }
    const auto [term, new_term] =
        term_indexes.try_emplace(slice.fence.term, terms.size());
    if (new_term) {
      terms.push_back(ToJson(slice.fence.term));
    }
    slices.push_back(json::array{slice.range.first, server->second,
                                 term->second, slice.fence.sequence});
  }
  return json::object{{"servers", std::move(servers)},
                      {"terms", std::move(terms)},
                      {"slices", std::move(slices)}};
}

state::SliceTable TableFrom(const json::value& value) {
  const json::array& servers = value.at("servers").as_array();
  const json::array& terms = value.at("terms").as_array();
  const json::array& slices = value.at("slices").as_array();
  state::SliceTable table;
  table.Reserve(slices.size());
  state::KeyHash previous = 0;
  for (const json::value& element : slices) {
    const json::array& parts = element.as_array();
    const auto number = [&](std::size_t index) {
      return parts.at(index).to_number<std::uint64_t>();
    };
    const state::KeyHash first = number(0);
    const bool ascending = table.empty() ? first == 0 : first > previous;
    if (!ascending) {
      throw std::invalid_argument("slices are not in ascending order");
    }
    previous = first;
    const json::string& server = servers.at(number(1)).as_string();
    table.Append(first, server, {TermFrom(terms.at(number(2))), number(3)});
  }
  return table;
}

json::value ToJson(const state::HostEntry& host) {
  return json::object{{"name", host.name},
                      {"zone", host.zone},
                      {"instance", host.instance},
                      {"control", FormatAddress(host.control)},
                      {"peers", FormatAddress(host.peers)},
                      {"operators", FormatAddress(host.operators)},
                      {"leaving", host.leaving}};
}

state::HostEntry HostFrom(const json::value& value) {
  state::HostEntry host;
  host.name = StringField(value, "name");
  host.zone = StringField(value, "zone");
  if (value.as_object().contains("instance")) {
    host.instance = UnsignedField(value, "instance");
  }
  host.control = DecodeAddress(value, "control");
  host.peers = DecodeAddress(value, "peers");
  host.operators = DecodeAddress(value, "operators");
  host.leaving = BoolFieldOrFalse(value, "leaving");
  return host;
}

json::value ToJson(const state::ServerEntry& server) {
  return json::object{{"name", server.name},
                      {"address", FormatAddress(server.address)},
                      {"zone", server.zone},
                      {"slots", server.slots},
                      {"connections", server.connections},
                      {"weight", server.weight}};
}

state::ServerEntry ServerFrom(const json::value& value) {
  state::ServerEntry server;
  server.name = StringField(value, "name");
  server.address = DecodeAddress(value, "address");
  server.zone = StringField(value, "zone");
  server.slots = value.at("slots").to_number<int>();
  server.connections = value.at("connections").to_number<int>();
  server.weight = value.at("weight").to_number<double>();
  return server;
}

state::ServiceDocument DocumentFrom(const std::string& text) {
  Findings findings;
  const auto document = ParseDocument(text, &findings);
  if (!document) {
    throw std::invalid_argument("the service document is invalid");
  }
  return *document;
}

json::value ToJson(const state::ServiceConfig& config) {
  json::array established;
  for (const state::ServerEntry& server : config.established_servers) {
    established.push_back(ToJson(server));
  }
  return json::object{{"revision", config.revision},
                      {"text", config.text},
                      {"witness_revision", config.witness_revision},
                      {"established_revision", config.established_revision},
                      {"established_servers", std::move(established)}};
}

state::ServiceConfig ConfigFrom(const json::value& value) {
  state::ServiceConfig config;
  config.revision = UnsignedField(value, "revision");
  config.text = StringField(value, "text");
  config.document = DocumentFrom(config.text);
  config.witness_revision = UnsignedField(value, "witness_revision");
  config.established_revision = UnsignedField(value, "established_revision");
  for (const json::value& server : value.at("established_servers").as_array()) {
    config.established_servers.push_back(ServerFrom(server));
  }
  return config;
}

json::object ToJson(
    const std::map<std::string, state::InServiceState>& in_service_states) {
  json::object object;
  for (const auto& [name, in_service_state] : in_service_states) {
    object[name] = json::object{{"revision", in_service_state.revision},
                                {"in_service", in_service_state.in_service}};
  }
  return object;
}

std::map<std::string, state::InServiceState> InServiceStatesFrom(
    const json::value& value) {
  std::map<std::string, state::InServiceState> in_service_states;
  for (const auto& member : value.as_object()) {
    in_service_states[std::string(member.key())] = {
        UnsignedField(member.value(), "revision"),
        BoolFieldOrFalse(member.value(), "in_service")};
  }
  return in_service_states;
}

json::object ToJson(const state::ConfigSnapshot& snapshot) {
  json::object services;
  for (const auto& [name, config] : snapshot.services) {
    services[name] = ToJson(config);
  }
  json::array results;
  for (const state::RecordResult& result : snapshot.results) {
    results.push_back(json::array{result.id, static_cast<int>(result.outcome),
                                  result.revision});
  }
  return json::object{{"position", snapshot.position},
                      {"services", std::move(services)},
                      {"zones", ToJson(snapshot.zones)},
                      {"hosts", ToJson(snapshot.hosts)},
                      {"results", std::move(results)}};
}

state::RecordOutcome OutcomeFrom(int number) {
  if (number < 0 ||
      number > static_cast<int>(state::RecordOutcome::kRejected)) {
    throw std::invalid_argument("not the number of a record outcome");
  }
  return static_cast<state::RecordOutcome>(number);
}

state::ConfigSnapshot SnapshotFrom(const json::value& value) {
  state::ConfigSnapshot snapshot;
  snapshot.position = UnsignedField(value, "position");
  for (const auto& member : value.at("services").as_object()) {
    snapshot.services[std::string(member.key())] = ConfigFrom(member.value());
  }
  snapshot.zones = InServiceStatesFrom(value.at("zones"));
  snapshot.hosts = InServiceStatesFrom(value.at("hosts"));
  for (const json::value& element : value.at("results").as_array()) {
    const json::array& parts = element.as_array();
    snapshot.results.push_back({std::string(parts.at(0).as_string()),
                                OutcomeFrom(parts.at(1).to_number<int>()),
                                parts.at(2).to_number<std::uint64_t>()});
  }
  return snapshot;
}

// Encodes the body of a record, with a field for its type.
struct BodyEncoder {
  json::object operator()(const state::DocumentRecord& record) const {
    return {{"type", "document"}, {"base", record.base}, {"text", record.text}};
  }
  json::object operator()(const state::ZoneRecord& record) const {
    return {{"type", "zone"},
            {"zone", record.zone},
            {"in_service", record.in_service}};
  }
  json::object operator()(const state::HostRecord& record) const {
    return {{"type", "host"},
            {"host", record.host},
            {"in_service", record.in_service}};
  }
  json::object operator()(const state::WitnessRecord& record) const {
    return {{"type", "witnesses"},
            {"service", record.service},
            {"witness_revision", record.witness_revision}};
  }
  json::object operator()(const state::CheckpointRecord& record) const {
    return {{"type", "checkpoint"}, {"snapshot", ToJson(record.snapshot)}};
  }
};

state::RecordBody BodyFrom(const json::value& value) {
  const std::string type = StringField(value, "type");
  if (type == "document") {
    const std::string text = StringField(value, "text");
    return state::DocumentRecord{UnsignedField(value, "base"),
                                 DocumentFrom(text), text};
  }
  if (type == "zone") {
    return state::ZoneRecord{StringField(value, "zone"),
                             value.at("in_service").as_bool()};
  }
  if (type == "host") {
    return state::HostRecord{StringField(value, "host"),
                             value.at("in_service").as_bool()};
  }
  if (type == "witnesses") {
    return state::WitnessRecord{StringField(value, "service"),
                                UnsignedField(value, "witness_revision")};
  }
  if (type == "checkpoint") {
    return state::CheckpointRecord{SnapshotFrom(value.at("snapshot"))};
  }
  throw std::invalid_argument("unknown record type");
}

}  // namespace

std::string EncodeOrder(const state::Order& order) {
  json::object object{{"service", order.service},
                      {"term", ToJson(order.term)},
                      {"sequence", order.sequence},
                      {"round", order.round}};
  if (order.assignment) {
    object["assignment"] =
        json::object{{"for_boot", order.assignment->for_boot},
                     {"lease_until_us",
                      order.assignment->lease_until.time_since_epoch().count()},
                     {"grants", ToJson(order.assignment->grants)}};
  }
  return json::serialize(object);
}

std::optional<state::Order> DecodeOrder(std::string_view text) {
  return TryDecode(text, [](const json::value& value) {
    state::Order order;
    order.service = StringField(value, "service");
    order.term = TermFrom(value.at("term"));
    order.sequence = UnsignedField(value, "sequence");
    order.round = UnsignedField(value, "round");
    const json::value* found = value.as_object().if_contains("assignment");
    if (found) {
      const auto until = found->at("lease_until_us").to_number<std::int64_t>();
      order.assignment =
          state::Assignment{UnsignedField(*found, "for_boot"),
                            state::ServerInstant(Duration(until)),
                            GrantsFrom(found->at("grants"))};
    }
    return order;
  });
}

std::string EncodeAck(const state::OrderAck& ack) {
  json::array draining;
  for (const state::KeyRange& range : ack.draining) {
    draining.push_back(json::array{range.first, range.last});
  }
  return json::serialize(
      json::object{{"accepted", ack.accepted},
                   {"term", ToJson(ack.term)},
                   {"highest_term", ToJson(ack.highest_term)},
                   {"sequence", ack.sequence},
                   {"round", ack.round},
                   {"boot", ack.boot},
                   {"uptime_us", ack.uptime.count()},
                   {"clock_us", ack.clock.time_since_epoch().count()},
                   {"held", ToJson(ack.held)},
                   {"draining", std::move(draining)}});
}

std::optional<state::OrderAck> DecodeAck(std::string_view text) {
  return TryDecode(text, [](const json::value& value) {
    state::OrderAck ack;
    ack.accepted = value.at("accepted").as_bool();
    ack.term = TermFrom(value.at("term"));
    ack.highest_term = TermFrom(value.at("highest_term"));
    ack.sequence = UnsignedField(value, "sequence");
    ack.round = UnsignedField(value, "round");
    ack.boot = UnsignedField(value, "boot");
    ack.uptime = Duration(value.at("uptime_us").to_number<std::int64_t>());
    ack.clock = state::ServerInstant(
        Duration(value.at("clock_us").to_number<std::int64_t>()));
    ack.held = GrantsFrom(value.at("held"));
    for (const json::value& element : value.at("draining").as_array()) {
      const json::array& parts = element.as_array();
      ack.draining.push_back({parts.at(0).to_number<std::uint64_t>(),
                              parts.at(1).to_number<std::uint64_t>()});
    }
    return ack;
  });
}

std::string EncodeRoutes(const RoutesMessage& message) {
  json::array servers;
  for (const state::ServerStatus& server : message.servers) {
    servers.push_back(json::object{{"name", server.name},
                                   {"answering", server.answering},
                                   {"boot", server.boot}});
  }
  return json::serialize(
      json::object{{"service", message.routes.service},
                   {"term", ToJson(message.routes.term)},
                   {"version", message.routes.version},
                   {"publication", message.publication},
                   {"keys", ToJson(message.routes.keys)},
                   {"routing", ToJson(message.routes.routing)},
                   {"servers", std::move(servers)}});
}

std::optional<RoutesMessage> DecodeRoutes(std::string_view text) {
  return TryDecode(text, [](const json::value& value) {
    RoutesMessage message;
    message.routes.service = StringField(value, "service");
    message.routes.term = TermFrom(value.at("term"));
    message.routes.version = UnsignedField(value, "version");
    message.publication = UnsignedField(value, "publication");
    message.routes.keys = TableFrom(value.at("keys"));
    message.routes.routing = TableFrom(value.at("routing"));
    for (const json::value& server : value.at("servers").as_array()) {
      message.servers.push_back({StringField(server, "name"),
                                 BoolFieldOrFalse(server, "answering"),
                                 UnsignedField(server, "boot")});
    }
    return message;
  });
}

std::string EncodeHeartbeat(const state::Heartbeat& heartbeat) {
  json::array claims;
  for (const state::CoordinatorClaim& claim : heartbeat.claims) {
    claims.push_back(json::object{{"service", claim.service},
                                  {"term", ToJson(claim.term)},
                                  {"routes_version", claim.routes_version}});
  }
  json::array heard;
  for (const state::Address& address : heartbeat.heard) {
    heard.emplace_back(FormatAddress(address));
  }
  return json::serialize(json::object{{"host", ToJson(heartbeat.host)},
                                      {"position", heartbeat.position},
                                      {"claims", std::move(claims)},
                                      {"heard", std::move(heard)}});
}

std::optional<state::Heartbeat> DecodeHeartbeat(std::string_view text) {
  return TryDecode(text, [](const json::value& value) {
    state::Heartbeat heartbeat;
    heartbeat.host = HostFrom(value.at("host"));
    heartbeat.position = UnsignedField(value, "position");
    for (const json::value& claim : value.at("claims").as_array()) {
      heartbeat.claims.push_back({StringField(claim, "service"),
                                  TermFrom(claim.at("term")),
                                  UnsignedField(claim, "routes_version")});
    }
    for (const json::value& address : value.at("heard").as_array()) {
      const auto parsed = ParseAddress(address.as_string());
      if (parsed) {
        heartbeat.heard.push_back(*parsed);
      }
    }
    return heartbeat;
  });
}

std::string EncodeLoad(const std::string& service,
                       const coordination::LoadReport& report) {
  json::array samples(report.samples.begin(), report.samples.end());
  return json::serialize(json::object{{"service", service},
                                      {"requests", report.requests},
                                      {"samples", std::move(samples)}});
}

std::optional<LoadMessage> DecodeLoad(std::string_view text) {
  return TryDecode(text, [](const json::value& value) {
    LoadMessage message;
    message.service = StringField(value, "service");
    message.report.requests = UnsignedField(value, "requests");
    for (const json::value& sample : value.at("samples").as_array()) {
      message.report.samples.push_back(sample.to_number<std::uint64_t>());
    }
    return message;
  });
}

std::string EncodeSnapshot(const state::ConfigSnapshot& snapshot) {
  return json::serialize(ToJson(snapshot));
}

std::optional<state::ConfigSnapshot> DecodeSnapshot(std::string_view text) {
  return TryDecode(text, SnapshotFrom);
}

std::string EncodeRecord(const state::Record& record) {
  json::object object = std::visit(BodyEncoder(), record.body);
  object["version"] = kRecordVersion;
  object["id"] = record.id;
  return json::serialize(object);
}

std::optional<state::Record> DecodeRecord(std::string_view text) {
  return TryDecode(text, [](const json::value& value) {
    return state::Record{StringField(value, "id"), BodyFrom(value)};
  });
}

std::optional<std::vector<state::HostEntry>> DecodeHostList(
    std::string_view text) {
  return TryDecode(text, [](const json::value& value) {
    std::vector<state::HostEntry> hosts;
    for (const json::value& host : value.at("hosts").as_array()) {
      hosts.push_back(HostFrom(host));
    }
    return hosts;
  });
}

}  // namespace mustardflow::protocol
