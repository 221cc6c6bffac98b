// Tests for requests that wait at the host for capacity.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tests/requests/flow_fixture.h"

namespace mustardflow::tests {

namespace {

using coordination::FinishRequest;
using coordination::FlowActions;
using coordination::RequestId;
using coordination::RequestOutcome;
using coordination::RequestPlace;
using coordination::SendAttempt;
using coordination::SendResult;
using state::RequestKind;
using std::chrono::milliseconds;

// The slots of the servers of FlowFixture, and the request that may wait at a
// server whose requests all pass through this host.
constexpr int kMaxInFlight = 6 + 1;

// Fills the only server of a service, whose requests all pass through this
// host.
class FullServer {
 public:
  explicit FullServer(const std::string& service) : service_(service) {
    fixture_.pool().EstimateByKind();
    fixture_.flow().AdmitByPriority();
    fixture_.AddServer("s1", service);
    fixture_.AddServer("s2", service);
    if (service == "desk") {
      fixture_.pool().Remove(fixture_.now(), "s2");
    } else {
      fixture_.SetOwner("s1");
    }
    for (int i = 0; i < kMaxInFlight; ++i) {
      const FlowActions actions = Start(0);
      const auto* send = FlowFixture::FindAction<SendAttempt>(actions);
      REQUIRE(send);
      sent_.push_back(*send);
      fixture_.flow().HandleConnected(send->request, send->attempt);
    }
  }

  FlowActions Start(int priority) {
    coordination::RequestTerms terms =
        fixture_.Terms(RequestKind::kIdempotent, service_);
    terms.priority = priority;
    terms.route = "route" + std::to_string(priority);
    return fixture_.flow().Start(fixture_.now(), ++last_id_, terms);
  }
  FlowActions Answer(std::size_t index) {
    return fixture_.flow().HandleResult(fixture_.now(), sent_[index].request,
                                        sent_[index].attempt,
                                        SendResult::kAnswered);
  }
  FlowFixture& fixture() { return fixture_; }
  RequestId last_id() const { return last_id_; }

