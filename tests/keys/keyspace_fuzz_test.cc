// Stateful fuzzing of the assignment of keys to servers.

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <vector>

#include "tests/keys/keyspace_simulation.h"

namespace mustardflow::tests {

namespace {

// One event of a run: `kind` selects a case of ApplyEvent(), and `server_index`
// the server. `amount` selects the variant or the size of the event and the
// time until the next one.
struct FaultEvent {
  int kind = 0;
  int server_index = 0;
  int amount = 0;
};

constexpr int kEventKinds = 14;

std::ostream& operator<<(std::ostream& stream, const FaultEvent& event) {
  return stream << event.kind << '/' << event.server_index << '/'
                << event.amount;
}

void ApplyEvent(KeyspaceSimulation& simulation, const FaultEvent& event) {
  const int server = event.server_index % KeyspaceSimulation::kServers;
  switch (event.kind) {
    case 0:
      simulation.Kill(server);
      break;
    case 1:
      simulation.Restart(server);
      break;
    case 2:
      simulation.SetListed(server, event.amount % 2 == 0);
      break;
    case 3:
      simulation.SetDraining(server, event.amount % 2 == 0);
      break;
    case 4:
      simulation.DisconnectNewestLeader(server, event.amount % 3 != 0);
      break;
    case 5:
      simulation.SetStoreUp(event.amount % 3 != 0);
      break;
    case 6:
      simulation.TakeOver(event.amount % 3 == 0);
      break;
    case 7:
      simulation.AddLoad(static_cast<state::ShardKey>(event.amount * 650), 400);
      break;
    case 8:
      simulation.SetFaults(
          {event.amount % 4 == 0 ? 30 : 0, event.amount % 4 == 1 ? 30 : 0,
           event.amount % 4 == 2 ? 40 : 5, event.amount % 4 == 3 ? 50 : 5});
      break;
    case 9:
      simulation.StallNewestLeader(
          std::chrono::milliseconds(50 + event.amount * 25));
      break;
    case 10:
      simulation.StallFormerLeaders(
          std::chrono::milliseconds(50 + event.amount * 15));
      break;
    case 11:
      simulation.SetMessageLoss(event.amount % 3 == 0 ? 0 : event.amount);
      break;
    case 12:
      simulation.SetNewestLeaderHeard(event.amount % 2 == 0);
      break;
    default:
      simulation.SetFaults({});
      break;
  }
}

}  // namespace

TEST_CASE("each key has at most one holder and rising fences under all faults",
          "[O1][O3][O5][O7][O8][O12][O13]") {
  const auto small = rc::gen::inRange(0, 100);
  const auto event = rc::gen::build<FaultEvent>(
      rc::gen::set(&FaultEvent::kind, rc::gen::inRange(0, kEventKinds)),
      rc::gen::set(&FaultEvent::server_index, small),
      rc::gen::set(&FaultEvent::amount, small));
  const bool holds = rc::check([&] {
    KeyspaceSimulation simulation(*rc::gen::arbitrary<std::uint64_t>());
    simulation.Advance(std::chrono::seconds(2));
    const auto events = *rc::gen::container<std::vector<FaultEvent>>(event);
    for (const FaultEvent& next : events) {
      ApplyEvent(simulation, next);
      simulation.Advance(std::chrono::milliseconds(10 + next.amount * 12));
      RC_ASSERT(simulation.violation() == "");
    }
  });
  REQUIRE(holds);
}

TEST_CASE("all keys are held again after all faults have ended") {
  const bool holds = rc::check([] {
    KeyspaceSimulation simulation(*rc::gen::arbitrary<std::uint64_t>());
    simulation.Advance(std::chrono::seconds(2));
    const auto kinds =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    for (const int kind : kinds) {
      ApplyEvent(simulation, {kind % kEventKinds, kind / 3, kind});
      simulation.Advance(std::chrono::milliseconds(10 + kind * 7));
    }
    simulation.SetFaults({});
    simulation.SetMessageLoss(0);
    simulation.SetNewestLeaderHeard(true);
    simulation.SetStoreUp(true);
    for (int i = 0; i < KeyspaceSimulation::kServers; ++i) {
      simulation.SetListed(i, true);
      simulation.SetDraining(i, false);
      simulation.DisconnectNewestLeader(i, false);
      simulation.Restart(i);
    }
    // A predecessor may send grants for ten seconds, and their leases last up
    // to three seconds longer.
    simulation.Advance(std::chrono::seconds(15));
    RC_ASSERT(simulation.violation() == "");
    // Balancing makes a key unavailable for a short time while it moves, so all
    // keys have to be held at only one of 100 moments within a second.
    for (int i = 0;
         i < 100 && simulation.held() < KeyspaceSimulation::kWatchedKeys; ++i) {
      simulation.Advance(std::chrono::milliseconds(10));
    }
    RC_ASSERT(simulation.held() == KeyspaceSimulation::kWatchedKeys);
  });
  REQUIRE(holds);
}

}  // namespace mustardflow::tests
