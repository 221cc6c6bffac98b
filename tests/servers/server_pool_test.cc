// Tests for the selection of servers and for the limits on their requests.

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <variant>

#include "coordination/server_pool.h"

namespace mustardflow::tests {

namespace {

using coordination::ServerChoice;
using coordination::ServerPool;
using coordination::ServerResult;
using state::Instant;
using state::ServerRecord;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The maximum number of requests per second to a cold server.
constexpr double kColdRate = 20;

// A ServerPool with one service, "desk", whose servers are in zone "near".
class PoolFixture {
 public:
  explicit PoolFixture(std::size_t hosts = 1) : pool_(MakePool()) {
    state::ServiceRules rules;
    rules.cold_rate = kColdRate;
    rules.max_connections = 100;
    const state::RoutingConfig config(1, {}, {{"desk", rules}}, {});
    pool_.SetConfig(config);
    pool_.SetHostCount(hosts);
  }

  ServerRecord Add(const std::string& id, state::Duration warmup = {}) {
    ServerRecord record;
    record.incarnation = {id, 1};
    record.sequence = 1;
    record.service = "desk";
    record.address = {"10.0.0.1", 80};
    record.zone = "near";
    record.slots = 6;
    record.warmup_left = warmup;
    pool_.Update(now_, record);
    return record;
  }

  std::optional<ServerRecord> Choose() {
    const auto choice =
        pool_.Choose(now_, {"desk", nullptr, seconds(10), false});
    const auto* found = std::get_if<ServerChoice>(&choice);
    return found == nullptr ? std::nullopt : std::optional(found->record);
  }

  ServerPool& pool() { return pool_; }
  Instant& now() { return now_; }

 private:
  ServerPool MakePool() {
    state::ServiceBounds bounds;
    bounds.cold_factor = 1.5;
    bounds.cold_slack = 5;
    return {"near", bounds, [this] {
              return std::uniform_real_distribution<double>(0, 1)(random_);
            }};
  }

