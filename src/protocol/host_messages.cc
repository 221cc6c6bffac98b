// JSON encoding and decoding of host messages and store records.

#include "protocol/host_messages.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <stdexcept>
#include <utility>

#include "protocol/announcement_codec.h"
#include "protocol/crash_codec.h"
#include "protocol/object_reader.h"

namespace mustardflow::protocol {

namespace json = boost::json;

namespace {

state::Address ReadAddress(const json::value& value) {
  const auto address = ParseAddress(std::string(value.as_string()));
  if (!address) {
    throw std::invalid_argument("not an IP address with a port");
  }
  return *address;
}

// Eras are left out where the store has none, and by hosts of earlier versions.
void WriteEra(std::string_view name, std::int64_t era, json::object* object) {
  if (era > 0) {
    object->emplace(name, era);
  }
}

std::int64_t ReadEra(const json::value& value, std::string_view name) {
  const json::value* era = value.as_object().if_contains(name);
  return era == nullptr ? 0 : era->to_number<std::int64_t>();
}

// Strengths are compared and added, so they must be finite.
double ReadStrength(const json::value& value) {
  const double strength = value.to_number<double>();
  if (!std::isfinite(strength) || strength < 0) {
    throw std::invalid_argument("not a strength");
  }
  return strength;
}

// An incarnation is encoded as an array: server id, start time.
json::array EncodeIncarnation(const state::ServerIncarnation& incarnation) {
  return {incarnation.id, incarnation.start_time_ms};
}

state::ServerIncarnation ReadIncarnation(const json::value& value) {
  return {std::string(value.at(0).as_string()),
          value.at(1).to_number<std::int64_t>()};
}

// A range is encoded as an array: first key, last key, fence, whether it is
// served, holder, former holders.
json::array EncodeRange(const state::OwnedRange& range) {
  json::array former;
  for (const state::ServerIncarnation& incarnation : range.former) {
    former.push_back(EncodeIncarnation(incarnation));
  }
  return {range.first,
          range.last,
          range.fence,
          range.serving,
          EncodeIncarnation(range.holder),
          std::move(former)};
}

state::OwnedRange ReadRange(const json::value& value) {
  state::OwnedRange range;
  range.first = value.at(0).to_number<std::int32_t>();
  range.last = value.at(1).to_number<std::int32_t>();
  range.fence = value.at(2).to_number<std::int64_t>();
  range.serving = value.at(3).as_bool();
  range.holder = ReadIncarnation(value.at(4));
  for (const json::value& former : value.at(5).as_array()) {
    range.former.push_back(ReadIncarnation(former));
  }
  if (range.first < 0 || range.last < range.first ||
      range.last >= state::kShardKeyCount) {
    throw std::invalid_argument("not a range of keys");
  }
  return range;
}

json::array EncodeRanges(const state::ServiceRanges& ranges) {
  json::array list;
  for (const state::OwnedRange& range : ranges) {
    list.push_back(EncodeRange(range));
  }
  return list;
}

// Throws if the ranges are not in ascending order or overlap.
state::ServiceRanges ReadRanges(const json::value& list) {
  state::ServiceRanges ranges;
  for (const json::value& range : list.as_array()) {
    ranges.push_back(ReadRange(range));
    if (ranges.size() > 1 &&
        ranges[ranges.size() - 2].last >= ranges.back().first) {
      throw std::invalid_argument("ranges out of order");
    }
  }
  return ranges;
}

// Length of the quotation marks, colon and comma of a JSON member.
constexpr std::size_t kMemberSyntaxBytes = 6;

json::array EncodeAddresses(const std::vector<state::Address>& addresses) {
  json::array list;
  for (const state::Address& address : addresses) {
    list.emplace_back(FormatAddress(address));
  }
  return list;
}

std::vector<state::Address> ReadAddresses(const json::value& list) {
  std::vector<state::Address> addresses;
  for (const json::value& address : list.as_array()) {
    addresses.push_back(ReadAddress(address));
  }
  return addresses;
}

using ChangedRanges = std::map<std::string, state::ServiceRanges>;
using ChangedGates = std::map<std::string, std::optional<state::Address>>;
using ChangedLimits = std::map<std::string, std::optional<state::ServerLimit>>;

json::object EncodeChanges(const ChangedRanges& changes) {
  json::object object;
  for (const auto& [service, ranges] : changes) {
    object[service] = EncodeRanges(ranges);
  }
  return object;
}

ChangedRanges ReadChanges(const json::value& object) {
  ChangedRanges changes;
  for (const auto& [service, list] : object.as_object()) {
    changes[std::string(service)] = ReadRanges(list);
  }
  return changes;
}

json::object EncodeGates(const ChangedGates& gates) {
  json::object object;
  for (const auto& [server, address] : gates) {
    object[server] =
        address ? json::value(FormatAddress(*address)) : json::value(nullptr);
  }
  return object;
}

ChangedGates ReadGates(const json::value& object) {
  ChangedGates gates;
  for (const auto& [server, address] : object.as_object()) {
    gates[std::string(server)] =
        address.is_null() ? std::nullopt : std::optional(ReadAddress(address));
  }
  return gates;
}

json::value EncodeLimit(const state::ServerLimit& limit) {
  return json::array{limit.start_time_ms, limit.rate ? json::value(*limit.rate)
                                                     : json::value(nullptr)};
}

state::ServerLimit ReadLimit(const json::value& value) {
  state::ServerLimit limit;
  limit.start_time_ms = value.at(0).to_number<std::int64_t>();
  if (!value.at(1).is_null()) {
    limit.rate = value.at(1).to_number<double>();
    if (!std::isfinite(*limit.rate) || *limit.rate < 0) {
      throw std::invalid_argument("invalid limit");
    }
  }
  return limit;
}

json::object EncodeLimits(const ChangedLimits& limits) {
  json::object object;
  for (const auto& [server, limit] : limits) {
    object[server] = limit ? EncodeLimit(*limit) : json::value(nullptr);
  }
  return object;
}

// Leaders of earlier versions send none.
ChangedLimits ReadLimits(const json::value& parent) {
  ChangedLimits limits;
  if (const json::value* object = parent.as_object().if_contains("limits")) {
    for (const auto& [server, limit] : object->as_object()) {
      limits[std::string(server)] =
          limit.is_null() ? std::nullopt : std::optional(ReadLimit(limit));
    }
  }
  return limits;
}

json::object EncodeTableUpdate(const state::TableUpdate& update) {
  return {{"term", update.term},
          {"base_revision", update.base_revision},
          {"revision", update.revision},
          {"changes", EncodeChanges(update.changes)},
          {"gates", EncodeGates(update.gates)},
          {"limits", EncodeLimits(update.limits)}};
}

state::TableUpdate ReadTableUpdate(const json::value& value) {
  state::TableUpdate update;
  update.term = value.at("term").to_number<std::int64_t>();
  update.base_revision = value.at("base_revision").to_number<std::int64_t>();
  update.revision = value.at("revision").to_number<std::int64_t>();
  update.changes = ReadChanges(value.at("changes"));
  update.gates = ReadGates(value.at("gates"));
  update.limits = ReadLimits(value);
  return update;
}

json::array EncodeEntries(const std::vector<ServerEntryChange>& entries) {
  json::array list;
  for (const auto& [id, entry] : entries) {
    list.push_back(
        json::array{id, entry ? json::value(*entry) : json::value(nullptr)});
  }
  return list;
}

std::vector<ServerEntryChange> ReadEntries(const json::value& list) {
  std::vector<ServerEntryChange> entries;
  for (const json::value& entry : list.as_array()) {
    const json::value& text = entry.at(1);
    entries.emplace_back(std::string(entry.at(0).as_string()),
                         text.is_null()
                             ? std::nullopt
                             : std::optional(std::string(text.as_string())));
  }
  return entries;
}

json::object EncodeUpdate(const HeartbeatUpdate& update) {
  return {{"base_revision", update.base_revision},
          {"changes", EncodeChanges(update.changes)},
          {"gates", EncodeGates(update.gates)},
          {"limits", EncodeLimits(update.limits)},
          {"base_servers", update.base_server_offset},
          {"entries", EncodeEntries(update.entries)},
          {"entry_part", update.entry_part},
          {"entry_parts", update.entry_parts}};
}

HeartbeatUpdate ReadUpdate(const json::value& value) {
  HeartbeatUpdate update;
  update.base_revision = value.at("base_revision").to_number<std::int64_t>();
  update.base_server_offset =
      value.at("base_servers").to_number<std::int64_t>();
  update.entry_part = value.at("entry_part").to_number<std::int64_t>();
  update.entry_parts = value.at("entry_parts").to_number<std::int64_t>();
  update.changes = ReadChanges(value.at("changes"));
  update.gates = ReadGates(value.at("gates"));
  update.limits = ReadLimits(value);
  update.entries = ReadEntries(value.at("entries"));
  return update;
}

// Fractions are encoded as integers in this unit.
constexpr double kFractionUnit = 1e-5;
// Counts of one interval above this are not those of a host. Sums of them do
// not overflow.
constexpr std::int64_t kMaxCount = 1000000000;
constexpr std::size_t kMaxIntervals = 2;

json::object EncodeFractions(const admission::OrganisationFractions& value) {
  json::object fractions;
  for (const auto& [name, fraction] : value.fractions) {
    fractions[name] =
        static_cast<std::int64_t>(std::llround(fraction / kFractionUnit));
  }
  return {{"complete", value.complete}, {"fractions", std::move(fractions)}};
}

admission::OrganisationFractions ReadFractions(const json::value& value) {
  admission::OrganisationFractions read;
  read.complete = value.at("complete").as_bool();
  for (const auto& [name, fraction] : value.at("fractions").as_object()) {
    read.fractions[std::string(name)] = std::clamp(
        static_cast<double>(fraction.to_number<std::int64_t>()) * kFractionUnit,
        0.0, 1.0);
  }
  return read;
}

// A count is encoded as an array: offered, admitted.
json::object EncodeOrganisations(const admission::OrganisationReport& report) {
  json::array intervals;
  for (const admission::RequestCounts& counts : report.counts) {
    json::object interval;
    for (const auto& [name, count] : counts) {
      interval[name] = json::array{count.offered, count.admitted};
    }
    intervals.push_back(std::move(interval));
  }
  return {{"sequence", report.sequence},
          {"interval", report.interval},
          {"counts", std::move(intervals)}};
}

admission::OrganisationReport ReadOrganisations(const json::value& value) {
  admission::OrganisationReport report;
  report.sequence = value.at("sequence").to_number<std::int64_t>();
  report.interval = value.at("interval").to_number<std::int64_t>();
  const json::array& intervals = value.at("counts").as_array();
  if (report.interval < 0 || intervals.size() > kMaxIntervals) {
    throw std::invalid_argument("not intervals of a report");
  }
  for (const json::value& interval : intervals) {
    admission::RequestCounts& counts = report.counts.emplace_back();
    for (const auto& [name, count] : interval.as_object()) {
      counts[std::string(name)] = {
          std::clamp<std::int64_t>(count.at(0).to_number<std::int64_t>(), 0,
                                   kMaxCount),
          std::clamp<std::int64_t>(count.at(1).to_number<std::int64_t>(),
                                   -kMaxCount, kMaxCount)};
    }
  }
  return report;
}

struct MessageWriter {
  json::object operator()(const LeaderHeartbeat& heartbeat) const {
    json::object object = {
        {"kind", "beat"},
        {"host", heartbeat.host},
        {"address", FormatAddress(heartbeat.address)},
        {"term", heartbeat.term},
        {"revision", heartbeat.revision},
        {"operators", heartbeat.progress.operators},
        {"servers", heartbeat.progress.servers},
        {"age_us", heartbeat.progress.age.count()},
        {"operators_age_us", heartbeat.progress.operators_age.count()},
        {"yielding", heartbeat.stepping_down},
        {"hosts", heartbeat.hosts},
        {"number", heartbeat.number}};
    WriteEra("era", heartbeat.era, &object);
    WriteEra("read_era", heartbeat.progress.era, &object);
    if (!heartbeat.relay_to.empty()) {
      object["relay_to"] = EncodeAddresses(heartbeat.relay_to);
    }
    if (heartbeat.organisations) {
      object["organisations"] = EncodeFractions(*heartbeat.organisations);
    }
    if (!heartbeat.crashing_requests.empty()) {
      object["crashing"] = EncodeCrashingRequests(heartbeat.crashing_requests);
    }
    if (heartbeat.update) {
      object["news"] = EncodeUpdate(*heartbeat.update);
    }
    return object;
  }
  json::object operator()(const LeaderQuery& query) const {
    return {{"kind", "question"},
            {"host", query.host},
            {"claim", query.claim},
            {"zone", query.zone},
            {"strength", query.strength}};
  }
  json::object operator()(const LeaderQueryReply& reply) const {
    json::object object{
        {"kind", "opinion"}, {"host", reply.host}, {"term", reply.term}};
    WriteEra("era", reply.era, &object);
    if (reply.heard) {
      object["heard_us"] = reply.heard->count();
    }
    if (reply.leader) {
      object["leader"] = FormatAddress(*reply.leader);
    }
    return object;
  }
  json::object operator()(const HostReport& report) const {
    json::object load;
    for (const auto& [service, load_report] : report.load) {
      load[service] =
          json::object{{"requests", load_report.requests},
                       {"samples", json::value_from(load_report.samples)}};
    }
    json::object object{
        {"kind", "report"},
        {"host", report.host},
        {"term", report.term},
        {"beat", report.heartbeat_number},
        {"load", std::move(load)},
        {"zone", report.zone},
        {"strength", report.strength},
        {"forward", report.forward_address},
        {"stopping", report.stopping},
        {"slowness", json::value_from(report.relative_latency)},
        {"execution_s", json::value_from(report.execution_seconds)},
        {"announced", EncodeAnnouncements(report.announcements)}};
    WriteEra("era", report.era, &object);
    if (report.organisations.interval > 0) {
      object["organisations"] = EncodeOrganisations(report.organisations);
    }
    if (!report.crashes.empty()) {
      object["crashes"] = EncodeCrashReport(report.crashes);
    }
    return object;
  }
};

// Throws if a member is missing or has the wrong type, or if the kind is not
// known.
HostMessage ReadMessage(const json::object& object) {
  const std::string kind(object.at("kind").as_string());
  std::string host(object.at("host").as_string());
  if (kind == "beat") {
    LeaderHeartbeat heartbeat;
    heartbeat.host = std::move(host);
    heartbeat.address = ReadAddress(object.at("address"));
    if (const json::value* relay_to = object.if_contains("relay_to")) {
      heartbeat.relay_to = ReadAddresses(*relay_to);
    }
    heartbeat.term = object.at("term").to_number<std::int64_t>();
    heartbeat.era = ReadEra(object, "era");
    heartbeat.progress.era = ReadEra(object, "read_era");
    heartbeat.revision = object.at("revision").to_number<std::int64_t>();
    heartbeat.progress.operators =
        object.at("operators").to_number<std::int64_t>();
    heartbeat.progress.servers = object.at("servers").to_number<std::int64_t>();
    heartbeat.progress.age =
        state::Duration(object.at("age_us").to_number<std::int64_t>());
    const json::value* operators_age = object.if_contains("operators_age_us");
    heartbeat.progress.operators_age =
        operators_age != nullptr
            ? state::Duration(operators_age->to_number<std::int64_t>())
            : kUnknownAge;
    heartbeat.stepping_down = object.at("yielding").as_bool();
    heartbeat.hosts = object.at("hosts").to_number<std::size_t>();
    heartbeat.number = object.at("number").to_number<std::int64_t>();
    // Leaders of earlier versions send none.
    if (const json::value* value = object.if_contains("organisations")) {
      heartbeat.organisations = ReadFractions(*value);
    }
    if (const json::value* value = object.if_contains("crashing")) {
      heartbeat.crashing_requests = ReadCrashingRequests(*value);
    }
    if (const json::value* update = object.if_contains("news")) {
      heartbeat.update = ReadUpdate(*update);
    }
    return heartbeat;
  }
  if (kind == "question") {
    return LeaderQuery{std::move(host),
                       std::string(object.at("claim").as_string()),
                       std::string(object.at("zone").as_string()),
                       ReadStrength(object.at("strength"))};
  }
  if (kind == "opinion") {
    LeaderQueryReply reply;
    reply.host = std::move(host);
    reply.term = object.at("term").to_number<std::int64_t>();
    reply.era = ReadEra(object, "era");
    if (const json::value* heard = object.if_contains("heard_us")) {
      reply.heard = state::Duration(heard->to_number<std::int64_t>());
    }
    if (const json::value* leader = object.if_contains("leader")) {
      reply.leader = ReadAddress(*leader);
    }
    return reply;
  }
  if (kind != "report") {
    throw std::invalid_argument("unknown kind of message");
  }
  HostReport report;
  report.host = std::move(host);
  report.term = object.at("term").to_number<std::int64_t>();
  report.era = ReadEra(object, "era");
  report.heartbeat_number = object.at("beat").to_number<std::int64_t>();
  report.zone = std::string(object.at("zone").as_string());
  report.strength = ReadStrength(object.at("strength"));
  report.forward_address = std::string(object.at("forward").as_string());
  report.stopping = object.at("stopping").as_bool();
  for (const auto& [service, value] : object.at("load").as_object()) {
    coordination::LoadReport& load = report.load[std::string(service)];
    load.requests = value.at("requests").to_number<std::uint64_t>();
    for (const json::value& sample : value.at("samples").as_array()) {
      load.samples.push_back(sample.to_number<state::ShardKey>());
    }
  }
  for (const auto& [server, value] : object.at("slowness").as_object()) {
    report.relative_latency[std::string(server)] = value.to_number<double>();
  }
  // Hosts of earlier versions send none of these.
  if (const json::value* times = object.if_contains("execution_s")) {
    for (const auto& [service, value] : times->as_object()) {
      report.execution_seconds[std::string(service)] =
          value.to_number<double>();
    }
  }
  if (const json::value* announced = object.if_contains("announced")) {
    report.announcements = ReadAnnouncements(*announced);
  }
  if (const json::value* value = object.if_contains("organisations")) {
    report.organisations = ReadOrganisations(*value);
  }
  if (const json::value* value = object.if_contains("crashes")) {
    report.crashes = ReadCrashReport(*value);
  }
  return report;
}

// Returns whether the ranges, which are in ascending order, cover each key.
bool CoversAllKeys(const state::ServiceRanges& ranges) {
  std::int32_t next = 0;
  for (const state::OwnedRange& range : ranges) {
    if (range.first != next || range.last < range.first) {
      return false;
    }
    next = range.last + 1;
  }
  return next == state::kShardKeyCount;
}

// Throws if a member is missing or has the wrong type, or if the ranges of a
// service do not cover all keys.
state::OwnershipTable ReadTable(const json::value& value) {
  state::OwnershipTable table;
  table.term = value.at("term").to_number<std::int64_t>();
  table.revision = value.at("revision").to_number<std::int64_t>();
  for (const auto& [service, list] : value.at("services").as_object()) {
    state::ServiceRanges ranges = ReadRanges(list);
    if (!CoversAllKeys(ranges)) {
      throw std::invalid_argument("keys without a range");
    }
    table.services.emplace(std::string(service), std::move(ranges));
  }
  for (const auto& [server, address] : value.at("gates").as_object()) {
    table.gates[std::string(server)] = ReadAddress(address);
  }
  for (const auto& [server, limit] : ReadLimits(value)) {
    if (limit) {
      table.limits[server] = *limit;
    }
  }
  return table;
}

}  // namespace

std::vector<HeartbeatUpdate> SplitUpdate(const HeartbeatUpdate& update,
                                         std::size_t max_bytes) {
  std::vector<HeartbeatUpdate> parts;
  std::size_t bytes = 0;
  std::int64_t revision = update.base_revision;
  const auto extend_or_start_part = [&](std::size_t size, bool first,
                                        bool is_change) {
    if (!first && bytes + size <= max_bytes) {
      bytes += size;
      return;
    }
    bytes = size;
    parts.emplace_back();
    parts.back().base_revision = is_change ? revision++ : revision;
    parts.back().base_server_offset = update.base_server_offset;
  };
  bool first = true;
  for (const auto& [service, ranges] : update.changes) {
    for (const state::OwnedRange& range : ranges) {
      const std::size_t name_bytes =
          !first && parts.back().changes.contains(service)
              ? 0
              : service.size() + kMemberSyntaxBytes;
      extend_or_start_part(
          json::serialize(EncodeRange(range)).size() + 1 + name_bytes, first,
          true);
      parts.back().changes[service].push_back(range);
      first = false;
    }
  }
  for (const auto& [server, address] : update.gates) {
    const std::size_t address_bytes =
        address ? FormatAddress(*address).size() : 0;
    extend_or_start_part(server.size() + address_bytes + kMemberSyntaxBytes,
                         first, true);
    parts.back().gates[server] = address;
    first = false;
  }
  for (const auto& [server, limit] : update.limits) {
    const std::size_t limit_bytes =
        limit ? json::serialize(EncodeLimit(*limit)).size() : 0;
    extend_or_start_part(server.size() + limit_bytes + kMemberSyntaxBytes,
                         first, true);
    parts.back().limits[server] = limit;
    first = false;
  }
  first = true;
  const std::size_t change_parts = parts.size();
  for (const auto& entry : update.entries) {
    const std::size_t text = entry.second ? entry.second->size() : 0;
    // A quarter of the length is added for the escapes of quotation marks.
    extend_or_start_part(entry.first.size() + text + text / 4, first, false);
    parts.back().entries.push_back(entry);
    first = false;
  }
  const std::size_t entry_parts = parts.size() - change_parts;
  for (std::size_t i = 0; i < entry_parts; ++i) {
    parts[change_parts + i].entry_part = static_cast<std::int64_t>(i);
    parts[change_parts + i].entry_parts =
        static_cast<std::int64_t>(entry_parts);
  }
  return parts;
}

std::string EncodeMessage(const HostMessage& message) {
  return json::serialize(std::visit(MessageWriter{}, message));
}

std::optional<HostMessage> DecodeMessage(std::string_view text) {
  try {
    return ReadMessage(json::parse(text).as_object());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string EncodeHostRecord(const HostRecord& record) {
  return json::serialize(json::object{{"address", record.address},
                                      {"zone", record.zone},
                                      {"strength", record.strength}});
}

std::optional<HostRecord> DecodeHostRecord(std::string_view text) {
  try {
    const json::value value = json::parse(text);
    return HostRecord{std::string(value.at("address").as_string()),
                      std::string(value.at("zone").as_string()),
                      ReadStrength(value.at("strength"))};
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string EncodeOperatorRecords(const OperatorRecords& operators) {
  json::object object{{"next", operators.next},
                      {"records", json::value_from(operators.records)}};
  WriteEra("era", operators.era, &object);
  return json::serialize(object);
}

std::optional<OperatorRecords> DecodeOperatorRecords(std::string_view text) {
  try {
    const json::value value = json::parse(text);
    OperatorRecords operators;
    operators.era = ReadEra(value, "era");
    operators.next = value.at("next").to_number<std::int64_t>();
    for (const auto& [key, record] : value.at("records").as_object()) {
      operators.records.emplace(std::string(key),
                                std::string(record.as_string()));
    }
    return operators;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string EncodeTable(const state::OwnershipTable& table) {
  json::object services;
  for (const auto& [service, ranges] : table.services) {
    services[service] = EncodeRanges(ranges);
  }
  json::object gates;
  for (const auto& [server, address] : table.gates) {
    gates[server] = FormatAddress(address);
  }
  const ChangedLimits limits(table.limits.begin(), table.limits.end());
  return json::serialize(json::object{{"term", table.term},
                                      {"revision", table.revision},
                                      {"services", std::move(services)},
                                      {"gates", std::move(gates)},
                                      {"limits", EncodeLimits(limits)}});
}

std::optional<state::OwnershipTable> DecodeTable(std::string_view text) {
  try {
    return ReadTable(json::parse(text));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string EncodeEntryUpdates(const std::vector<EntryUpdate>& updates) {
  json::array list;
  for (const EntryUpdate& update : updates) {
    json::object object{{"base", update.base},
                        {"end", update.end},
                        {"entries", EncodeEntries(update.entries)}};
    WriteEra("era", update.era, &object);
    list.push_back(std::move(object));
  }
  return json::serialize(json::object{{"updates", std::move(list)}});
}

std::optional<std::vector<EntryUpdate>> DecodeEntryUpdates(
    std::string_view text) {
  try {
    const json::value value = json::parse(text);
    std::vector<EntryUpdate> updates;
    for (const json::value& update : value.at("updates").as_array()) {
      updates.push_back({update.at("base").to_number<std::int64_t>(),
                         update.at("end").to_number<std::int64_t>(),
                         ReadEntries(update.at("entries")),
                         ReadEra(update, "era")});
    }
    return updates;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string EncodeTableUpdates(const std::vector<state::TableUpdate>& updates) {
  json::array list;
  for (const state::TableUpdate& update : updates) {
    list.push_back(EncodeTableUpdate(update));
  }
  return json::serialize(json::object{{"updates", std::move(list)}});
}

std::optional<TableReply> DecodeTableReply(std::string_view text) {
  try {
    const json::value value = json::parse(text);
    const json::value* list = value.as_object().if_contains("updates");
    if (list == nullptr) {
      return ReadTable(value);
    }
    std::vector<state::TableUpdate> updates;
    for (const json::value& update : list->as_array()) {
      updates.push_back(ReadTableUpdate(update));
    }
    return updates;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string EncodeLedgerHead(const coordination::LedgerHead& head,
                             const std::string& host) {
  json::object object{{"term", head.term},
                      {"claim", head.claim},
                      {"beat", head.renewal},
                      {"settled", head.settled},
                      {"host", host}};
  WriteEra("era", head.era, &object);
  if (head.recovering) {
    object["recovering"] = true;
  }
  return json::serialize(object);
}

std::optional<coordination::LedgerHead> DecodeLedgerHead(std::string_view text,
                                                         std::string* host) {
  try {
    const json::value value = json::parse(text);
    coordination::LedgerHead head;
    head.term = value.at("term").to_number<std::int64_t>();
    head.claim = std::string(value.at("claim").as_string());
    head.renewal = value.at("beat").to_number<std::int64_t>();
    head.settled = value.at("settled").as_bool();
    head.era = ReadEra(value, "era");
    const json::value* recovering = value.as_object().if_contains("recovering");
    head.recovering = recovering != nullptr && recovering->as_bool();
    *host = std::string(value.at("host").as_string());
    return head;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace mustardflow::protocol
