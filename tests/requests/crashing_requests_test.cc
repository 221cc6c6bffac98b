// Requests that crash the servers which run them, and requests that were at
// work on servers which ended for other reasons.

#include <catch2/catch.hpp>
#include <chrono>
#include <ctime>
#include <string>
#include <vector>

#include "tests/requests/crash_simulation.h"
#include "tests/requests/flow_fixture.h"

namespace mustardflow::tests {

using coordination::CrashReport;
using coordination::CrashTracker;
using coordination::RequestOutcome;
using state::Instant;
using state::RequestKind;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

// A request may reach servers in this many retries later than this after its
// third crash.
constexpr std::size_t kMaxRetries = 3;
constexpr state::Duration kContact = seconds(3);

constexpr CrashSimulation::Fingerprint kPoison = 0x0bad;
constexpr CrashSimulation::Fingerprint kOtherPoison = 0x1bad;
constexpr CrashSimulation::Fingerprint kPopular = 0x600d;
constexpr CrashSimulation::Fingerprint kRare = 0x700d;

// Sends the request each `interval`.
class Repeater {
 public:
  Repeater(CrashSimulation& simulation,
           CrashSimulation::Fingerprint request,
           state::Duration interval,
           RequestKind kind = RequestKind::kIdempotent)
      : simulation_(simulation),
        request_(request),
        interval_(interval),
        kind_(kind) {}

  void operator()() {
    if (simulation_.now() >= next_) {
      next_ = simulation_.now() + interval_;
      simulation_.Ask(request_, kind_);
    }
  }

 private:
  CrashSimulation& simulation_;
  const CrashSimulation::Fingerprint request_;
  const state::Duration interval_;
  const RequestKind kind_;
  Instant next_{};
};

std::size_t LateRetries(CrashSimulation& simulation,
                        CrashSimulation::Fingerprint request) {
  const auto& crashes = simulation.crashes(request);
  REQUIRE(crashes.size() >= 3);
  return simulation.ReachedAfter(request, crashes[2] + kContact);
}

// Plays until the poison is refused, after 30 s at most.
void RunUntilRefused(CrashSimulation& simulation, Repeater& poison) {
  simulation.Poison(kPoison);
  for (int step = 0; step < 150 && simulation.RefusedCount() == 0; ++step) {
    simulation.Run(milliseconds(200), [&] { poison(); });
  }
  REQUIRE(simulation.RefusedCount() == 1);
}

}  // namespace

// Guards against a request that crashes two servers in each retry, and ends the
// work of other callers there, for as long as it comes.
TEST_CASE("a request that crashes servers is refused by all hosts", "[B3]") {
  const std::size_t hosts = GENERATE(8, 295);
  const std::string way = GENERATE("without keys", "with keys", "by a gate");
  const auto kind =
      GENERATE(RequestKind::kIdempotent, RequestKind::kNonIdempotent);
  const auto interval = GENERATE(milliseconds(400), milliseconds(2500));
  CAPTURE(hosts, way, kind, interval.count());
  CrashSimulation simulation(hosts, 13);
  if (way == "with keys") {
    simulation.UseKeys();
  } else if (way == "by a gate") {
    simulation.UseGate();
  }
  simulation.Poison(kPoison);
  Repeater poison(simulation, kPoison, interval, kind);
  Repeater rare(simulation, kRare, seconds(1));
  simulation.Run(seconds(30), [&] {
    poison();
    rare();
  });
  CHECK(LateRetries(simulation, kPoison) <= kMaxRetries);
  // It is refused at once, with the time until the next trial, while others are
  // served.
  const Instant since = simulation.crashes(kPoison)[2] + kContact;
  std::size_t refused = 0;
  for (const auto& ending : simulation.endings()) {
    if (ending.request == kPoison && ending.sent > since &&
        ending.end.outcome == RequestOutcome::kRefused) {
      ++refused;
      CHECK(ending.end.reason == coordination::kCrashesServersReason);
      CHECK(ending.at == ending.sent);
      CHECK(ending.end.retry_after >= seconds(1));
    }
    if (ending.request == kRare && ending.sent > since + seconds(1) &&
        ending.sent < since + seconds(10)) {
      CHECK(ending.end.outcome == RequestOutcome::kAnswered);
    }
  }
  CHECK(refused >= 3);
}

