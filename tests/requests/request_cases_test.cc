// Single requests and how they end.

#include <catch2/catch.hpp>

#include "tests/requests/flow_fixture.h"

namespace mustardflow::tests {

namespace {

using coordination::Ending;
using coordination::FinishRequest;
using coordination::FlowActions;
using coordination::SendAttempt;
using coordination::SendResult;
using state::RequestKind;
using std::chrono::milliseconds;

}  // namespace

TEST_CASE("a request that runs once is not sent again after a loss", "[A2]") {
  FlowFixture fixture;
  fixture.AddServer("s1", "desk");
  fixture.AddServer("s2", "desk");
  const FlowActions sent = fixture.flow().Start(
      fixture.now(), 1, fixture.Terms(RequestKind::kNonIdempotent));
  const auto* attempt = FlowFixture::FindAction<SendAttempt>(sent);
  REQUIRE(attempt != nullptr);
  const FlowActions ended = fixture.flow().HandleResult(
      fixture.now(), 1, attempt->attempt, SendResult::kLost);
  CHECK(FlowFixture::FindAction<SendAttempt>(ended) == nullptr);
  REQUIRE(FlowFixture::FindAction<FinishRequest>(ended) != nullptr);
  CHECK(FlowFixture::FindAction<FinishRequest>(ended)->ending ==
        Ending::kUnknown);
}

TEST_CASE("a request that may repeat goes to another server", "[L2]") {
  FlowFixture fixture;
  fixture.AddServer("s1", "desk");
  fixture.AddServer("s2", "desk");
  const FlowActions sent = fixture.flow().Start(
      fixture.now(), 1, fixture.Terms(RequestKind::kIdempotent));
  const auto* first = FlowFixture::FindAction<SendAttempt>(sent);
  REQUIRE(first != nullptr);
  const FlowActions again = fixture.flow().HandleResult(
      fixture.now(), 1, first->attempt, SendResult::kFailed);
  const auto* second = FlowFixture::FindAction<SendAttempt>(again);
  REQUIRE(second != nullptr);
  CHECK(second->server.life.id != first->server.life.id);
}

// Seen on ppcc-gateway-grown, trouble-2: at the end of the grace, connections
// whose answer a server had lost were cut without a word.
TEST_CASE("the end of the process answers what is under way", "[A1]") {
  FlowFixture fixture;
  fixture.AddServer("s1", "desk");
  const FlowActions sent = fixture.flow().Start(
      fixture.now(), 1, fixture.Terms(RequestKind::kIdempotent));
  const auto* attempt = FlowFixture::FindAction<SendAttempt>(sent);
  REQUIRE(attempt != nullptr);
  fixture.flow().HandleConnected(1, attempt->attempt);
  fixture.SetOwner("");
  fixture.flow().Start(fixture.now(), 2,
                       fixture.Terms(RequestKind::kNonIdempotent, "shelf"));
  const FlowActions actions = fixture.flow().EndAll(fixture.now());
  std::map<coordination::RequestId, Ending> endings;
  for (const coordination::FlowAction& action : actions) {
    if (const auto* conclusion = std::get_if<FinishRequest>(&action)) {
      endings[conclusion->request] = conclusion->ending;
    }
  }
  CHECK(endings.at(1) == Ending::kTimedOut);
  // It waited for an owner, so nobody has run it.
  CHECK(endings.at(2) == Ending::kRefused);
}

TEST_CASE("a request waits for its key's owner and follows the table", "[L4]") {
  FlowFixture fixture;
  fixture.AddServer("s1", "shelf");
  fixture.SetOwner("");
  CHECK(fixture.flow()
            .Start(fixture.now(), 1,
                   fixture.Terms(RequestKind::kIdempotent, "shelf"))
            .empty());
  fixture.now() += milliseconds(100);
  CHECK(fixture.flow().Tick(fixture.now()).empty());
  fixture.SetOwner("s1");
  const FlowActions actions = fixture.flow().HandleTableChange(fixture.now());
  CHECK(FlowFixture::FindAction<SendAttempt>(actions) != nullptr);
}

TEST_CASE("a request whose key has no owner is refused in time", "[L4]") {
  FlowFixture fixture;
  fixture.AddServer("s1", "shelf");
  fixture.SetOwner("");
  fixture.flow().Start(fixture.now(), 1,
                       fixture.Terms(RequestKind::kNonIdempotent, "shelf"));
  fixture.now() += milliseconds(400);
  const FlowActions actions = fixture.flow().Tick(fixture.now());
  const auto* conclusion = FlowFixture::FindAction<FinishRequest>(actions);
  REQUIRE(conclusion != nullptr);
  CHECK(conclusion->ending == Ending::kRefused);
  CHECK(conclusion->retry_after > milliseconds(0));
}

// Seen on the grown sites: work there takes half a second, so moves of keys
// take longer than requests waited.
TEST_CASE("a request with a late target waits longer for its key's owner",
          "[L4]") {
  FlowFixture fixture;
  fixture.AddServer("s1", "shelf");
  fixture.SetOwner("");
  coordination::RequestTerms terms =
      fixture.Terms(RequestKind::kNonIdempotent, "shelf");
  terms.target_latency = milliseconds(2000);
  terms.end = fixture.now() + milliseconds(6000);
  fixture.flow().Start(fixture.now(), 1, std::move(terms));
  fixture.now() += milliseconds(900);
  CHECK(fixture.flow().Tick(fixture.now()).empty());
  fixture.SetOwner("s1");
  const FlowActions actions = fixture.flow().HandleTableChange(fixture.now());
  CHECK(FlowFixture::FindAction<SendAttempt>(actions) != nullptr);
}

// Half of the charges on the heaviest days were for callers that came back to
// a full server and were refused again.
TEST_CASE("callers of a key that few get come back later", "[L4]") {
  FlowFixture fixture;
  fixture.AddServer("s1", "shelf");
  fixture.SetOwner("s1");
  state::Duration last{0};
  for (int i = 1; i <= 200; ++i) {
    const FlowActions actions = fixture.flow().Start(
        fixture.now(), static_cast<coordination::RequestId>(i),
        fixture.Terms(RequestKind::kIdempotent, "shelf"));
    if (const auto* refused = FlowFixture::FindAction<FinishRequest>(actions)) {
      CHECK(refused->ending == Ending::kRefused);
      last = refused->retry_after;
    }
  }
  CHECK(last > std::chrono::seconds(1));
  // Once the rush is over, as usual.
  fixture.now() += std::chrono::seconds(20);
  const FlowActions actions = fixture.flow().Start(
      fixture.now(), 1000, fixture.Terms(RequestKind::kIdempotent, "shelf"));
  const auto* refused = FlowFixture::FindAction<FinishRequest>(actions);
  if (refused != nullptr) {
    CHECK(refused->retry_after < milliseconds(500));
  }
}

// Seen on hollins-gate-grown, hunt-b2eb-7: a gate that stopped lost its servers
// in the table, and requests left it although it was finishing them (LOST).
TEST_CASE("a request stays at a gate that is replaced", "[A1]") {
  FlowFixture fixture;
  fixture.AddServer("s1", "shelf");
  fixture.SetOwner("s1");
  fixture.view().table.gates["s1"] = {"10.0.0.1", 7201};
  const FlowActions sent = fixture.flow().Start(
      fixture.now(), 1, fixture.Terms(RequestKind::kIdempotent, "shelf"));
  const auto* attempt = FlowFixture::FindAction<SendAttempt>(sent);
  REQUIRE(attempt != nullptr);
  CHECK(attempt->gate == state::Address{"10.0.0.1", 7201});
  fixture.view().table.gates["s1"] = {"10.0.0.2", 7201};
  CHECK(fixture.flow().HandleTableChange(fixture.now()).empty());
  const FlowActions ended = fixture.flow().HandleResult(
      fixture.now(), 1, attempt->attempt, SendResult::kAnswered);
  REQUIRE(FlowFixture::FindAction<FinishRequest>(ended) != nullptr);
  CHECK(FlowFixture::FindAction<FinishRequest>(ended)->ending ==
        Ending::kAnswered);
}

TEST_CASE("a request goes to the server itself where its gate is not reached",
          "[L2]") {
  FlowFixture fixture;
  fixture.AddServer("s1", "shelf");
  fixture.SetOwner("s1");
  fixture.view().table.gates["s1"] = {"10.0.0.1", 7201};
  const FlowActions sent = fixture.flow().Start(
      fixture.now(), 1, fixture.Terms(RequestKind::kNonIdempotent, "shelf"));
  const auto* attempt = FlowFixture::FindAction<SendAttempt>(sent);
  REQUIRE(attempt != nullptr);
  const FlowActions again = fixture.flow().HandleResult(
      fixture.now(), 1, attempt->attempt, SendResult::kNotConnected);
  const auto* direct = FlowFixture::FindAction<SendAttempt>(again);
  REQUIRE(direct != nullptr);
  CHECK_FALSE(direct->gate);
}

TEST_CASE("a caller's leaving ends work that may repeat", "[L6]") {
  FlowFixture fixture;
  fixture.AddServer("s1", "desk");
  const FlowActions sent = fixture.flow().Start(
      fixture.now(), 1, fixture.Terms(RequestKind::kIdempotent));
  const FlowActions actions =
      fixture.flow().HandleCallerDisconnect(fixture.now(), 1);
  CHECK(FlowFixture::FindAction<coordination::AbortAttempt>(actions) !=
        nullptr);
}

}  // namespace mustardflow::tests
