// Parsing of valid and invalid server entries.

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "platform/server_entry.h"

namespace mustardflow::tests {

namespace {

using platform::ParseServerEntry;

const std::string kValidEntry =
    R"({"address":"10.128.0.9:8080","born":1778878074567,)"
    R"("info":{"service":"a","version":"v1","zone":"north","slots":6},)"
    R"("status":{"state":"ready","seq":4,"warmup_left":"1500ms"}})";

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  text.replace(text.find(from), from.size(), to);
  return text;
}

}  // namespace

TEST_CASE("a valid entry is parsed into a record") {
  std::string problem;
  const auto record = ParseServerEntry("i-1", kValidEntry, &problem);
  REQUIRE(record);
  CHECK(record->incarnation == state::ServerIncarnation{"i-1", 1778878074567});
  CHECK(record->sequence == 4);
  CHECK(record->service == "a");
  CHECK(record->address == state::Address{"10.128.0.9", 8080});
  CHECK(record->zone == "north");
  CHECK(record->slots == 6);
  CHECK_FALSE(record->draining);
  CHECK(record->warmup_left == std::chrono::milliseconds(1500));
}

TEST_CASE("an invalid entry is rejected and the problem is reported", "[S4]") {
  const std::vector<std::pair<std::string, std::string>> corruptions = {
      {R"("address":"10.128.0.9:8080",)", ""},
      {R"("10.128.0.9:8080")", R"("nowhere")"},
      {R"("10.128.0.9:8080")", "7"},
      {R"("slots":6)", R"("slots":"6")"},
      {R"("slots":6)", R"("slots":0)"},
      {R"("slots":6)", R"("slots":-3)"},
      {R"("state":"ready")", R"("state":"asleep")"},
      {R"("state":"ready",)", ""},
      {R"("seq":4)", R"("seq":null)"},
      {R"("1500ms")", R"("soon")"},
      {R"("1500ms")", "1500"},
      {"1778878074567", "1778878074567.5"},
      {"1778878074567", R"("yesterday")"},
      {R"("info":{)", R"("about":{)"},
      {R"("zone":"north",)", ""},
      {kValidEntry, "not JSON at all"},
      {kValidEntry, "\xff\xfe\x00"},
      {kValidEntry, "[]"},
      {kValidEntry, ""},
  };
  for (const auto& [from, to] : corruptions) {
    const std::string text = Replaced(kValidEntry, from, to);
    INFO(text);
    std::string problem;
    CHECK_FALSE(ParseServerEntry("i-1", text, &problem));
    CHECK_FALSE(problem.empty());
  }
}

TEST_CASE("parsing an entry with random bytes yields no record or a valid one",
          "[S5]") {
  const bool holds = rc::check([] {
    std::string text = kValidEntry;
    const auto edits = *rc::gen::container<std::vector<std::pair<int, char>>>(
        rc::gen::pair(rc::gen::inRange<int>(0, static_cast<int>(text.size())),
                      rc::gen::arbitrary<char>()));
    for (const auto& [position, character] : edits) {
      text[static_cast<std::size_t>(position)] = character;
    }
    std::string problem;
    const auto record = ParseServerEntry("i-1", text, &problem);
    RC_ASSERT(!record || record->slots >= 1);
  });
  REQUIRE(holds);
}

}  // namespace mustardflow::tests
