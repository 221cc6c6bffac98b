// Messages between hosts: what is written is read again, and nothing else is.

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

TEST_CASE("a beat with news is read as it was written") {
  LeaderHeartbeat beat;
  beat.host = "h1";
  beat.term = 4;
  beat.revision = 8;
  beat.number = 19;
  beat.progress = {5, 6, std::chrono::milliseconds(7)};
  beat.update = LargeUpdate();
  const auto read = protocol::DecodeMessage(protocol::EncodeMessage(beat));
  REQUIRE(read);
  const auto& decoded = std::get<LeaderHeartbeat>(*read);
  CHECK(decoded.number == 19);
  REQUIRE(decoded.update);
  CHECK(decoded.update->gates == beat.update->gates);
  CHECK(decoded.update->entries == beat.update->entries);
  CHECK(decoded.update->changes.at("odd").size() == 15);
}

TEST_CASE("a report is read as it was written") {
  HostReport report;
  report.host = "h1";
  report.term = 3;
  report.beat = 12;
  report.zone = "north";
  report.strength = 0.25;
  report.forward_address = "10.0.0.1:7201";
  report.stopping = true;
  const auto read = protocol::DecodeMessage(protocol::EncodeMessage(report));
  REQUIRE(read);
  const auto& decoded = std::get<HostReport>(*read);
  CHECK(decoded.beat == 12);
  CHECK(decoded.zone == "north");
  CHECK(decoded.strength == 0.25);
  CHECK(decoded.forward_address == "10.0.0.1:7201");
  CHECK(decoded.stopping);
}

TEST_CASE("news are divided into datagrams that follow each other") {
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
    LeaderHeartbeat beat;
    beat.host = "a-host-with-a-long-name";
    beat.update = part;
    CHECK(protocol::EncodeMessage(beat).size() < 1472);
  }
  CHECK(parts.back().entry_parts == entry_part);
  CHECK(ranges == 30);
  CHECK(gates == 30);
  CHECK(entries == 30);
}

TEST_CASE("no news make no parts") {
  CHECK(protocol::SplitUpdate({}, 1000).empty());
}

TEST_CASE("a table with gates is read as it was written") {
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

TEST_CASE("records of hosts, operators and the ledger are read again") {
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

TEST_CASE("damaged messages are refused or read, and end nothing", "[I2]") {
  CHECK(rc::check([] {
    LeaderHeartbeat beat;
    beat.host = "h1";
    beat.update = LargeUpdate();
    std::string text = protocol::EncodeMessage(beat);
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
