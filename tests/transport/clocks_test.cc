// Tests that the clock of leases and leadership proofs counts the time during
// which the machine is suspended.

#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>

#include "coordination/leader_election.h"
#include "transport/clocks.h"

namespace {

// The simulated duration of a suspension.
time_t suspended_seconds = 0;

}  // namespace

// Replaces the C library's function: reads the kernel's clocks and adds the
// simulated suspension to CLOCK_BOOTTIME, the only clock that counts it.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  const long result = syscall(SYS_clock_gettime, clock, time);
  if (result == 0 && clock == CLOCK_BOOTTIME) {
    time->tv_sec += suspended_seconds;
  }
  return static_cast<int>(result);
}

namespace mustardflow::tests {

TEST_CASE("a leader stops leading if its proof expired during a suspension",
          "[O1]") {
  const state::Instant sent = transport::Now();
  const state::Instant started = sent - std::chrono::seconds(3);
  coordination::LeaderElection election(started, "claim", 0);
  // No host answers: the host queries the others, reads the ledger and claims
  // the term.
  state::Instant now = started + std::chrono::seconds(2);
  election.Tick(now);
  now += std::chrono::seconds(1);
  election.Tick(now);
  election.Tick(now);
  election.HandleLedger(now, coordination::LedgerHead{});
  election.Tick(now);
  election.HandleWrite(now, sent, coordination::WriteOutcome::kDone);
  REQUIRE(election.leading());

  suspended_seconds = 11;
  const state::Instant resumed = transport::Now();
  suspended_seconds = 0;
  CHECK(resumed - sent > coordination::kLeadershipLease);
  election.Tick(resumed);
  CHECK_FALSE(election.leading());
}

}  // namespace mustardflow::tests
