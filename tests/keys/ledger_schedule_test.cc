// What a leader writes to its ledger, and when.

#include <catch2/catch.hpp>

#include "coordination/ledger_schedule.h"

namespace mustardflow::tests {

namespace {

using coordination::LedgerNeeds;
using coordination::LedgerSchedule;
using coordination::LedgerWrite;
using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr LedgerNeeds kProofOnly{.proof = true};
constexpr LedgerNeeds kUpdateOnly{.update = true};
constexpr LedgerNeeds kAll{.confirmation = true, .proof = true, .update = true};

}  // namespace

// Guards against a leader that writes thousands of unchanged ranges without a
// pause, since some order fails all the time.
TEST_CASE("a proof of the term does not take the whole table", "[OWNER]") {
  LedgerSchedule schedule;
  Instant now{seconds(100)};
  CHECK(schedule.Next(now, kProofOnly) == LedgerWrite::kProof);
  int proofs = 0;
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(20);
    const LedgerWrite write = schedule.Next(now, kProofOnly);
    CHECK(write != LedgerWrite::kTable);
    proofs += write == LedgerWrite::kProof ? 1 : 0;
  }
  CHECK(proofs == 20);
}

TEST_CASE("a table that nothing waits for is written at intervals", "[OWNER]") {
  LedgerSchedule schedule;
  Instant now{seconds(100)};
  int tables = 0;
  int proofs = 0;
  for (int i = 0; i < 150; ++i) {
    const LedgerWrite write =
        schedule.Next(now, {.proof = true, .update = true});
    tables += write == LedgerWrite::kTable ? 1 : 0;
    proofs += write == LedgerWrite::kProof ? 1 : 0;
    now += milliseconds(20);
  }
  CHECK(tables == 10);
  CHECK(proofs >= 20);
  CHECK(proofs <= 30);
  CHECK(schedule.Next(now, {}) == LedgerWrite::kNone);
}

// Guards against moves that wait 300 ms after a write that nothing waited for.
TEST_CASE("a table that orders wait for is written at once", "[OWNER]") {
  LedgerSchedule schedule;
  const Instant now{seconds(100)};
  CHECK(schedule.Next(now, kUpdateOnly) == LedgerWrite::kTable);
  CHECK(schedule.Next(now, kUpdateOnly) == LedgerWrite::kNone);
  CHECK(schedule.Next(now, kAll) == LedgerWrite::kTable);
}

TEST_CASE("after a failed write the next one waits", "[OWNER]") {
  LedgerSchedule schedule;
  const Instant now{seconds(100)};
  schedule.HandleFailure(now);
  CHECK(schedule.Next(now + milliseconds(299), kAll) == LedgerWrite::kNone);
  CHECK(schedule.Next(now + milliseconds(300), kAll) == LedgerWrite::kTable);
}

}  // namespace mustardflow::tests
