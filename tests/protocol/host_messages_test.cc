// Round trips of host messages and store records through their JSON form, the
// split of updates into datagrams, and the decoding of corrupted texts.

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>
#include <variant>

#include "protocol/host_messages.h"

namespace mustardflow::tests {

namespace {

using protocol::HeartbeatUpdate;
using protocol::HostReport;
using protocol::LeaderHeartbeat;

// Returns an update that is too long for one datagram.
HeartbeatUpdate LargeUpdate() {
  HeartbeatUpdate update;
  update.base_revision = 7;
  update.base_server_offset = 100;
  for (int i = 0; i < 30; ++i) {
    state::OwnedRange range;
    range.first = i * 100;
    range.last = i * 100 + 99;
    range.fence = i;
    range.holder = {"server-" + std::to_string(i), 1700000000000 + i};
    update.changes[i % 2 == 0 ? "even" : "odd"].push_back(range);
    update.gates["server-" + std::to_string(i)] =
        state::Address{"10.0.0.1", 7201};
    update.entries.emplace_back("server-" + std::to_string(i),
                                std::string(250, 'x'));
  }
  update.gates["server-0"] = std::nullopt;
  return update;
}

}  // namespace

TEST_CASE("a decoded heartbeat has the encoded number and update") {
  LeaderHeartbeat heartbeat;
  heartbeat.host = "h1";
  heartbeat.term = 4;
  heartbeat.revision = 8;
  heartbeat.number = 19;
  heartbeat.progress = {5, 6, std::chrono::milliseconds(7)};
  heartbeat.update = LargeUpdate();
  const auto read = protocol::DecodeMessage(protocol::EncodeMessage(heartbeat));
  REQUIRE(read);
  const auto& decoded = std::get<LeaderHeartbeat>(*read);
  CHECK(decoded.number == 19);
  REQUIRE(decoded.update);
  CHECK(decoded.update->gates == heartbeat.update->gates);
  CHECK(decoded.update->entries == heartbeat.update->entries);
  CHECK(decoded.update->changes.at("odd").size() == 15);
}

TEST_CASE("a decoded host report has the encoded fields") {
  HostReport report;
  report.host = "h1";
  report.term = 3;
  report.heartbeat_number = 12;
  report.zone = "north";
  report.strength = 0.25;
  report.forward_address = "10.0.0.1:7201";
  report.stopping = true;
  const auto read = protocol::DecodeMessage(protocol::EncodeMessage(report));
  REQUIRE(read);
  const auto& decoded = std::get<HostReport>(*read);
  CHECK(decoded.heartbeat_number == 12);
  CHECK(decoded.zone == "north");
  CHECK(decoded.strength == 0.25);
  CHECK(decoded.forward_address == "10.0.0.1:7201");
  CHECK(decoded.stopping);
}

TEST_CASE(
    "a large update is split into consecutive parts that fit into datagrams") {
  const HeartbeatUpdate update = LargeUpdate();
  const auto parts = protocol::SplitUpdate(update, 1000);
  REQUIRE(parts.size() > 10);
  std::int64_t revision = update.base_revision;
  std::int64_t entry_part = 0;
  std::size_t ranges = 0;
  std::size_t gates = 0;
  std::size_t entries = 0;
  for (const HeartbeatUpdate& part : parts) {
    CHECK(part.base_revision == revision);
    CHECK(part.base_server_offset == update.base_server_offset);
    revision += part.changes.empty() && part.gates.empty() ? 0 : 1;
    for (const auto& [service, changes] : part.changes) {
      ranges += changes.size();
    }
    gates += part.gates.size();
    entries += part.entries.size();
    if (part.entry_parts > 0) {
      CHECK(part.entry_part == entry_part++);
    }
    LeaderHeartbeat heartbeat;
    heartbeat.host = "a-host-with-a-long-name";
    heartbeat.update = part;
    // 1472 bytes is the largest UDP payload in an Ethernet frame over IPv4.
    CHECK(protocol::EncodeMessage(heartbeat).size() < 1472);
  }
  CHECK(parts.back().entry_parts == entry_part);
  CHECK(ranges == 30);
  CHECK(gates == 30);
  CHECK(entries == 30);
}

TEST_CASE("an empty update is split into no parts") {
  CHECK(protocol::SplitUpdate({}, 1000).empty());
}

TEST_CASE("a decoded ownership table has the encoded gates and holders") {
  state::OwnershipTable table;
  table.term = 2;
  state::OwnedRange range;
  range.last = state::kShardKeyCount - 1;
  range.holder = {"s", 1};
  table.services["shelf"] = {range};
  table.gates["s"] = {"10.0.0.9", 7201};
  const auto read = protocol::DecodeTable(protocol::EncodeTable(table));
  REQUIRE(read);
  CHECK(read->gates == table.gates);
  CHECK(read->services.at("shelf").front().holder == range.holder);
}

TEST_CASE("decoded store records have the encoded values") {
  const auto host =
      protocol::DecodeHostRecord(protocol::EncodeHostRecord({"a:1", 0.5}));
  REQUIRE(host);
  CHECK(host->strength == 0.5);
  protocol::OperatorRecords operators;
  operators.next = 9;
  operators.records["config"] = "{\"version\":1}";
  const auto read = protocol::DecodeOperatorRecords(
      protocol::EncodeOperatorRecords(operators));
  REQUIRE(read);
  CHECK(read->records == operators.records);
  std::string name;
  const auto head = protocol::DecodeLedgerHead(
      protocol::EncodeLedgerHead({4, "claim", 2, 0, true}, "h1"), &name);
  REQUIRE(head);
  CHECK(head->settled);
  CHECK(name == "h1");
}

TEST_CASE("no decoder throws or crashes on corrupted messages", "[I2]") {
  CHECK(rc::check([] {
    LeaderHeartbeat heartbeat;
    heartbeat.host = "h1";
    heartbeat.update = LargeUpdate();
    std::string text = protocol::EncodeMessage(heartbeat);
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    text[position] = *rc::gen::arbitrary<char>();
    if (*rc::gen::arbitrary<bool>()) {
      text.resize(position);
    }
    protocol::DecodeMessage(text);
    protocol::DecodeTable(text);
    protocol::DecodeOperatorRecords(text);
    protocol::DecodeHostRecord(text);
  }));
}

}  // namespace mustardflow::tests
