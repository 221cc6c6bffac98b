// Field names of the platform's settings file.

#include "platform/settings_file.h"

#include <charconv>
#include <string>

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
  double number = 0;
  const bool is_number =
      std::from_chars(text.data(), text.data() + text.size(), number).ec ==
      std::errc();
  const auto set_number = [&](double* target) {
    if (is_number && number >= 0) {
      *target = number;
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
  } else if (name == "grace") {
    set_period(&bounds->stop_grace);
  }
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
  const json::value* ports = Member(*settings, "internal_ports");
  if (ports != nullptr && ports->is_array() && !ports->get_array().empty() &&
      ports->get_array()[0].is_int64()) {
    profile.peer_port =
        static_cast<std::uint16_t>(ports->get_array()[0].get_int64());
  } else {
    findings->Add("/internal_ports", "names no port",
                  "give the first and the last free port");
  }
  if (auto store = reader.Object("platform", Presence::kRequired)) {
    profile.store = store->Address("address");
  }
  profile.server_heartbeat =
      PeriodMember(*settings, "heartbeat").value_or(profile.server_heartbeat);
  if (const json::value* limits = Member(*settings, "limits")) {
    if (const auto megabytes = NumberMember(*limits, "memory_mb")) {
      profile.memory_bytes = static_cast<std::size_t>(*megabytes * (1 << 20));
    }
    // cpu_share is the share of one core; cpu_cores is the speed of that core
    // relative to a reference core.
    const double share = NumberMember(*limits, "cpu_share").value_or(1);
    profile.cores = share * NumberMember(*limits, "cpu_cores").value_or(1);
    profile.link_mbps =
        NumberMember(*limits, "link_mbps").value_or(profile.link_mbps);
  }
  const json::value* bootstrap = Member(*settings, "bootstrap");
  profile.bootstrap =
      bootstrap != nullptr && bootstrap->is_bool() && bootstrap->get_bool();
  ReadBounds(*settings, &profile.bounds);
  return findings->empty() ? std::optional(profile) : std::nullopt;
}

}  // namespace mustardflow::platform
