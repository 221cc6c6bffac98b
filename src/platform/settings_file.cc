// Field names of the platform's settings file.

#include "platform/settings_file.h"

#include <algorithm>
#include <string>

#include "platform/store_protocol.h"
#include "platform/wire_values.h"
#include "protocol/object_reader.h"

namespace mustardflow::platform {

namespace json = boost::json;

namespace {

// Sets the bound `name` to the value in `text`, a duration or a number. Ignores
// unknown names and invalid values.
void ReadBound(std::string_view name,
               std::string_view text,
               state::ServiceBounds* bounds) {
  const auto period = ParsePeriod(text);
  const auto number = ParseNumber(text);
  const auto set_number = [&](double* target) {
    if (number && *number >= 0) {
      *target = *number;
    }
  };
  const auto set_period = [&](state::Duration* target) {
    if (period) {
      *target = *period;
    }
  };
  if (name == "retry_budget_ratio") {
    set_number(&bounds->retry_ratio);
  } else if (name == "retry_budget_slack") {
    set_number(&bounds->retry_slack);
  } else if (name == "budget_window") {
    set_period(&bounds->retry_window);
  } else if (name == "warmup_overage") {
    set_number(&bounds->cold_factor);
  } else if (name == "warmup_slack") {
    set_number(&bounds->cold_slack);
  } else if (name == "hold_max") {
    set_period(&bounds->max_lease);
  } else if (name == "config_apply") {
    set_period(&bounds->config_apply);
  } else if (name == "quota_window") {
    set_period(&bounds->quota_window);
  } else if (name == "quota_overage") {
    set_number(&bounds->quota_overage);
  } else if (name == "quota_slack") {
    set_number(&bounds->quota_slack);
  } else if (name == "grace") {
    set_period(&bounds->stop_grace);
  }
}

// Returns the first of the ports for messages between hosts, and adds a finding
// if there is none. The port after it has to be valid as well.
std::uint16_t ReadPeerPort(const json::value& settings,
                           protocol::Findings* findings) {
  constexpr std::int64_t kMaxPeerPort = 65534;
  const json::value* ports = Member(settings, "internal_ports");
  if (ports != nullptr && ports->is_array() && !ports->get_array().empty() &&
      ports->get_array()[0].is_int64()) {
    const std::int64_t port = ports->get_array()[0].get_int64();
    if (port >= 1 && port <= kMaxPeerPort) {
      return static_cast<std::uint16_t>(port);
    }
  }
  findings->Add("/internal_ports", "names no port",
                "give the first and the last free port");
  return 0;
}

// Sets the resources of the host. Ignores values that are not positive.
void ReadResources(const json::value& limits, state::HostProfile* profile) {
  const auto read_positive = [&limits](std::string_view name, double fallback) {
    const double value = NumberMember(limits, name).value_or(fallback);
    return value > 0 ? value : fallback;
  };
  constexpr double kBytesPerMegabyte = 1 << 20;
  constexpr double kMaxMemoryMegabytes = 1 << 24;
  const double default_memory =
      static_cast<double>(profile->memory_bytes) / kBytesPerMegabyte;
  profile->memory_bytes = static_cast<std::size_t>(
      std::min(read_positive("memory_mb", default_memory),
               kMaxMemoryMegabytes) *
      kBytesPerMegabyte);
  constexpr double kMaxDescriptors = 1 << 24;
  profile->max_descriptors = static_cast<std::size_t>(
      std::min(read_positive("max_fds", 0), kMaxDescriptors));
  // cpu_share is the share of one core; cpu_cores is the speed of that core
  // relative to a reference core.
  profile->cores =
      read_positive("cpu_share", 1) * read_positive("cpu_cores", 1);
  profile->link_mbps = read_positive("link_mbps", profile->link_mbps);
}

// Reads the bounds, an array of strings of the form "name=value". Ignores
// entries of another form.
void ReadBounds(const json::value& settings, state::ServiceBounds* bounds) {
  const json::value* list = Member(settings, "bounds");
  if (list == nullptr || !list->is_array()) {
    return;
  }
  for (const json::value& entry : list->get_array()) {
    if (!entry.is_string()) {
      continue;
    }
    const std::string_view text = entry.get_string();
    const std::size_t equals = text.find('=');
    if (equals != std::string_view::npos) {
      ReadBound(text.substr(0, equals), text.substr(equals + 1), bounds);
    }
  }
}

// Whether the list `contracts` has the entry `name`.
bool HasContract(const json::value& settings, std::string_view name) {
  const json::value* list = Member(settings, "contracts");
  if (list == nullptr || !list->is_array()) {
    return false;
  }
  const json::array& entries = list->get_array();
  return std::any_of(entries.begin(), entries.end(),
                     [name](const json::value& entry) {
                       return entry.is_string() && entry.get_string() == name;
                     });
}

}  // namespace

std::optional<state::HostProfile> ParseSettingsFile(
    std::string_view text,
    protocol::Findings* findings) {
  using protocol::ObjectReader;
  using protocol::Presence;
  const auto settings = protocol::ParseJson(text, findings);
  if (!settings) {
    return std::nullopt;
  }
  state::HostProfile profile;
  ObjectReader reader(*settings, "", findings);
  profile.name = reader.String("node_name", Presence::kRequired);
  if (profile.name.size() > kMaxKeyBytes) {
    reader.Report("node_name", "has more than 255 bytes", "shorten the name");
  }
  profile.zone = reader.String("zone", Presence::kRequired);
  profile.ip = reader.String("ip", Presence::kRequired);
  if (auto listen = reader.Object("bind_addresses", Presence::kRequired)) {
    profile.callers = listen->Address("frontend");
    profile.readiness = listen->Address("ready");
    const auto operators = TextMember(listen->value(), "control_plane");
    if (operators) {
      profile.operators = listen->Address("control_plane");
    }
  }
  profile.peer_port = ReadPeerPort(*settings, findings);
  if (auto store = reader.Object("platform", Presence::kRequired)) {
    profile.store = store->Address("address");
  }
  profile.server_heartbeat =
      PeriodMember(*settings, "heartbeat").value_or(profile.server_heartbeat);
  if (const json::value* limits = Member(*settings, "limits")) {
    ReadResources(*limits, &profile);
  }
  const json::value* bootstrap = Member(*settings, "bootstrap");
  profile.bootstrap =
      bootstrap != nullptr && bootstrap->is_bool() && bootstrap->get_bool();
  ReadBounds(*settings, &profile.bounds);
  profile.admission_by_priority = HasContract(*settings, "pressure");
  return findings->empty() ? std::optional(profile) : std::nullopt;
}

}  // namespace mustardflow::platform