  std::mt19937_64 random_{7};
  Instant now_{seconds(100)};
  ServerPool pool_;
};

}  // namespace

TEST_CASE("all hosts together keep to the rate limit of a cold server",
          "[L3]") {
  constexpr std::size_t kHosts = 8;
  std::size_t sent = 0;
  for (std::size_t host = 0; host < kHosts; ++host) {
    PoolFixture fixture(kHosts);
    const ServerRecord server = fixture.Add("a", seconds(3));
    for (int i = 0; i < 200; ++i) {
      fixture.now() += milliseconds(4);
      if (fixture.Choose()) {
        fixture.pool().RecordSent(fixture.now(), server.incarnation);
        fixture.pool().RecordEnd(fixture.now(), server.incarnation,
                                 fixture.now(), ServerResult::kAnswered);
        ++sent;
      }
    }
  }
  CHECK(sent > 0);
  CHECK(static_cast<double>(sent) <= kColdRate * 1.5 + 5);
}

TEST_CASE("draining, gone and evacuated servers get no requests") {
  PoolFixture fixture;
  ServerRecord server = fixture.Add("a");
  REQUIRE(fixture.Choose());
  SECTION("draining") {
    server.draining = true;
    ++server.sequence;
    fixture.pool().Update(fixture.now(), server);
  }
  SECTION("gone") {
    fixture.pool().Remove(fixture.now(), "a");
  }
  SECTION("evacuated") {
    fixture.pool().SetEvacuated({"near"});
  }
  CHECK_FALSE(fixture.Choose());
}

TEST_CASE("an entry that is older than the known one is ignored") {
  PoolFixture fixture;
  ServerRecord server = fixture.Add("a");
  ServerRecord newer = server;
  newer.sequence = 9;
  newer.draining = true;
  fixture.pool().Update(fixture.now(), newer);
  fixture.pool().Update(fixture.now(), server);
  CHECK_FALSE(fixture.Choose());
  // A new incarnation starts a new sequence.
  server.incarnation.start_time_ms = 2;
  fixture.pool().Update(fixture.now(), server);
  CHECK(fixture.Choose());
}

// Guards against the use of a server that has gone while the host was cut off
// from the store: the host used the server until the grace period of its
// missing entry had expired.
TEST_CASE("an unconfirmed server gets no requests while others are listed") {
  PoolFixture fixture;
  fixture.Add("a");
  fixture.Add("b");
  fixture.Add("c");
  fixture.pool().SetUnconfirmed("a");
  std::set<std::string> chosen;
  for (int i = 0; i < 100; ++i) {
    chosen.insert(fixture.Choose()->incarnation.id);
  }
  CHECK(chosen == std::set<std::string>{"b", "c"});
  // When most entries are missing, an outage of the store is the more likely
  // cause, so unconfirmed servers are used.
  fixture.pool().SetUnconfirmed("b");
  fixture.pool().SetUnconfirmed("c");
  CHECK(fixture.Choose());
}

TEST_CASE("a stalled server gets no requests while another is available",
          "[L4][L5]") {
  PoolFixture fixture;
  const ServerRecord stalled = fixture.Add("a");
  fixture.Add("b");
  for (int i = 0; i < 4; ++i) {
    fixture.pool().RecordSent(fixture.now(), stalled.incarnation);
  }
  fixture.now() += seconds(1);
  int to_stalled = 0;
  for (int i = 0; i < 100; ++i) {
    to_stalled += fixture.Choose()->incarnation.id == "a" ? 1 : 0;
  }
  CHECK(to_stalled == 0);
}

TEST_CASE(
    "a server that reports a full queue gets no requests until the report "
    "expires",
    "[L6]") {
  PoolFixture fixture;
  const ServerRecord server = fixture.Add("a");
  fixture.pool().RecordLoad(fixture.now(), server.incarnation, 18, 1);
  CHECK_FALSE(fixture.Choose());
  fixture.now() += seconds(3);
  CHECK(fixture.Choose());
}

// Guards against overload of one server by many hosts: 65 hosts together sent a
// third of all requests to one server, which reset the connections.
TEST_CASE("refusals reduce the requests to a server, responses restore them",
          "[L6]") {
  PoolFixture fixture;
  const ServerRecord server = fixture.Add("a");
  const auto sent_in_a_second = [&](ServerResult result) {
    int sent = 0;
    for (int i = 0; i < 100; ++i) {
      fixture.now() += milliseconds(10);
      if (fixture.Choose()) {
        const Instant when = fixture.now();
        fixture.pool().RecordSent(when, server.incarnation);
        fixture.pool().RecordEnd(when + milliseconds(50), server.incarnation,
                                 when, result);
        ++sent;
      }
    }
    return sent;
  };
  CHECK(sent_in_a_second(ServerResult::kAnswered) == 100);
  sent_in_a_second(ServerResult::kRefused);
  const int while_refusing = sent_in_a_second(ServerResult::kRefused);
  CHECK(while_refusing <= 10);
  CHECK(while_refusing >= 1);
  for (int i = 0; i < 5; ++i) {
    sent_in_a_second(ServerResult::kAnswered);
  }
  CHECK(sent_in_a_second(ServerResult::kAnswered) == 100);
}

// Guards against a window that shrinks without benefit: servers that refused
// half of their requests although slots were free got fewer and fewer requests.
TEST_CASE("refusals by a server with free slots do not reduce its requests",
          "[L4]") {
  PoolFixture fixture;
  const ServerRecord server = fixture.Add("a");
  for (int i = 0; i < 20; ++i) {
    fixture.now() += milliseconds(200);
    REQUIRE(fixture.Choose());
    const Instant when = fixture.now();
    fixture.pool().RecordSent(when, server.incarnation);
    fixture.now() += milliseconds(20);
    fixture.pool().RecordLoad(fixture.now(), server.incarnation, 2, 1);
    fixture.pool().RecordEnd(fixture.now(), server.incarnation, when,
                             ServerResult::kRefused);
  }
  CHECK(fixture.pool().HasFreeSlots(server.incarnation));
  CHECK(fixture.Choose());
}

// Guards against a window that closes although refusals do not depend on the
// load: the server refuses half of the requests at random while its slots are
// taken, and runs others at the same load.
TEST_CASE("refusals at a load at which others run do not reduce the requests",
          "[L4]") {
  PoolFixture fixture;
  const ServerRecord server = fixture.Add("a");
  std::deque<Instant> in_flight;
  std::size_t least_in_flight = 8;
  for (int i = 0; i < 400; ++i) {
    fixture.now() += milliseconds(10);
    while (in_flight.size() < 8 && fixture.Choose()) {
      fixture.now() += std::chrono::microseconds(10);
      in_flight.push_back(fixture.now());
      fixture.pool().RecordSent(fixture.now(), server.incarnation);
    }
    least_in_flight = std::min(least_in_flight, in_flight.size());
    const bool refused = i % 2 == 0;
    if (!refused) {
      fixture.pool().RecordLoad(fixture.now(), server.incarnation,
                                static_cast<int>(in_flight.size()), 1);
    }
    fixture.pool().RecordEnd(
        fixture.now(), server.incarnation, in_flight.front(),
        refused ? ServerResult::kRefused : ServerResult::kAnswered);
    in_flight.pop_front();
  }
  CHECK(least_in_flight >= 5);
}

TEST_CASE("a host with few requests uses few servers of a large pool") {
  PoolFixture fixture;
  for (int i = 0; i < 100; ++i) {
    fixture.Add("server-" + std::to_string(i));
  }
  std::set<std::string> chosen;
  for (int i = 0; i < 200; ++i) {
    fixture.now() += milliseconds(500);
    const auto server = fixture.Choose();
    REQUIRE(server);
    chosen.insert(server->incarnation.id);
    fixture.pool().RecordSent(fixture.now(), server->incarnation);
    fixture.pool().RecordEnd(fixture.now() + milliseconds(50),
                             server->incarnation, fixture.now(),
                             ServerResult::kAnswered);
  }
  CHECK(chosen.size() <= 8);
  // The other servers are used when the preferred ones are gone.
  for (const std::string& id : chosen) {
    fixture.pool().Remove(fixture.now(), id);
  }
  CHECK(fixture.Choose());
}

namespace {

// The slots of a server.
constexpr int kSlots = 6;

// Sends `count` requests, as many at a time as the server has slots, and ends
// them 2.5 s later with the result.
void RecordSlowRequests(PoolFixture* fixture,
                        const ServerRecord& server,
                        int count,
                        ServerResult result) {
  for (int done = 0; done < count; done += kSlots) {
    std::deque<Instant> sent;
    for (int i = 0; i < std::min(kSlots, count - done); ++i) {
      fixture->now() += milliseconds(5);
      fixture->pool().RecordSent(fixture->now(), server.incarnation);
      sent.push_back(fixture->now());
    }
    fixture->now() += milliseconds(2500);
    for (const Instant at : sent) {
      fixture->pool().RecordEnd(fixture->now(), server.incarnation, at, result);
    }
  }
}

// Offers the server 100 requests a second for `time`, each answered after 0.1 s
// if it is sent. Returns how many of the last second were sent.
int OfferAndAnswer(PoolFixture* fixture,
                   const ServerRecord& server,
                   seconds time) {
  std::deque<Instant> in_flight;
  int sent = 0;
  const Instant end = fixture->now() + time;
  while (fixture->now() < end) {
    fixture->now() += milliseconds(10);
    const Instant now = fixture->now();
    while (!in_flight.empty() && now - in_flight.front() >= milliseconds(100)) {
      fixture->pool().RecordEnd(now, server.incarnation, in_flight.front(),
                                ServerResult::kAnswered);
      in_flight.pop_front();
    }
    const auto checked =
        fixture->pool().Check(now, server.incarnation, milliseconds(560));
    const auto* choice = std::get_if<ServerChoice>(&checked);
    if (in_flight.size() < kSlots && choice != nullptr) {
      fixture->pool().RecordSent(now, server.incarnation, "", choice->probe);
      in_flight.push_back(now);
      sent += now > end - seconds(1) ? 1 : 0;
    }
  }
  for (const Instant at : in_flight) {
    fixture->pool().RecordEnd(at + milliseconds(100), server.incarnation, at,
                              ServerResult::kAnswered);
  }
  return sent;
}

}  // namespace

// Guards against a host that refuses all requests for good after connections
// went silent, or after it was suspended itself: only requests that it sent
// could lower the latency that it expected. The requests that a server has at
// that moment are those of all hosts.
TEST_CASE("slow requests in flight at a fault refuse no later ones", "[L7]") {
  const int hosts = GENERATE(1, 2, 4, 10);
  const ServerResult result =
      GENERATE(ServerResult::kCancelled, ServerResult::kAnswered);
  CAPTURE(hosts, static_cast<int>(result));
  PoolFixture fixture(static_cast<std::size_t>(hosts));
  const ServerRecord server = fixture.Add("a");
  OfferAndAnswer(&fixture, server, seconds(5));
  RecordSlowRequests(&fixture, server, (15 + hosts - 1) / hosts, result);
  CHECK(OfferAndAnswer(&fixture, server, seconds(12)) > 25);
}

TEST_CASE("a server that was slow for long gets requests again", "[L7]") {
  const int hosts = GENERATE(1, 2, 4, 10);
  const ServerResult result =
      GENERATE(ServerResult::kCancelled, ServerResult::kAnswered);
  CAPTURE(hosts, static_cast<int>(result));
  PoolFixture fixture(static_cast<std::size_t>(hosts));
  const ServerRecord server = fixture.Add("a");
  OfferAndAnswer(&fixture, server, seconds(5));
  RecordSlowRequests(&fixture, server, 180, result);
  CHECK(OfferAndAnswer(&fixture, server, seconds(30)) > 25);
}

TEST_CASE("a server that is too late gets few probes from all hosts together",
          "[L7]") {
  constexpr std::size_t kHosts = 10;
  PoolFixture fixture(kHosts);
  const ServerRecord server = fixture.Add("a");
  int sent = 0;
  for (int i = 0; i < 6000; ++i) {
    fixture.now() += milliseconds(10);
    const auto choice = fixture.pool().Choose(
        fixture.now(), {"desk", nullptr, milliseconds(50), false});
    if (std::holds_alternative<ServerChoice>(choice)) {
      ++sent;
      const Instant at = fixture.now();
      fixture.pool().RecordSent(at, server.incarnation);
      fixture.now() += milliseconds(200);
      fixture.pool().RecordEnd(fixture.now(), server.incarnation, at,
                               ServerResult::kAnswered);
    }
  }
  CHECK(sent >= 1);
  CHECK(sent <= 20);
}

}  // namespace mustardflow::tests
