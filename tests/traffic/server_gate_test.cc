// Tests ServerGate: its limit, its deadlines and its fairness between classes.

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/server_gate.h"

namespace mustardflow::tests {

namespace {

using coordination::AttemptReason;
using coordination::GateDecision;
using coordination::GateResult;
using coordination::GateTicket;
using coordination::ServerGate;
using state::Instant;
using std::chrono::milliseconds;

const Instant kStart{std::chrono::seconds(1)};

// Completes requests until the limit of the gate equals the number of slots.
void WarmUp(ServerGate& gate) {
  for (GateTicket ticket = 1'000'000; ticket < 1'000'100; ++ticket) {
    gate.Submit(kStart, ticket, "warm", kStart + milliseconds(100));
    gate.HandleDone(kStart, ticket, GateResult::kCompleted, milliseconds(1));
  }
}

}  // namespace

TEST_CASE("the limit restarts at one for a new process of the server", "[L3]") {
  ServerGate gate(6);
  WarmUp(gate);
  REQUIRE(gate.limit() == 6);
  gate.RecordBoot(1);
  CHECK(gate.limit() == 1);
  gate.RecordBoot(1);
  WarmUp(gate);
  CHECK(gate.limit() == 6);
}

TEST_CASE("the limit halves when the server sheds a request", "[L3][L4]") {
  ServerGate gate(8);
  WarmUp(gate);
  gate.Submit(kStart, 1, "a", kStart + milliseconds(100));
  gate.HandleDone(kStart, 1, GateResult::kShed, milliseconds(1));
  CHECK(gate.limit() == 4);
}

TEST_CASE("a class that fills the queue does not block another class", "[L7]") {
  ServerGate gate(1);
  const Instant deadline = kStart + std::chrono::seconds(10);
  gate.Submit(kStart, 1, "flood", deadline);
  for (GateTicket ticket = 2; ticket < 500; ++ticket) {
    gate.Submit(kStart, ticket, "flood", deadline);
  }
  const auto decisions = gate.Submit(kStart, 1000, "quiet", deadline);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].ticket != 1000);
  const auto next =
      gate.HandleDone(kStart, 1, GateResult::kCompleted, milliseconds(1));
  const auto after = gate.HandleDone(kStart, next[0].ticket,
                                     GateResult::kCompleted, milliseconds(1));
  CHECK((next[0].ticket == 1000 || after[0].ticket == 1000));
}

TEST_CASE("a request that cannot meet its deadline is refused on arrival",
          "[L1][R7]") {
  ServerGate gate(1);
  for (GateTicket ticket = 1; ticket < 50; ++ticket) {
    gate.Submit(kStart, ticket, "a", kStart + std::chrono::hours(1));
    gate.HandleDone(kStart, ticket, GateResult::kCompleted, milliseconds(100));
  }
  gate.Submit(kStart, 100, "a", kStart + std::chrono::hours(1));
  const auto refused = gate.Submit(kStart, 101, "a", kStart + milliseconds(50));
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].kind == GateDecision::Kind::kRefuse);
  CHECK(refused[0].reason == AttemptReason::kQueueFull);
}

// A ticket gets at most one decision, a request is sent only before its
// deadline, and the counts of the gate match a model.
TEST_CASE("requests in flight never exceed the slots in any sequence of calls",
          "[L6]") {
  const bool held = rc::check("server gate", [] {
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange(0, 1000)));
    constexpr int kSlots = 4;
    ServerGate gate(kSlots);
    Instant now = kStart;
    GateTicket next = 1;
    std::map<GateTicket, Instant> waiting;
    std::vector<GateTicket> sent;
    const auto apply = [&](const std::vector<GateDecision>& decisions) {
      for (const GateDecision& decision : decisions) {
        RC_ASSERT(waiting.contains(decision.ticket));
        if (decision.kind == GateDecision::Kind::kSend) {
          RC_ASSERT(now < waiting[decision.ticket]);
          sent.push_back(decision.ticket);
        }
        waiting.erase(decision.ticket);
      }
      RC_ASSERT(sent.size() <= static_cast<std::size_t>(kSlots));
      RC_ASSERT(gate.waiting() == waiting.size());
      RC_ASSERT(gate.in_flight() == sent.size());
    };
    for (const auto& [kind, number] : steps) {
      if (kind <= 2) {
        const GateTicket ticket = next++;
        const Instant deadline = now + milliseconds(number);
        waiting[ticket] = deadline;
        const std::string name(1, static_cast<char>('a' + number % 3));
        apply(gate.Submit(now, ticket, name, deadline));
      } else if (kind == 3 && !sent.empty()) {
        const GateTicket ticket = sent.back();
        sent.pop_back();
        apply(gate.HandleDone(now, ticket, static_cast<GateResult>(number % 3),
                              milliseconds(number % 50)));
      } else if (kind == 4) {
        now += milliseconds(number % 100);
        apply(gate.Tick(now));
      } else if (kind == 5 && !waiting.empty()) {
        gate.Cancel(waiting.begin()->first);
        waiting.erase(waiting.begin());
      } else if (kind == 6) {
        gate.RecordBoot(static_cast<state::BootId>(number % 3));
      }
    }
  });
  REQUIRE(held);
}

}  // namespace mustardflow::tests
