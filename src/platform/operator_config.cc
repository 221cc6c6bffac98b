// Field names and values of the operators' configuration.

#include "platform/operator_config.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "platform/wire_values.h"
#include "protocol/object_reader.h"

namespace mustardflow::platform {

namespace json = boost::json;

namespace {

constexpr std::array<std::pair<std::string_view, state::RequestKind>, 3>
    kRequestKinds = {{
        {"idempotent", state::RequestKind::kIdempotent},
        {"non_idempotent", state::RequestKind::kNonIdempotent},
        {"download", state::RequestKind::kDownload},
    }};

// Upper bounds of settings. A higher value is replaced by its bound.
constexpr std::int64_t kMaxPriority = 1000;
constexpr std::int64_t kMaxConnections = 1000000;
constexpr double kMaxOrganisationRate = 1e9;
// Names of organisations are header values and parts of datagrams.
constexpr std::size_t kMaxOrganisationNameBytes = 128;

// Treats an unknown kind as non-idempotent, so that its requests never run more
// than once.
state::RequestKind KindFromName(std::string_view name) {
  for (const auto& [kind_name, kind] : kRequestKinds) {
    if (kind_name == name) {
      return kind;
    }
  }
  return state::RequestKind::kNonIdempotent;
}

// Returns the targets of the traffic split, or without a split the service of
// the route. Omits targets without a service or a positive weight.
std::vector<state::WeightedService> ReadServices(const json::value& route) {
  std::vector<state::WeightedService> services;
  const json::value* split = Member(route, "traffic_split");
  if (split != nullptr && split->is_array() && !split->get_array().empty()) {
    for (const json::value& part : split->get_array()) {
      const auto service = TextMember(part, "service");
      const double weight = NumberMember(part, "weight").value_or(0);
      if (service && weight > 0) {
        services.push_back({*service, weight});
      }
    }
  } else if (auto service = TextMember(route, "service")) {
    services.push_back({std::move(*service), 1});
  }
  return services;
}

std::optional<int> ReadPriority(const json::value& value) {
  const auto priority = IntegerMember(value, "priority");
  return priority ? std::optional(static_cast<int>(
                        std::clamp<std::int64_t>(*priority, 0, kMaxPriority)))
                  : std::nullopt;
}

// Returns nullopt if the host name or the prefix is missing. Other missing and
// invalid settings keep their defaults.
std::optional<state::Route> ReadRoute(const std::string& name,
                                      const json::value& value) {
  state::Route route;
  route.name = name;
  const auto hostname = TextMember(value, "hostname");
  const auto prefix = TextMember(value, "path_prefix");
  route.services = ReadServices(value);
  if (!hostname || !prefix || !prefix->starts_with('/') ||
      !prefix->ends_with('/')) {
    return std::nullopt;
  }
  route.hostname = *hostname;
  std::transform(route.hostname.begin(), route.hostname.end(),
                 route.hostname.begin(), [](unsigned char character) {
                   return static_cast<char>(std::tolower(character));
                 });
  route.prefix = *prefix;
  route.kind = KindFromName(TextMember(value, "type").value_or(""));
  route.timeout = PeriodMember(value, "timeout").value_or(route.timeout);
  route.target_latency =
      PeriodMember(value, "target_latency").value_or(route.target_latency);
  route.max_attempts = static_cast<int>(
      std::clamp<std::int64_t>(IntegerMember(value, "max_attempts").value_or(1),
                               1, state::kMaxAttempts));
  route.priority = ReadPriority(value).value_or(0);
  const json::value* is_public = Member(value, "public");
  route.is_public =
      is_public != nullptr && is_public->is_bool() && is_public->get_bool();
  return route;
}

state::ServiceRules ReadService(const json::value& value) {
  state::ServiceRules rules;
  rules.max_connections = static_cast<int>(std::clamp<std::int64_t>(
      IntegerMember(value, "max_connections").value_or(rules.max_connections),
      1, kMaxConnections));
  rules.warmup = PeriodMember(value, "warmup").value_or(rules.warmup);
  rules.cold_rate =
      std::max(0.0, NumberMember(value, "warmup_per_s").value_or(0));
  const json::value* sharded = Member(value, "sharded");
  rules.keyed = sharded != nullptr && sharded->is_bool() && sharded->get_bool();
  return rules;
}

// Sets `complete` to false if a size cannot be read, and keeps its default.
state::IngressLimits ReadLimits(const json::value& config,
                                protocol::Findings* findings,
                                bool* complete) {
  state::IngressLimits limits;
  const json::value* value = Member(config, "limits");
  if (value == nullptr) {
    return limits;
  }
  const auto read_size = [&](std::string_view name, std::size_t* target) {
    const auto size = IntegerMember(*value, name);
    if (size && *size > 0) {
      *target = static_cast<std::size_t>(*size);
    } else if (Member(*value, name) != nullptr) {
      *complete = false;
      findings->Add("/limits/" + std::string(name), "is no size",
                    "give a positive number of bytes");
    }
  };
  read_size("max_header_bytes", &limits.header_bytes);
  read_size("max_body_bytes", &limits.body_bytes);
  limits.header_timeout =
      PeriodMember(*value, "header_timeout").value_or(limits.header_timeout);
  limits.idle_timeout =
      PeriodMember(*value, "idle_timeout").value_or(limits.idle_timeout);
  return limits;
}

// Whether `text` can be sent as the value of a header field and read back
// unchanged.
bool IsFieldValue(std::string_view text) {
  return !text.empty() && text.front() != ' ' && text.back() != ' ' &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return character >= ' ' && character <= '~';
         });
}

