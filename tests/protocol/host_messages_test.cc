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
  update.limits["server-1"] = state::ServerLimit{1700000000001, 6.1};
  update.limits["server-2"] = state::ServerLimit{1700000000002, std::nullopt};
  update.limits["server-3"] = std::nullopt;
  return update;
}

// One text of each kind that hosts exchange or keep in the store.
std::vector<std::string> ValidTexts() {
  LeaderHeartbeat heartbeat;
  heartbeat.host = "h1";
  heartbeat.address = {"10.0.0.7", 7200};
  heartbeat.relay_to = {{"10.0.0.8", 7200}};
  heartbeat.update = LargeUpdate();
  heartbeat.organisations = {{{"first", 0.25}}, false};
  heartbeat.crashing_requests = {{7, 3, true, 1, std::chrono::seconds(15)}};
  HostReport report;
  report.crashes = {{{7, {"s", 4}, std::chrono::seconds(1)}},
                    {{8, std::chrono::seconds(2)}},
                    {{7, 2}}};
  report.organisations = {5, 2, {{{"first", {8, -1}}}, {}}};
  report.host = "h1";
  report.load["shelf"] = {3, {1, 2, 65535}};
  report.relative_latency["s"] = 1.5;
  report.execution_seconds["shelf"] = 0.09;
  report.announcements.push_back({{"s", 4},
                                  6.1,
                                  std::chrono::milliseconds(20),
                                  true,
                                  std::chrono::seconds(2)});
  protocol::LeaderQueryReply reply;
  reply.heard = std::chrono::milliseconds(30);
  reply.leader = state::Address{"10.0.0.3", 7200};
  state::OwnershipTable table;
  state::OwnedRange whole;
  whole.last = state::kShardKeyCount - 1;
  table.services["shelf"] = {whole};
  state::TableUpdate update;
  update.changes["shelf"] = {whole};
  update.gates["s"] = std::nullopt;
  update.limits["s"] = state::ServerLimit{4, 2.5};
  table.limits["s"] = {4, 2.5};
  return {protocol::EncodeMessage(heartbeat),
          protocol::EncodeMessage(report),
          protocol::EncodeMessage(reply),
          protocol::EncodeMessage(protocol::LeaderQuery{"h", "c", "z", 1}),
          protocol::EncodeTable(table),
          protocol::EncodeTableUpdates({update}),
          protocol::EncodeEntryUpdates({{1, 2, {{"a", "x"}}}}),
          protocol::EncodeHostRecord({"a:1", "z", 0.5}),
          protocol::EncodeOperatorRecords({9, {{"config", "{}"}}}),
          protocol::EncodeLedgerHead({4, "claim", 2, 0, true}, "h1")};
}

}  // namespace

TEST_CASE("a decoded heartbeat has the encoded number and update") {
  LeaderHeartbeat heartbeat;
  heartbeat.host = "h1";
  heartbeat.address = {"10.0.0.7", 7200};
  heartbeat.relay_to = {{"10.0.0.8", 7200}, {"10.0.0.9", 7200}};
  heartbeat.term = 4;
  heartbeat.revision = 8;
  heartbeat.number = 19;
  heartbeat.progress = {5, 6, std::chrono::milliseconds(7),
                        std::chrono::milliseconds(8)};
  heartbeat.update = LargeUpdate();
  const auto read = protocol::DecodeMessage(protocol::EncodeMessage(heartbeat));
  REQUIRE(read);
  const auto& decoded = std::get<LeaderHeartbeat>(*read);
  CHECK(decoded.number == 19);
  CHECK(decoded.progress.operators_age == std::chrono::milliseconds(8));
  CHECK(decoded.address == heartbeat.address);
  CHECK(decoded.relay_to == heartbeat.relay_to);
  REQUIRE(decoded.update);
  CHECK(decoded.update->gates == heartbeat.update->gates);
  CHECK(decoded.update->limits == heartbeat.update->limits);
  CHECK(decoded.update->entries == heartbeat.update->entries);
  CHECK(decoded.update->changes.at("odd").size() == 15);
}

