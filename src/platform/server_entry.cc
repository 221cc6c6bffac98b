// Field names and values of the entry of a backend server.

#include "platform/server_entry.h"

#include "platform/wire_values.h"
#include "protocol/object_reader.h"

namespace mustardflow::platform {

namespace json = boost::json;

namespace {

// An entry with more slots is rejected as corrupt.
constexpr std::int64_t kMaxSlots = 100000;

}  // namespace

std::optional<state::ServerRecord> ParseServerEntry(const std::string& id,
                                                    std::string_view text,
                                                    std::string* problem) {
  const auto fail = [problem](std::string reason) {
    *problem = std::move(reason);
    return std::nullopt;
  };
  protocol::Findings findings;
  const auto entry = protocol::ParseJson(text, &findings);
  if (!entry) {
    return fail("not JSON");
  }
  const json::value* info = Member(*entry, "info");
  const json::value* status = Member(*entry, "status");
  if (info == nullptr || status == nullptr) {
    return fail("info or status is missing");
  }
  const auto address_text = TextMember(*entry, "address");
  const auto address =
      address_text ? protocol::ParseAddress(*address_text) : std::nullopt;
  const auto service = TextMember(*info, "service");
  const auto zone = TextMember(*info, "zone");
  const auto slots = IntegerMember(*info, "slots");
  const auto state = TextMember(*status, "state");
  const auto sequence = IntegerMember(*status, "seq");
  if (!address || !service || !zone || !slots || !state || !sequence) {
    return fail("a field is missing or has the wrong type");
  }
  if (*slots < 1 || *slots > kMaxSlots) {
    return fail("slots is out of range");
  }
  if (*state != "ready" && *state != "draining") {
    return fail("unknown state");
  }
  const json::value* born = Member(*entry, "born");
  if (born != nullptr && !born->is_int64() && !born->is_uint64()) {
    return fail("born is not an integer");
  }
  state::ServerRecord record;
  record.incarnation = {id, IntegerMember(*entry, "born").value_or(0)};
  record.sequence = *sequence;
  record.service = *service;
  record.address = *address;
  record.zone = *zone;
  record.slots = static_cast<int>(*slots);
  record.draining = *state == "draining";
  const json::value* warmup = Member(*status, "warmup_left");
  if (warmup != nullptr) {
    const auto left = PeriodMember(*status, "warmup_left");
    if (!left) {
      return fail("warmup_left is not a duration");
    }
    record.warmup_left = *left;
  }
  return record;
}

}  // namespace mustardflow::platform
