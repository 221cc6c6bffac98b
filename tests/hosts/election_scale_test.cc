// The number of terms and claims, and the time until a stable leader, for up to
// 1,000 hosts.

#include <catch2/catch.hpp>
#include <cstdint>
#include <cstdio>
#include <random>

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

// Guards against a term that is won twice because the store has lost it, and
// against hosts that stay without a leader. The moment and the extent of each
// loss are random.
TEST_CASE("no term is won twice over eras of the store", "[O3][O5]") {
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    const int hosts = 2 + static_cast<int>(random() % 7);
    ElectionSimulation simulation(hosts, false, seed);
    simulation.SetEras();
    simulation.Advance(milliseconds(random() % 6000));
    int lost_hosts = 0;
    for (int loss = 0; loss < 4; ++loss) {
      const bool kills = lost_hosts + 2 < hosts && random() % 3 == 0;
      if (kills) {
        lost_hosts += simulation.leader() ? 1 : 0;
        simulation.KillLeader();
        simulation.Advance(milliseconds(random() % 3000));
      }
      if (random() % 2 == 0) {
        simulation.SetStoreUp(false);
        simulation.Advance(milliseconds(random() % 3000));
        simulation.SetStoreUp(true);
      }
      simulation.LoseRecords(milliseconds(random() % 8000));
      if (random() % 4 == 0) {
        lost_hosts = 0;
        simulation.RestartAll();
      }
      // A further loss may come before all hosts know of this one.
      simulation.Advance(milliseconds(random() % 7000));
      REQUIRE_FALSE(simulation.repeated_term());
    }
    simulation.Advance(std::chrono::seconds(20));
    CHECK(simulation.leader().has_value());
    CHECK_FALSE(simulation.repeated_term());
  }
}

}  // namespace mustardflow::tests
