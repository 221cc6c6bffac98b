// Round trips of messages through their JSON form and of fences through their
// text form, and the decoding of unknown fields, invalid tables and corrupted
// texts.

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <string>

#include "platform/backend_protocol.h"
#include "protocol/message_codec.h"
#include "protocol/object_reader.h"
#include "protocol/url.h"

namespace mustardflow::tests {

namespace {

state::Order MakeOrder() {
  state::Order order;
  order.service = "parts";
  order.term = {3, 9'007'199'254'740'993, ~0ULL};
  order.sequence = 12;
  order.round = 4;
  order.assignment =
      state::Assignment{77,
                        state::ServerInstant(state::Duration(123'456)),
                        {{{0, ~0ULL}, {{3, 8, 5}, 1}, true}}};
  return order;
}

}  // namespace

TEST_CASE("a decoded order has the encoded term and assignment") {
  const state::Order order = MakeOrder();
  const auto decoded = protocol::DecodeOrder(protocol::EncodeOrder(order));
  REQUIRE(decoded);
  CHECK(decoded->term == order.term);
  CHECK(decoded->assignment == order.assignment);
}

// A host of a newer version may send fields that this version does not know.
TEST_CASE("an order with an unknown field is decoded", "[S3]") {
  std::string text = protocol::EncodeOrder(MakeOrder());
  text.insert(1, "\"priority\":{\"new\":[1,2]},");
  CHECK(protocol::DecodeOrder(text));
}

TEST_CASE(
    "a route table whose slices are not in ascending order is not decoded",
    "[S4]") {
  CHECK_FALSE(protocol::DecodeRoutes(
      R"({"service":"p","term":[1,1,1],"version":1,"publication":1,)"
      R"("servers":[],"routing":{"servers":[],"terms":[],"slices":[]},)"
      R"("keys":{"servers":["a"],"terms":[[1,1,1]],)"
      R"("slices":[[0,0,0,1],[0,0,0,1]]}})"));
}

TEST_CASE("a decoded snapshot equals the encoded one") {
  state::ConfigSnapshot snapshot;
  snapshot.position = 9;
  snapshot.zones["dudley"] = {4, false};
  snapshot.results.push_back({"id", state::RecordOutcome::kConflict, 3});
  const auto decoded =
      protocol::DecodeSnapshot(protocol::EncodeSnapshot(snapshot));
  REQUIRE(decoded);
  CHECK(*decoded == snapshot);
}

TEST_CASE("no decoder throws or crashes on corrupted text", "[S4]") {
  const bool passed = rc::check("decoders handle corrupted text", [] {
    std::string text = protocol::EncodeOrder(MakeOrder());
    const auto edits = *rc::gen::container<std::vector<std::pair<int, char>>>(
        rc::gen::pair(rc::gen::inRange(0, 400), rc::gen::arbitrary<char>()));
    for (const auto& [position, character] : edits) {
      text[static_cast<std::size_t>(position) % text.size()] = character;
    }
    protocol::DecodeOrder(text);
    protocol::DecodeAck(text);
    protocol::DecodeRoutes(text);
    protocol::DecodeHeartbeat(text);
    protocol::DecodeSnapshot(text);
    protocol::DecodeRecord(text);
    protocol::DecodeHostList(text);
    protocol::ParseAddress(text);
    platform::ParseFence(text);
    protocol::DecodeUrlComponent(text);
  });
  REQUIRE(passed);
}

TEST_CASE(
    "a parsed fence equals the formatted one; invalid text is not parsed") {
  const bool passed = rc::check(
      "parsing reverses formatting",
      [](std::uint64_t a, std::uint64_t b, std::uint64_t c, std::uint64_t d) {
        const state::Fence fence{{a, b, c}, d};
        RC_ASSERT(platform::ParseFence(platform::FormatFence(fence)) == fence);
      });
  REQUIRE(passed);
  CHECK_FALSE(platform::ParseFence("1.2.3"));
  CHECK_FALSE(platform::ParseFence("1.2.3.4.5"));
  CHECK_FALSE(platform::ParseFence("1.2.3.x"));
}

}  // namespace mustardflow::tests
