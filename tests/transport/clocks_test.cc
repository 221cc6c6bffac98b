// The clock of leases and proofs while the machine is suspended.

#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>

#include "coordination/leader_election.h"
#include "transport/clocks.h"

namespace {

// How long the machine seems to have been suspended.
time_t suspended_seconds = 0;

}  // namespace

// Stands in for the C library's: the kernel's clocks with a suspension that
// only the clock of the time since the boot counts.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  const long result = syscall(SYS_clock_gettime, clock, time);
  if (result == 0 && clock == CLOCK_BOOTTIME) {
    time->tv_sec += suspended_seconds;
  }
  return static_cast<int>(result);
}

namespace mustardflow::tests {

TEST_CASE("a leader that was suspended knows that its proof is old", "[O1]") {
  const state::Instant began = transport::Now();
  coordination::LeaderElection election(began, "claim", 0);
  // Nobody answers: asks, reads the ledger, claims.
  state::Instant now = began + std::chrono::seconds(2);
  election.Tick(now);
  now += std::chrono::seconds(1);
  election.Tick(now);
  election.Tick(now);
  election.HandleLedger(now, coordination::LedgerHead{});
  election.Tick(now);
  election.HandleWrite(now, transport::Now(),
                       coordination::WriteOutcome::kDone);
  REQUIRE(election.leading());

  suspended_seconds = 11;
  const state::Instant woken = transport::Now();
  suspended_seconds = 0;
  CHECK(woken - began > coordination::kLeadershipLease);
  election.Tick(woken);
  CHECK_FALSE(election.leading());
}

}  // namespace mustardflow::tests
