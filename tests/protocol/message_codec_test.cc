// Messages survive encoding; foreign and damaged ones are refused.

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

TEST_CASE("an order survives encoding") {
  const state::Order order = MakeOrder();
  const auto decoded = protocol::DecodeOrder(protocol::EncodeOrder(order));
  REQUIRE(decoded);
  CHECK(decoded->term == order.term);
  CHECK(decoded->assignment == order.assignment);
}

TEST_CASE("an order of a newer version is understood", "[S3]") {
  std::string text = protocol::EncodeOrder(MakeOrder());
  text.insert(1, "\"priority\":{\"new\":[1,2]},");
  CHECK(protocol::DecodeOrder(text));
}

TEST_CASE("a table with slices out of order is refused", "[S4]") {
  CHECK_FALSE(protocol::DecodeRoutes(
      R"({"service":"p","term":[1,1,1],"version":1,"publication":1,)"
      R"("servers":[],"routing":{"servers":[],"terms":[],"slices":[]},)"
      R"("keys":{"servers":["a"],"terms":[[1,1,1]],)"
      R"("slices":[[0,0,0,1],[0,0,0,1]]}})"));
}

TEST_CASE("a snapshot survives encoding") {
  state::ConfigSnapshot snapshot;
  snapshot.position = 9;
  snapshot.zones["dudley"] = {4, false};
  snapshot.results.push_back({"id", state::RecordOutcome::kConflict, 3});
  const auto decoded =
      protocol::DecodeSnapshot(protocol::EncodeSnapshot(snapshot));
  REQUIRE(decoded);
  CHECK(*decoded == snapshot);
}

TEST_CASE("damaged messages are refused without harm", "[S4]") {
  const bool passed = rc::check("no decoder fails on damage", [] {
    std::string text = protocol::EncodeOrder(MakeOrder());
    const auto edits = *rc::gen::container<std::vector<std::pair<int, char>>>(
        rc::gen::pair(rc::gen::inRange(0, 400), rc::gen::arbitrary<char>()));
    for (const auto& [position, letter] : edits) {
      text[static_cast<std::size_t>(position) % text.size()] = letter;
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

TEST_CASE("fences survive their text form") {
  const bool passed = rc::check("fence", [](std::uint64_t a, std::uint64_t b,
                                            std::uint64_t c, std::uint64_t d) {
    const state::Fence fence{{a, b, c}, d};
    RC_ASSERT(platform::ParseFence(platform::FormatFence(fence)) == fence);
  });
  REQUIRE(passed);
  CHECK_FALSE(platform::ParseFence("1.2.3"));
  CHECK_FALSE(platform::ParseFence("1.2.3.4.5"));
  CHECK_FALSE(platform::ParseFence("1.2.3.x"));
}

}  // namespace mustardflow::tests