// Guards against messages and records that differ for hosts of earlier versions
// and for a store that has no eras.
TEST_CASE("eras are carried, and left out where the store has none") {
  const std::int64_t era = GENERATE(0, 3);
  LeaderHeartbeat heartbeat;
  heartbeat.address = {"10.0.0.7", 7200};
  heartbeat.era = era;
  heartbeat.progress.era = era;
  protocol::LeaderQueryReply reply;
  reply.era = era;
  HostReport report;
  report.era = era;
  coordination::LedgerHead head;
  head.era = era;
  head.recovering = era > 0;
  const std::vector<std::string> texts = {
      protocol::EncodeMessage(heartbeat),
      protocol::EncodeMessage(reply),
      protocol::EncodeMessage(report),
      protocol::EncodeLedgerHead(head, "h1"),
      protocol::EncodeOperatorRecords({9, {}, era}),
      protocol::EncodeEntryUpdates({{1, 2, {}, era}})};
  for (const std::string& text : texts) {
    CAPTURE(text);
    CHECK((text.find("era\":") == std::string::npos) == (era == 0));
  }
  const auto beat = protocol::DecodeMessage(texts[0]);
  CHECK(std::get<LeaderHeartbeat>(*beat).era == era);
  CHECK(std::get<LeaderHeartbeat>(*beat).progress.era == era);
  CHECK(std::get<protocol::LeaderQueryReply>(*protocol::DecodeMessage(texts[1]))
            .era == era);
  CHECK(std::get<HostReport>(*protocol::DecodeMessage(texts[2])).era == era);
  std::string host;
  CHECK(protocol::DecodeLedgerHead(texts[3], &host)->era == era);
  CHECK(protocol::DecodeLedgerHead(texts[3], &host)->recovering == (era > 0));
  CHECK(protocol::DecodeOperatorRecords(texts[4])->era == era);
  CHECK(protocol::DecodeEntryUpdates(texts[5])->front().era == era);
}

// Leaders of the version before do not say how old the operators' records are.
TEST_CASE("a heartbeat without the operators' age confirms nothing") {
  LeaderHeartbeat heartbeat;
  heartbeat.host = "h1";
  heartbeat.address = {"10.0.0.7", 7200};
  std::string text = protocol::EncodeMessage(heartbeat);
  const std::string member = R"("operators_age_us":0,)";
  REQUIRE(text.find(member) != std::string::npos);
  text.erase(text.find(member), member.size());
  const auto read = protocol::DecodeMessage(text);
  REQUIRE(read);
  CHECK(std::get<LeaderHeartbeat>(*read).progress.operators_age ==
        protocol::kUnknownAge);
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
  report.announcements.push_back({{"s", 4},
                                  6.1,
                                  std::chrono::milliseconds(20),
                                  true,
                                  std::chrono::seconds(2)});
  const auto read = protocol::DecodeMessage(protocol::EncodeMessage(report));
  REQUIRE(read);
  const auto& decoded = std::get<HostReport>(*read);
  CHECK(decoded.heartbeat_number == 12);
  CHECK(decoded.zone == "north");
  CHECK(decoded.strength == 0.25);
  CHECK(decoded.forward_address == "10.0.0.1:7201");
  CHECK(decoded.stopping);
  REQUIRE(decoded.announcements.size() == 1);
  const coordination::AnnouncementReport& announced =
      decoded.announcements.front();
  CHECK(announced.server == state::ServerIncarnation{"s", 4});
  CHECK(announced.rate_limit == 6.1);
  CHECK(announced.limit_age == std::chrono::milliseconds(20));
  CHECK(announced.leaving);
  CHECK(announced.pause == std::chrono::seconds(2));
}

// Hosts of two versions run beside each other during a rolling restart.
TEST_CASE("a report without announcements is read") {
  std::string text = protocol::EncodeMessage(HostReport());
  const std::string part = R"(,"announced":[])";
  REQUIRE(text.find(part) != std::string::npos);
  text.erase(text.find(part), part.size());
  const auto read = protocol::DecodeMessage(text);
  REQUIRE(read);
  CHECK(std::get<HostReport>(*read).announcements.empty());
}

