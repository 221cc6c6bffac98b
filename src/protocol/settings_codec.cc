// Parsing and validation of the settings of an entry host.

#include "protocol/settings_codec.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <string>

#include "protocol/object_reader.h"

namespace mustardflow::protocol {

namespace {

constexpr std::array<std::string_view, 6> kLogLevels = {
    "trace", "debug", "info", "warning", "error", "fatal"};
constexpr std::array<std::string_view, 2> kLogFormats = {"text", "json"};
// A longer header may have a field that http::fields cannot hold.
constexpr std::int64_t kMaxHeaderBytes = 65'533;

// Reads an optional string field that must be one of `choices`.
template <std::size_t kSize>
std::string ReadEnumField(ObjectReader& reader,
                          std::string_view field,
                          const std::array<std::string_view, kSize>& choices,
                          const std::string& fallback) {
  const std::string text = reader.String(field, Presence::kOptional);
  if (text.empty()) {
    return fallback;
  }
  if (std::find(choices.begin(), choices.end(), text) != choices.end()) {
    return text;
  }
  std::string remedy = "use one of";
  for (const std::string_view choice : choices) {
    remedy += " " + std::string(choice);
  }
  reader.Report(field, "\"" + text + "\" is not known", remedy);
  return fallback;
}

void ReadListeners(ObjectReader& root, state::HostSettings* settings) {
  auto listen = root.Object("listen", Presence::kRequired);
  if (!listen) {
    return;
  }
  settings->callers = listen->Address("callers");
  settings->peers = listen->Address("peers");
  settings->control = listen->Address("control");
  settings->operators = listen->Address("operators");
  listen->ReportUnknownFields();
}

void ReadPlatform(ObjectReader& root, state::HostSettings* settings) {
  auto log = root.Object("log", Presence::kRequired);
  if (log) {
    settings->log = log->Address("address");
    settings->log_stream = log->String("stream", Presence::kRequired);
    log->ReportUnknownFields();
  }
  auto host_list = root.Object("host_list", Presence::kRequired);
  if (host_list) {
    settings->host_list = host_list->Address("address");
    host_list->ReportUnknownFields();
  }
}

void ReadSeeds(ObjectReader& root, state::HostSettings* settings) {
  const auto texts = root.Strings("seeds", Presence::kOptional);
  for (std::size_t i = 0; i < texts.size(); ++i) {
    const auto address = ParseAddress(texts[i]);
    if (address) {
      settings->seeds.push_back(*address);
    } else {
      root.Report("seeds/" + std::to_string(i),
                  "\"" + texts[i] + "\" is not an IP number with a port",
                  "write for example 192.0.2.7:8080");
    }
  }
}

void ReadLimits(ObjectReader& root, state::HostSettings* settings) {
  auto limits = root.Object("limits", Presence::kOptional);
  if (!limits) {
    return;
  }
  settings->max_body_bytes = static_cast<std::size_t>(
      limits->Integer("body_bytes", 0, 1 << 30, 1 << 20));
  settings->max_header_bytes = static_cast<std::size_t>(
      limits->Integer("header_bytes", 1024, kMaxHeaderBytes, 16 << 10));
  settings->max_caller_connections = static_cast<std::size_t>(
      limits->Integer("caller_connections", 1, 1'000'000, 2000));
  limits->ReportUnknownFields();
}

}  // namespace

std::optional<state::HostSettings> ParseSettings(std::string_view text,
                                                 Findings* findings) {
  const auto value = ParseJson(text, findings);
  if (!value) {
    return std::nullopt;
  }
  ObjectReader root(*value, "", findings);
  state::HostSettings settings;
  settings.host = root.String("host", Presence::kRequired);
  settings.zone = root.String("zone", Presence::kRequired);
  ReadListeners(root, &settings);
  ReadPlatform(root, &settings);
  ReadSeeds(root, &settings);
  settings.log_level =
      ReadEnumField(root, "log_level", kLogLevels, settings.log_level);
  settings.log_format =
      ReadEnumField(root, "log_format", kLogFormats, settings.log_format);
  ReadLimits(root, &settings);
  settings.drain_timeout = std::chrono::milliseconds(
      root.Integer("drain_timeout_ms", 0, 3'600'000, 30'000));
  settings.checkpoint_interval = std::chrono::milliseconds(
      root.Integer("checkpoint_interval_ms", 1000, 86'400'000, 600'000));
  root.ReportUnknownFields();
  if (!findings->empty()) {
    return std::nullopt;
  }
  return settings;
}

}  // namespace mustardflow::protocol