// Guards against crashes of one request that hide those of another.
TEST_CASE("two requests that crash servers at once are both refused", "[B3]") {
  CrashSimulation simulation(GENERATE(8, 295), 27);
  simulation.Poison(kPoison);
  simulation.Poison(kOtherPoison);
  Repeater one(simulation, kPoison, milliseconds(1500));
  Repeater other(simulation, kOtherPoison, milliseconds(1500));
  simulation.Run(seconds(40), [&] {
    one();
    other();
  });
  CHECK(LateRetries(simulation, kPoison) <= kMaxRetries);
  CHECK(LateRetries(simulation, kOtherPoison) <= kMaxRetries);
  CHECK(simulation.RefusedCount() == 2);
}

// Guards against refusing a popular request because it was at work on servers
// that ended for other reasons.
TEST_CASE("a popular request is served after servers have ended", "[B3]") {
  const std::size_t hosts = GENERATE(8, 295);
  CrashSimulation simulation(hosts, 12);
  Repeater popular(simulation, kPopular, milliseconds(20));
  simulation.Run(seconds(2), [&] { popular(); });
  const auto end_one_by_one = [&](state::Duration interval) {
    for (const std::size_t server : simulation.Up()) {
      simulation.Crash(server);
      simulation.Run(interval, [&] { popular(); });
    }
  };

  SECTION("which a release has replaced") {
    for (std::size_t server = 0; server < 12; server += 2) {
      simulation.Drain(server);
      simulation.Run(milliseconds(40), [&] { popular(); });
      simulation.Crash(server);
      simulation.Run(seconds(1), [&] { popular(); });
    }
  }
  SECTION("which left without a report") {
    for (std::size_t server = 0; server < 12; server += 2) {
      simulation.RemoveEntry(server);
      simulation.Run(milliseconds(40), [&] { popular(); });
      simulation.Crash(server);
      simulation.Run(seconds(1), [&] { popular(); });
    }
  }
  SECTION("in a lost zone") {
    for (std::size_t server = 0; server < 4; ++server) {
      simulation.Crash(server);
    }
  }
  SECTION("on killed hosts with two servers each") {
    for (std::size_t server = 0; server < 6; server += 2) {
      simulation.Crash(server);
      simulation.Crash(server + 1);
      simulation.Run(seconds(1), [&] { popular(); });
    }
  }
  SECTION("all at once") {
    for (const std::size_t server : simulation.Up()) {
      simulation.Crash(server);
    }
  }
  SECTION("one after the other, by an overload while they were cold") {
    end_one_by_one(milliseconds(300));
    end_one_by_one(milliseconds(300));
  }
  SECTION("or only had their connections reset") {
    for (int reset = 0; reset < 6; ++reset) {
      simulation.ResetConnections();
      simulation.Run(milliseconds(500), [&] { popular(); });
    }
  }
  simulation.Run(seconds(12), [&] { popular(); });
  const Instant since = simulation.now();
  simulation.Run(seconds(2), [&] { popular(); });
  simulation.Run(seconds(1));
  CHECK(simulation.Count(kPopular, since, RequestOutcome::kAnswered) == 100);
  for (const auto& ending : simulation.endings()) {
    CHECK(ending.end.reason != coordination::kCrashesServersReason);
  }
}

// Guards against taking the end of an entry host, which was a server's gate,
// for the end of the server.
TEST_CASE("a killed entry host is not a crash", "[B3]") {
  FlowFixture fixture;
  fixture.AddServer("s1", "shelf");
  fixture.SetOwner("s1");
  fixture.view().table.gates["s1"] = {"10.0.0.9", 7201};
  auto terms = fixture.Terms(RequestKind::kNonIdempotent, "shelf");
  terms.fingerprint = kPopular;
  const auto actions = fixture.flow().Start(fixture.now(), 1, terms);
  const auto* send =
      FlowFixture::FindAction<coordination::SendAttempt>(actions);
  REQUIRE(send);
  REQUIRE(send->gate);
  fixture.flow().HandleConnected(1, send->attempt);
  fixture.flow().HandleResult(fixture.now(), 1, send->attempt,
                              coordination::SendResult::kLost);
  fixture.now() += seconds(3);
  fixture.pool().Remove(fixture.now(), "s1");
  fixture.flow().Tick(fixture.now());
  coordination::CrashWatch& watch = fixture.flow().crash_watch();
  CHECK(watch.MakeReport(fixture.now(), 1).empty());
}