// Adds the keys to the organisation. Returns false if one of them cannot be
// read.
bool ReadKeys(const json::value& value, std::vector<std::string>* keys) {
  const json::value* list = Member(value, "api_keys");
  if (list == nullptr) {
    return true;
  }
  if (!list->is_array()) {
    return false;
  }
  bool readable = true;
  for (const json::value& key : list->get_array()) {
    if (key.is_string() && IsFieldValue(key.get_string())) {
      keys->emplace_back(key.get_string());
    } else {
      readable = false;
    }
  }
  return readable;
}

// Marks the organisations with the highest limits. They have metrics of their
// own, whose number must not grow with the organisations.
void MarkLargest(state::Organisations* organisations) {
  constexpr std::size_t kLargest = 8;
  std::vector<state::Organisation*> limited;
  for (auto& [name, organisation] : *organisations) {
    if (organisation.limited()) {
      limited.push_back(&organisation);
    }
  }
  std::stable_sort(limited.begin(), limited.end(),
                   [](const auto* left, const auto* right) {
                     return left->rate > right->rate;
                   });
  for (std::size_t i = 0; i < std::min(kLargest, limited.size()); ++i) {
    limited[i]->largest = true;
  }
}

// Returns nullopt if requests need no key. Sets `complete` to false if an
// organisation or a key cannot be read, and omits it. Findings contain no keys.
std::optional<state::Organisations> ReadOrganisations(
    const json::value& config,
    protocol::Findings* findings,
    bool* complete) {
  const json::value* value = Member(config, "tenants");
  if (value == nullptr) {
    return std::nullopt;
  }
  state::Organisations organisations;
  if (!value->is_object()) {
    // Requests must not be served without a key because of a mistake here.
    findings->Add("/tenants", "is no object", "give an object by name");
    *complete = false;
    return organisations;
  }
  std::set<std::string> known_keys;
  for (const auto& [name, entry] : value->get_object()) {
    const std::string location = "/tenants/" + std::string(name);
    if (!IsFieldValue(name) || name.size() > kMaxOrganisationNameBytes ||
        !entry.is_object()) {
      findings->Add(location, "cannot be read",
                    "give an object, and a name of up to 128 printable "
                    "characters");
      *complete = false;
      continue;
    }
    state::Organisation organisation;
    organisation.name = std::string(name);
    if (!ReadKeys(entry, &organisation.keys)) {
      findings->Add(location + "/api_keys", "cannot be read",
                    "give a list of printable strings");
      *complete = false;
    }
    for (const std::string& key : organisation.keys) {
      if (!known_keys.insert(key).second) {
        findings->Add(location + "/api_keys", "has a key that occurs twice",
                      "give each key once");
      }
    }
    organisation.priority = ReadPriority(entry);
    organisation.rate =
        std::clamp(NumberMember(entry, "rate_per_s").value_or(0), 0.0,
                   kMaxOrganisationRate);
    organisation.burst = std::clamp(NumberMember(entry, "burst").value_or(0),
                                    0.0, kMaxOrganisationRate);
    organisations.emplace(organisation.name, std::move(organisation));
  }
  MarkLargest(&organisations);
  return organisations;
}

}  // namespace

std::shared_ptr<const state::RoutingConfig> ParseOperatorConfig(
    std::string_view text,
    protocol::Findings* findings) {
  const auto config = protocol::ParseJson(text, findings);
  if (!config) {
    return nullptr;
  }
  const auto version = IntegerMember(*config, "version");
  const json::value* routes = Member(*config, "routes");
  const json::value* services = Member(*config, "services");
  if (!version || routes == nullptr || !routes->is_object()) {
    findings->Add("/routes", "no version or no routes",
                  "publish a whole configuration");
    return nullptr;
  }
  std::vector<state::Route> read_routes;
  bool complete = true;
  for (const auto& [name, value] : routes->get_object()) {
    auto route = ReadRoute(std::string(name), value);
    if (!route || route->services.empty()) {
      findings->Add("/routes/" + std::string(name), "cannot be read",
                    "give host name, prefix and service");
    }
    if (route) {
      read_routes.push_back(std::move(*route));
    } else {
      complete = false;
    }
  }
  std::map<std::string, state::ServiceRules> read_services;
  if (services != nullptr && services->is_object()) {
    for (const auto& [name, value] : services->get_object()) {
      read_services.emplace(name, ReadService(value));
    }
  }
  const state::IngressLimits limits = ReadLimits(*config, findings, &complete);
  auto organisations = ReadOrganisations(*config, findings, &complete);
  return std::make_shared<state::RoutingConfig>(
      *version, std::move(read_routes), std::move(read_services), limits,
      complete, std::move(organisations));
}

}  // namespace mustardflow::platform
