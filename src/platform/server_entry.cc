// Field names and values of the entry of a backend server.

#include "platform/server_entry.h"

#include <algorithm>
#include <limits>

#include "platform/wire_values.h"
#include "protocol/object_reader.h"

namespace mustardflow::platform {

using protocol::ObjectReader;
using protocol::Presence;

namespace {

// An entry with more slots is rejected as corrupt.
constexpr std::int64_t kMaxSlots = 100000;
constexpr std::int64_t kMinInteger = std::numeric_limits<std::int64_t>::min();
constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();

// Whether the id can be sent in a header field and in messages between hosts.
bool IsValidId(const std::string& id) {
  return !id.empty() && std::all_of(id.begin(), id.end(), [](char character) {
    return character > ' ' && character <= '~';
  });
}

void ReadInfo(ObjectReader info, state::ServerRecord* record) {
  record->service = info.String("service", Presence::kRequired);
  record->zone = info.String("zone", Presence::kRequired);
  record->slots = static_cast<int>(info.Integer("slots", 1, kMaxSlots, {}));
}

void ReadStatus(ObjectReader status, state::ServerRecord* record) {
  record->sequence = status.Integer("seq", kMinInteger, kMaxInteger, {});
  const std::string state = status.String("state", Presence::kRequired);
  record->draining = state == "draining";
  if (!state.empty() && state != "ready" && !record->draining) {
    status.Report("state", "unknown state", "write ready or draining");
  }
  if (Member(status.value(), "warmup_left") == nullptr) {
    return;
  }
  const std::string left = status.String("warmup_left", Presence::kRequired);
  if (const auto period = ParsePeriod(left)) {
    record->warmup_left = *period;
  } else {
    status.Report("warmup_left", "not a duration", "write for example 1500ms");
  }
}

}  // namespace

std::optional<state::ServerRecord> ParseServerEntry(
    const std::string& id,
    std::string_view text,
    protocol::Findings* findings) {
  const auto entry = protocol::ParseJson(text, findings);
  if (!IsValidId(id)) {
    findings->Add("key", "not an id of printable ASCII characters",
                  "register the server under another id");
  }
  if (!entry) {
    return std::nullopt;
  }
  state::ServerRecord record;
  ObjectReader reader(*entry, "", findings);
  record.address = reader.Address("address");
  record.incarnation = {id,
                        reader.Integer("born", kMinInteger, kMaxInteger, 0)};
  if (const auto info = reader.Object("info", Presence::kRequired)) {
    ReadInfo(*info, &record);
  }
  if (const auto status = reader.Object("status", Presence::kRequired)) {
    ReadStatus(*status, &record);
  }
  return findings->empty() ? std::optional(record) : std::nullopt;
}

}  // namespace mustardflow::platform