// Guards against evidence that waits for the expiry of an entry, which takes
// long where servers renew their entries rarely.
TEST_CASE("a later start at the address of a server proves its end", "[B3]") {
  state::ServiceBounds bounds;
  coordination::ServerPool pool("near", bounds, [] { return 0.5; });
  coordination::CrashWatch watch(pool);
  const Instant now{seconds(100)};
  state::ServerRecord record;
  record.incarnation = {"s1", 7};
  record.address = {"10.0.0.1", 80};
  pool.Update(now, record);
  watch.RecordUnanswered(now, kPoison, record.incarnation,
                         coordination::CrashWatch::End::kLost);
  watch.Tick(now + seconds(1), now + seconds(1));
  CHECK(watch.MakeReport(now + seconds(1), 1).empty());
  const bool reuses_id = GENERATE(true, false);
  record.incarnation = {reuses_id ? "s1" : "s2", 9};
  pool.Update(now + seconds(2), record);
  watch.Tick(now + seconds(2), now + seconds(2));
  CHECK(watch.MakeReport(now + seconds(2), 1).crashes.size() == 1);
}

// Guards against evidence that is lost because a server which ended without a
// reset is back under its id before the request is given up.
TEST_CASE("a request that outlasts the restart of its server is evidence",
          "[B3]") {
  state::ServiceBounds bounds;
  coordination::ServerPool pool("near", bounds, [] { return 0.5; });
  coordination::CrashWatch watch(pool);
  Instant now{seconds(100)};
  state::ServerRecord record;
  record.incarnation = {"s1", 7};
  pool.Update(now, record);
  const state::ServerIncarnation former = record.incarnation;
  record.incarnation.start_time_ms = 9;
  pool.Update(now, record);
  const auto end = GENERATE(coordination::CrashWatch::End::kGivenUp,
                            coordination::CrashWatch::End::kLost);
  watch.RecordUnanswered(now, kPoison, former, end);
  now += seconds(1);
  watch.Tick(now, now);
  const CrashReport report = watch.MakeReport(now, 1);
  REQUIRE(report.crashes.size() == 1);
  CHECK(report.crashes[0].server == former);
}

// Guards against a host of a large fleet that spends its processor time on the
// evidence after all connections were reset.
TEST_CASE("checks of many servers take little processor time", "[B3]") {
  constexpr int kServers = 720;
  // The processor time of a second that the smallest hosts have.
  constexpr double kShareOfSecond = 0.2;
  state::ServiceBounds bounds;
  coordination::ServerPool pool("near", bounds, [] { return 0.5; });
  coordination::CrashWatch watch(pool);
  Instant now{seconds(100)};
  state::ServerRecord record;
  for (int i = 0; i < kServers; ++i) {
    record.incarnation = {"s" + std::to_string(i), 7};
    record.address = {"10.0.0.1", static_cast<std::uint16_t>(1 + i)};
    pool.Update(now, record);
    watch.RecordUnanswered(now, static_cast<std::uint64_t>(i),
                           record.incarnation,
                           coordination::CrashWatch::End::kLost);
  }
  const std::clock_t begin = std::clock();
  for (int change = 0; change < 50; ++change) {
    now += milliseconds(20);
    record.incarnation = {"new" + std::to_string(change), 7};
    record.address.port = static_cast<std::uint16_t>(2000 + change);
    pool.Update(now, record);
    watch.Tick(now, now);
  }
  const double used =
      static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
  CHECK(used < kShareOfSecond / 4);
}

// Guards against a rare request that is refused because its few attempts were
// at work on servers whose connections were reset.
TEST_CASE("a lost connection is not a crash", "[B3]") {
  CrashSimulation simulation(8, 12);
  for (int reset = 0; reset < 10; ++reset) {
    simulation.Ask(kRare, RequestKind::kNonIdempotent);
    simulation.Run(milliseconds(40));
    simulation.ResetConnections();
    simulation.Run(seconds(2));
  }
  CHECK(simulation.list().empty());
  const Instant since = simulation.now();
  simulation.Run(milliseconds(20));
  simulation.Ask(kRare);
  simulation.Run(seconds(1));
  CHECK(simulation.Count(kRare, since, RequestOutcome::kAnswered) == 1);
}

// Guards against refusing a rare request that runs long, since servers that had
// it have left.
TEST_CASE("a rare request is served after servers have left", "[B3]") {
  const bool reported = GENERATE(true, false);
  CrashSimulation simulation(8, 12);
  for (int server = 0; server < 5; ++server) {
    simulation.Ask(kRare, RequestKind::kNonIdempotent);
    const std::size_t used = simulation.ServerOf(kRare);
    if (reported) {
      simulation.Drain(used);
    } else {
      simulation.RemoveEntry(used);
    }
    simulation.Run(milliseconds(40));
    simulation.Crash(used);
    simulation.Run(seconds(4));
  }
  CHECK(simulation.list().empty());
}

