// The number of terms and claims, and the time until a stable leader, for up to
// 1,000 hosts.

#include <catch2/catch.hpp>
#include <cstdio>

#include "tests/hosts/election_simulation.h"

namespace mustardflow::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSizes[] = {8, 82, 295, 1000};
constexpr std::uint64_t kSeeds = 5;

void Print(const char* pattern, int hosts, const ElectionSimulation& s) {
  std::printf("| %s | %d | %d | %d | %.2f |\n", pattern, hosts, s.terms(),
              s.claims(),
              std::chrono::duration<double>(s.leader_since()).count());
}

// A strong host leads, and has led since `latest`, after at most two terms.
void CheckLeader(const ElectionSimulation& simulation,
                 int hosts,
                 state::Duration latest,
                 int max_terms) {
  INFO(hosts);
  REQUIRE(simulation.leader());
  CHECK(simulation.IsStrong(*simulation.leader()));
  CHECK(simulation.leader_since() <= latest);
  CHECK(simulation.terms() <= max_terms);
  CHECK(simulation.claims() <= max_terms + 4);
}

}  // namespace

TEST_CASE("hosts that start together elect one strong leader", "[O7]") {
  for (const int hosts : kSizes) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      ElectionSimulation simulation(hosts, true, seed);
      simulation.Advance(seconds(12));
      Print("first start", hosts, simulation);
      CheckLeader(simulation, hosts, seconds(2), 2);
    }
  }
}

TEST_CASE("hosts that restart together after a power loss elect one leader",
          "[O4]") {
  for (const int hosts : kSizes) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      ElectionSimulation simulation(hosts, false, seed);
      simulation.Advance(seconds(12));
      Print("power loss", hosts, simulation);
      CheckLeader(simulation, hosts, seconds(2), 2);
    }
  }
}

TEST_CASE("hosts that start while the store is away elect one leader", "[O6]") {
  for (const int hosts : kSizes) {
    ElectionSimulation simulation(hosts, false, 1);
    simulation.SetStoreUp(false);
    simulation.Advance(seconds(5));
    CHECK(simulation.terms() == 0);
    simulation.SetStoreUp(true);
    simulation.Advance(seconds(8));
    Print("store away", hosts, simulation);
    CheckLeader(simulation, hosts, seconds(7), 2);
  }
}

TEST_CASE("one host succeeds a leader that is lost", "[O7]") {
  for (const int hosts : kSizes) {
    ElectionSimulation simulation(hosts, false, 2);
    simulation.Advance(seconds(5));
    const int terms = simulation.terms();
    simulation.KillLeader();
    simulation.Advance(seconds(5));
    Print("leader lost", hosts, simulation);
    CheckLeader(simulation, hosts, milliseconds(6800), terms + 2);
  }
}

}  // namespace mustardflow::tests