TEST_CASE(
    "a large update is split into consecutive parts that fit into datagrams") {
  const HeartbeatUpdate update = LargeUpdate();
  const auto parts = protocol::SplitUpdate(update, 700);
  REQUIRE(parts.size() > 10);
  std::int64_t revision = update.base_revision;
  std::int64_t entry_part = 0;
  std::size_t ranges = 0;
  std::size_t gates = 0;
  std::size_t limits = 0;
  std::size_t entries = 0;
  for (const HeartbeatUpdate& part : parts) {
    CHECK(part.base_revision == revision);
    CHECK(part.base_server_offset == update.base_server_offset);
    revision += part.changes_table() ? 1 : 0;
    for (const auto& [service, changes] : part.changes) {
      ranges += changes.size();
    }
    gates += part.gates.size();
    limits += part.limits.size();
    entries += part.entries.size();
    if (part.entry_parts > 0) {
      CHECK(part.entry_part == entry_part++);
    }
    LeaderHeartbeat heartbeat;
    heartbeat.host = "a-host-with-a-long-name";
    heartbeat.address = {"10.200.100.100", 65535};
    // As many as PeerDirectory names in one message.
    heartbeat.relay_to.assign(18, {"10.200.100.100", 65535});
    heartbeat.update = part;
    // 1472 bytes is the largest UDP payload in an Ethernet frame over IPv4.
    CHECK(protocol::EncodeMessage(heartbeat).size() < 1472);
  }
  CHECK(parts.back().entry_parts == entry_part);
  CHECK(ranges == 30);
  CHECK(gates == 30);
  CHECK(limits == 3);
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
  table.limits["s"] = {1700000000001, 6.1};
  table.limits["t"] = {1700000000002, std::nullopt};
  const auto read = protocol::DecodeTable(protocol::EncodeTable(table));
  REQUIRE(read);
  CHECK(read->gates == table.gates);
  CHECK(read->limits == table.limits);
  CHECK(read->services.at("shelf").front().holder == range.holder);
}