// Guards against refusing a request that was retried at the servers to which
// one that crashes them was retried as well.
TEST_CASE("one request is no proof against itself, however often retried",
          "[B3]") {
  CrashSimulation simulation(8, 12);
  simulation.SetMaxAttempts(6);
  simulation.Poison(kPoison);
  simulation.Ask(kPoison);
  simulation.Run(seconds(5));
  REQUIRE(simulation.crashes(kPoison).size() > 3);
  CHECK(simulation.RefusedCount() == 0);
  simulation.Ask(kPoison);
  simulation.Run(seconds(5));
  CHECK(simulation.RefusedCount() == 1);
}

// Guards against a request that stays refused once servers can run it.
TEST_CASE("a request is served again once a server has answered it", "[B3]") {
  CrashSimulation simulation(GENERATE(8, 295), 12);
  if (GENERATE(false, true)) {
    simulation.UseGate();
  }
  Repeater poison(simulation, kPoison, milliseconds(1500));
  RunUntilRefused(simulation, poison);
  simulation.Cure(kPoison);
  simulation.Run(seconds(32), [&] { poison(); });
  CHECK(simulation.RefusedCount() == 0);
  CHECK(simulation.list().empty());
  const Instant since = simulation.now();
  simulation.Run(seconds(3), [&] { poison(); });
  simulation.Run(seconds(1));
  CHECK(simulation.Count(kPoison, since, RequestOutcome::kAnswered) == 2);
}

// Guards against a change of leader that lets the request through again.
TEST_CASE("a new leader goes on refusing", "[B3]") {
  CrashSimulation simulation(8, 12);
  Repeater poison(simulation, kPoison, milliseconds(1500));
  SECTION("a request that was refused") {
    RunUntilRefused(simulation, poison);
    simulation.ChangeLeader();
    simulation.Run(seconds(20), [&] { poison(); });
  }
  SECTION("a request by crashes that the former leader counted") {
    simulation.Poison(kPoison);
    simulation.Ask(kPoison);
    simulation.Run(seconds(5));
    REQUIRE(simulation.crashes(kPoison).size() == 2);
    simulation.ChangeLeader();
    simulation.Run(seconds(20), [&] { poison(); });
  }
  CHECK(LateRetries(simulation, kPoison) <= kMaxRetries);
  CHECK(simulation.RefusedCount() == 1);
}

// Guards against evidence that a leader never gets, since a few of its
// datagrams were lost.
TEST_CASE("crashes are reported again after reports were lost", "[B3]") {
  CrashSimulation simulation(8, 12);
  simulation.Poison(kPoison);
  simulation.SetReportsLost(true);
  for (int retry = 0; retry < 2; ++retry) {
    simulation.Ask(kPoison);
    simulation.Run(seconds(5));
  }
  REQUIRE(simulation.crashes(kPoison).size() >= 3);
  simulation.SetReportsLost(false);
  simulation.Run(seconds(11));
  CHECK(simulation.RefusedCount() == 1);
}

// Guards against a leader that keeps what does not matter any more.
TEST_CASE("a request that does not come any more is forgotten", "[B3]") {
  CrashSimulation simulation(2, 12);
  Repeater poison(simulation, kPoison, milliseconds(1500));
  RunUntilRefused(simulation, poison);
  simulation.Run(minutes(11));
  CHECK(simulation.RefusedCount() == 0);
  CHECK(simulation.tracker().tracked() == 0);
}

// Guards against evidence that fills the leader's memory or its heartbeats.
TEST_CASE("what is remembered of crashes is bounded", "[B3]") {
  CrashTracker tracker;
  Instant now{seconds(100)};
  for (std::uint64_t request = 1; request <= 5000; ++request) {
    CrashReport report;
    for (int server = 0; server < 8; ++server) {
      report.crashes.push_back(
          {request, {"s" + std::to_string(server), 1}, milliseconds(0)});
    }
    tracker.Record(now, report);
    now += milliseconds(1);
    CHECK(tracker.Update(now).size() <= coordination::kMaxCrashingRequests);
  }
  CHECK(tracker.tracked() <= 512);

  CrashSimulation simulation(1, 40);
  for (std::uint64_t request = 1; request <= 4000; ++request) {
    simulation.Ask(request, RequestKind::kNonIdempotent);
  }
  for (const std::size_t server : simulation.Up()) {
    simulation.Crash(server);
  }
  simulation.Run(seconds(5));
  CHECK(simulation.tracker().tracked() <= 64);
}

}  // namespace mustardflow::tests