 private:
  const std::string service_;
  FlowFixture fixture_;
  std::vector<SendAttempt> sent_;
  RequestId last_id_ = 0;
};

}  // namespace

TEST_CASE("beyond the slots and one more, requests wait in order of priority",
          "[L7]") {
  FullServer server(GENERATE("desk", "shelf"));
  CHECK(server.Start(2).empty());
  const RequestId second = server.last_id();
  CHECK(server.Start(1).empty());
  CHECK(server.fixture().flow().PlaceOf(second) == RequestPlace::kWaiting);
  CHECK(server.fixture().flow().waiting_for_capacity() == 2);
  server.fixture().now() += milliseconds(50);
  const FlowActions actions = server.Answer(0);
  const auto* send = FlowFixture::FindAction<SendAttempt>(actions);
  REQUIRE(send);
  CHECK(send->request == second + 1);
  CHECK(server.fixture().flow().waiting_for_capacity() == 1);
}

// A caller that has left gets nothing from the work.
TEST_CASE("a waiting request whose caller leaves is not sent", "[L7]") {
  FullServer server("shelf");
  CHECK(server.Start(1).empty());
  const RequestId id = server.last_id();
  const FlowActions left = server.fixture().flow().HandleCallerDisconnect(
      server.fixture().now(), id);
  const auto* end = FlowFixture::FindAction<FinishRequest>(left);
  REQUIRE(end);
  CHECK(end->outcome == RequestOutcome::kCancelled);
  server.fixture().now() += milliseconds(50);
  CHECK_FALSE(FlowFixture::FindAction<SendAttempt>(server.Answer(0)));
  CHECK(server.fixture().flow().waiting_for_capacity() == 0);
}

TEST_CASE("a request waits for at most half of its target", "[L7]") {
  FullServer server("shelf");
  CHECK(server.Start(1).empty());
  server.fixture().now() += milliseconds(190);
  CHECK_FALSE(FlowFixture::FindAction<FinishRequest>(
      server.fixture().flow().Tick(server.fixture().now())));
  server.fixture().now() += milliseconds(20);
  const FlowActions actions =
      server.fixture().flow().Tick(server.fixture().now());
  const auto* end = FlowFixture::FindAction<FinishRequest>(actions);
  REQUIRE(end);
  CHECK(end->outcome == RequestOutcome::kRefused);
  CHECK(end->reason == "shortage-wait");
  CHECK(end->sends == 0);
}

// Less than the least time for an attempt is left, so the server could not
// answer before the deadline.
TEST_CASE("a waiting request is not sent just before its deadline", "[L7]") {
  FullServer server("shelf");
  coordination::RequestTerms terms =
      server.fixture().Terms(RequestKind::kIdempotent, "shelf");
  terms.priority = 0;
  terms.end = server.fixture().now() + milliseconds(150);
  CHECK(
      server.fixture().flow().Start(server.fixture().now(), 99, terms).empty());
  server.fixture().now() += milliseconds(140);
  const FlowActions actions = server.Answer(0);
  CHECK_FALSE(FlowFixture::FindAction<SendAttempt>(actions));
  CHECK(server.fixture().flow().PlaceOf(99) == RequestPlace::kEnded);
}

// Guards against a refusal of a request that its gate has sent on: the gate was
// bypassed when the request began to wait, and is used again meanwhile.
TEST_CASE("a request that goes to its gate waits no longer", "[A1][L7]") {
  FullServer server("shelf");
  FlowFixture& fixture = server.fixture();
  fixture.view().table.gates["s1"] = {"10.0.0.1", 7201};
  const FlowActions first = server.Start(0);
  const auto* lost = FlowFixture::FindAction<SendAttempt>(first);
  REQUIRE(lost);
  REQUIRE(lost->gate);
  fixture.flow().HandleResult(fixture.now(), lost->request, lost->attempt,
                              SendResult::kNotConnected);
  fixture.flow().HandleCallerDisconnect(fixture.now(), lost->request);
  fixture.now() += milliseconds(50);
  for (std::size_t i = 0; i < kMaxInFlight; ++i) {
    server.Answer(i);
  }
  fixture.now() += milliseconds(850);
  // Requests are sent directly until the server is full; the next one waits.
  while (FlowFixture::FindAction<SendAttempt>(server.Start(0))) {
  }
  const RequestId id = server.last_id();
  REQUIRE(fixture.flow().PlaceOf(id) == RequestPlace::kWaiting);
  fixture.now() += milliseconds(110);
  const FlowActions sent = fixture.flow().Tick(fixture.now());
  const auto* attempt = FlowFixture::FindAction<SendAttempt>(sent);
  REQUIRE(attempt);
  REQUIRE(attempt->gate);
  CHECK(attempt->request == id);
  CHECK(fixture.flow().waiting_for_capacity() == 0);
  fixture.flow().HandleConnected(id, attempt->attempt);
  fixture.now() += milliseconds(100);
  fixture.flow().Tick(fixture.now());
  CHECK(fixture.flow().PlaceOf(id) == RequestPlace::kAtGate);
}

TEST_CASE("waiting requests end as not run when the host stops", "[L7]") {
  FullServer server("shelf");
  CHECK(server.Start(1).empty());
  const RequestId id = server.last_id();
  const FlowActions actions =
      server.fixture().flow().EndAll(server.fixture().now());
  CHECK_FALSE(FlowFixture::FindAction<SendAttempt>(actions));
  bool ended = false;
  for (const auto& action : actions) {
    const auto* end = std::get_if<FinishRequest>(&action);
    ended = ended || (end != nullptr && end->request == id &&
                      end->outcome == RequestOutcome::kRefused);
  }
  CHECK(ended);
  CHECK(server.fixture().flow().waiting_for_capacity() == 0);
}

// Two refused requests in three were retried and refused again. A caller that
// is told to wait for more than a third of its time does not retry.
TEST_CASE("a refusal is final while more work arrives than servers do",
          "[L7]") {
  FullServer server("shelf");
  int refused = 0;
  for (int i = 0; i < 100; ++i) {
    server.fixture().now() += milliseconds(2);
    const auto actions = server.Start(1);
    if (const auto* end = FlowFixture::FindAction<FinishRequest>(actions)) {
      ++refused;
      // The time left is 1200 ms. Another host that passes the refusal on
      // scales the delay by 0.75 or more.
      CHECK(end->retry_after * 0.75 > milliseconds(400));
    }
  }
  CHECK(refused > 50);
}

// A request that waited for the former owner would be late although the new
// one is idle.
TEST_CASE("a waiting request follows its key to another server", "[L7]") {
  FullServer server("shelf");
  CHECK(server.Start(1).empty());
  server.fixture().SetOwner("s2");
  const FlowActions actions =
      server.fixture().flow().HandleTableChange(server.fixture().now());
  const auto* send = FlowFixture::FindAction<SendAttempt>(actions);
  REQUIRE(send);
  CHECK(send->request == server.last_id());
  CHECK(send->server.incarnation.id == "s2");
}

TEST_CASE("a waiting request whose key loses its owner waits for an owner",
          "[L7]") {
  FullServer server("shelf");
  CHECK(server.Start(1).empty());
  server.fixture().SetOwner("");
  CHECK(server.fixture()
            .flow()
            .HandleTableChange(server.fixture().now())
            .empty());
  CHECK(server.fixture().flow().waiting_for_owner() == 1);
  CHECK(server.fixture().flow().waiting_for_capacity() == 0);
}

}  // namespace mustardflow::tests