TEST_CASE("decoded store records have the encoded values") {
  const auto host = protocol::DecodeHostRecord(
      protocol::EncodeHostRecord({"a:1", "north", 0.5}));
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

TEST_CASE("a host's record with an odd address or strength is rejected",
          "[S4]") {
  const std::string strength =
      GENERATE(std::string("1e400"), std::string("-1"), std::string("\"2\""),
               std::string("null"), std::string(100000, '['));
  const std::string text =
      R"({"address":"10.0.0.1:7200","zone":"a","strength":)" + strength + "}";
  CHECK_FALSE(protocol::DecodeHostRecord(text));
}

TEST_CASE("messages of an unknown kind and invalid ranges are rejected",
          "[S3]") {
  CHECK_FALSE(protocol::DecodeMessage(R"({"kind":"later","host":"h1"})"));
  state::OwnershipTable table;
  state::OwnedRange whole;
  whole.last = state::kShardKeyCount - 1;
  table.services["shelf"] = {whole};
  const std::string valid = protocol::EncodeTable(table);
  REQUIRE(protocol::DecodeTable(valid));
  for (const char* last : {"65536", "2147483647", "-1"}) {
    std::string invalid = valid;
    invalid.replace(invalid.find("65535"), 5, last);
    INFO(invalid);
    CHECK_FALSE(protocol::DecodeTable(invalid));
  }
  HeartbeatUpdate update;
  state::OwnedRange first;
  first.first = 100;
  first.last = 200;
  state::OwnedRange second;
  second.first = 150;
  second.last = 300;
  update.changes["shelf"] = {first, second};
  LeaderHeartbeat heartbeat;
  heartbeat.address = {"10.0.0.7", 7200};
  heartbeat.update = update;
  CHECK_FALSE(protocol::DecodeMessage(protocol::EncodeMessage(heartbeat)));
}

TEST_CASE("parts of updates with long names and IPv6 gates fit") {
  HeartbeatUpdate update;
  for (int i = 0; i < 40; ++i) {
    state::OwnedRange range;
    range.first = i;
    range.last = i;
    range.holder = {"s" + std::to_string(i), 1};
    update.changes[std::string(100, 'n') + std::to_string(i)] = {range};
    update.gates[std::string(20, 's') + std::to_string(i)] = state::Address{
        "2001:db8:ffff:ffff:ffff:ffff:ffff:" + std::to_string(1000 + i), 65535};
  }
  for (const HeartbeatUpdate& part : protocol::SplitUpdate(update, 700)) {
    LeaderHeartbeat heartbeat;
    heartbeat.address = {"10.0.0.7", 7200};
    heartbeat.update = part;
    CHECK(protocol::EncodeMessage(heartbeat).size() < 700 + 350);
  }
}

TEST_CASE("queries, replies and table replies survive a round trip") {
  const auto query = protocol::DecodeMessage(
      protocol::EncodeMessage(protocol::LeaderQuery{"h1", "c", "north", 0.5}));
  REQUIRE(query);
  CHECK(std::get<protocol::LeaderQuery>(*query).zone == "north");
  protocol::LeaderQueryReply reply;
  reply.host = "h2";
  reply.term = 4;
  reply.heard = std::chrono::milliseconds(30);
  reply.leader = state::Address{"10.0.0.3", 7200};
  const auto read = protocol::DecodeMessage(protocol::EncodeMessage(reply));
  REQUIRE(read);
  CHECK(std::get<protocol::LeaderQueryReply>(*read).leader == reply.leader);
  CHECK(std::get<protocol::LeaderQueryReply>(*read).heard == reply.heard);
  state::TableUpdate update;
  update.term = 2;
  update.base_revision = 6;
  update.revision = 7;
  update.gates["s"] = std::nullopt;
  update.limits["s"] = state::ServerLimit{4, 2.5};
  update.limits["t"] = std::nullopt;
  const auto table = protocol::DecodeTableReply(
      protocol::EncodeTableUpdates({update, update}));
  REQUIRE(table);
  const auto& updates = std::get<std::vector<state::TableUpdate>>(*table);
  REQUIRE(updates.size() == 2);
  CHECK(updates.front().revision == 7);
  CHECK(updates.front().gates == update.gates);
  CHECK(updates.front().limits == update.limits);
  const auto entries =
      protocol::DecodeEntryUpdates(protocol::EncodeEntryUpdates(
          {{3, 5, {{"a", "x"}, {"b", std::nullopt}}}}));
  REQUIRE(entries);
  CHECK(entries->front().end == 5);
  CHECK(entries->front().entries.at(1).second == std::nullopt);
}

TEST_CASE("no decoder throws or crashes on corrupted messages", "[I2]") {
  CHECK(rc::check([] {
    std::string text = *rc::gen::elementOf(ValidTexts());
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    text[position] = *rc::gen::arbitrary<char>();
    if (*rc::gen::arbitrary<bool>()) {
      text.resize(position);
    }
    protocol::DecodeMessage(text);
    protocol::DecodeTable(text);
    protocol::DecodeTableReply(text);
    protocol::DecodeEntryUpdates(text);
    protocol::DecodeOperatorRecords(text);
    protocol::DecodeHostRecord(text);
    std::string host;
    protocol::DecodeLedgerHead(text, &host);
  }));
}

// Guards against fractions and counts that are lost on the way, and against
// messages of earlier versions that cannot be read.
TEST_CASE("organisations in messages round-trip and may be missing") {
  LeaderHeartbeat heartbeat;
  heartbeat.host = "h1";
  heartbeat.address = {"10.0.0.7", 7200};
  HostReport report;
  report.host = "h1";
  const std::string old_heartbeat = protocol::EncodeMessage(heartbeat);
  const std::string old_report = protocol::EncodeMessage(report);
  CHECK(old_heartbeat.find("organisations") == std::string::npos);
  CHECK(old_report.find("organisations") == std::string::npos);
  const auto read_old = protocol::DecodeMessage(old_heartbeat);
  REQUIRE(read_old);
  CHECK_FALSE(std::get<LeaderHeartbeat>(*read_old).organisations);
  heartbeat.organisations = {{{"first", 0.25}, {"second", 0}}, false};
  const auto read = protocol::DecodeMessage(protocol::EncodeMessage(heartbeat));
  REQUIRE(read);
  const auto& fractions = std::get<LeaderHeartbeat>(*read).organisations;
  REQUIRE(fractions);
  CHECK(fractions->fractions == heartbeat.organisations->fractions);
  CHECK_FALSE(fractions->complete);
  report.organisations = {5, 2, {{{"first", {8, -1}}}, {}}};
  const auto read_report =
      protocol::DecodeMessage(protocol::EncodeMessage(report));
  REQUIRE(read_report);
  const admission::OrganisationReport& counts =
      std::get<HostReport>(*read_report).organisations;
  CHECK(counts.sequence == 5);
  CHECK(counts.interval == 2);
  REQUIRE(counts.counts.size() == 2);
  CHECK(counts.counts[0].at("first").offered == 8);
  CHECK(counts.counts[0].at("first").admitted == -1);
  CHECK(counts.counts[1].empty());
}

// Guards against evidence that is lost on the way, and against messages of
// earlier versions that cannot be read.
TEST_CASE("requests that crash servers round-trip and may be missing", "[B3]") {
  LeaderHeartbeat heartbeat;
  heartbeat.host = "h1";
  heartbeat.address = {"10.0.0.7", 7200};
  HostReport report;
  report.host = "h1";
  const std::string old_heartbeat = protocol::EncodeMessage(heartbeat);
  const std::string old_report = protocol::EncodeMessage(report);
  CHECK(old_heartbeat.find("crash") == std::string::npos);
  CHECK(old_report.find("crash") == std::string::npos);
  CHECK(protocol::DecodeMessage(old_heartbeat));
  CHECK(protocol::DecodeMessage(old_report));

  constexpr coordination::RequestFingerprint kLarge = 0xfedcba9876543210;
  heartbeat.crashing_requests = {
      {kLarge, 4, true, 2, std::chrono::milliseconds(1500)},
      {1, 2, false, 0, state::Duration(0)}};
  const auto read = protocol::DecodeMessage(protocol::EncodeMessage(heartbeat));
  REQUIRE(read);
  const auto& list = std::get<LeaderHeartbeat>(*read).crashing_requests;
  REQUIRE(list.size() == 2);
  CHECK(list[0].request == kLarge);
  CHECK(list[0].crashes == 4);
  CHECK(list[0].refused);
  CHECK(list[0].trials == 2);
  CHECK(list[0].retry_after == std::chrono::milliseconds(1500));
  CHECK_FALSE(list[1].refused);

  report.crashes.crashes = {{kLarge, {"s", 4}, std::chrono::seconds(3)}};
  report.crashes.answers = {{1, std::chrono::milliseconds(20)}};
  report.crashes.trials = {{kLarge, 3}};
  const auto read_report =
      protocol::DecodeMessage(protocol::EncodeMessage(report));
  REQUIRE(read_report);
  const coordination::CrashReport& crashes =
      std::get<HostReport>(*read_report).crashes;
  REQUIRE(crashes.crashes.size() == 1);
  CHECK(crashes.crashes[0].request == kLarge);
  CHECK(crashes.crashes[0].server == state::ServerIncarnation{"s", 4});
  CHECK(crashes.crashes[0].age == std::chrono::seconds(3));
  REQUIRE(crashes.answers.size() == 1);
  CHECK(crashes.answers[0].age == std::chrono::milliseconds(20));
  REQUIRE(crashes.trials.size() == 1);
  CHECK(crashes.trials[0].number == 3);
}

// Guards against a list that exceeds a datagram beside an update of full size.
TEST_CASE("the largest list of crashing requests leaves room in a heartbeat",
          "[B3]") {
  LeaderHeartbeat heartbeat;
  heartbeat.host = "edge-of-a-long-name-1";
  heartbeat.address = {"100.100.100.100", 65535};
  const std::size_t without = protocol::EncodeMessage(heartbeat).size();
  heartbeat.crashing_requests.assign(
      coordination::kMaxCrashingRequests,
      {~std::uint64_t{0}, 8, true, 100, std::chrono::hours(1)});
  CHECK(protocol::EncodeMessage(heartbeat).size() - without <= 400);
}

}  // namespace mustardflow::tests
