// The phases of the election, driven by simulated results of the store and
// replies of hosts.

#include <catch2/catch.hpp>
#include <optional>
#include <variant>

#include "coordination/leader_election.h"

namespace mustardflow::tests {

namespace {

using coordination::LeaderElection;
using coordination::LedgerHead;
using coordination::WriteOutcome;
using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Ticks every 20 ms for up to `time` and returns the first action of type
// Action, if there is one.
template <typename Action>
std::optional<Action> Await(LeaderElection& election,
                            Instant* now,
                            state::Duration time) {
  const Instant end = *now + time;
  while (*now < end) {
    *now += milliseconds(20);
    for (const auto& action : election.Tick(*now)) {
      if (const auto* found = std::get_if<Action>(&action)) {
        return *found;
      }
    }
  }
  return std::nullopt;
}

// Runs the election, with `head` as the head of the ledger, until it claims the
// term. Returns the claim, if there is one.
std::optional<coordination::ClaimTerm> ReachClaim(LeaderElection& election,
                                                  Instant* now,
                                                  const LedgerHead& head) {
  if (!Await<coordination::ReadLedger>(election, now, seconds(3))) {
    return std::nullopt;
  }
  election.HandleLedger(*now, head);
  return Await<coordination::ClaimTerm>(election, now, milliseconds(100));
}

}  // namespace

// Guards against an overloaded leader: a leader with a tenth of a core used all
// of it, so its messages reached the hosts too late.
TEST_CASE("a host queries later than hosts that are better suited to lead") {
  Instant now(seconds(10));
  LeaderElection weak(now, "weak", 0);
  LeaderElection strong(now, "strong", 0.99);
  weak.SetRank(40, true);
  weak.HandleHeartbeat(now, 1, false);
  strong.HandleHeartbeat(now, 1, false);
  Instant weak_now = now;
  REQUIRE(Await<coordination::QueryHosts>(strong, &now, seconds(3)));
  REQUIRE(Await<coordination::QueryHosts>(weak, &weak_now, seconds(3)));
  CHECK(weak_now > now);
}

TEST_CASE("a host claims the first term on an empty ledger and leads") {
  Instant now(seconds(10));
  LeaderElection election(now, "a", 0);
  const auto claim = ReachClaim(election, &now, {0, "", 0, 0});
  REQUIRE(claim);
  CHECK(claim->term == 1);
  election.HandleWrite(now, now, WriteOutcome::kDone);
  CHECK(Await<coordination::BeginLeading>(election, &now, seconds(1)));
  CHECK(election.leading());
}

TEST_CASE("a host that receives heartbeats does not query other hosts") {
  Instant now(seconds(10));
  LeaderElection election(now, "a", 0);
  for (int i = 0; i < 50; ++i) {
    election.HandleHeartbeat(now, 3, false);
    CHECK_FALSE(
        Await<coordination::QueryHosts>(election, &now, milliseconds(200)));
  }
}

TEST_CASE("a host does not claim if a reply names a recent heartbeat",
          "[O10]") {
  Instant now(seconds(10));
  LeaderElection election(now, "a", 0);
  REQUIRE(Await<coordination::QueryHosts>(election, &now, seconds(2)));
  election.HandleQueryReply(now, 2, milliseconds(100));
  CHECK_FALSE(
      Await<coordination::ReadLedger>(election, &now, milliseconds(700)));
}

TEST_CASE("a host without replies does not claim while the leader renews",
          "[O3]") {
  Instant now(seconds(10));
  LeaderElection election(now, "a", 0);
  for (int renewal = 0; renewal < 6; ++renewal) {
    REQUIRE(Await<coordination::ReadLedger>(election, &now, seconds(3)));
    election.HandleLedger(now, LedgerHead{2, "b", renewal, 9 + renewal});
    CHECK_FALSE(
        Await<coordination::ClaimTerm>(election, &now, milliseconds(100)));
  }
}

TEST_CASE("a host without replies claims when the ledger shows no renewals") {
  Instant now(seconds(10));
  LeaderElection election(now, "a", 0);
  bool claimed = false;
  for (int i = 0; i < 5 && !claimed; ++i) {
    claimed = ReachClaim(election, &now, {2, "b", 7, 9}).has_value();
  }
  CHECK(claimed);
}

TEST_CASE("a host leads if the ledger holds its unanswered claim", "[O5]") {
  Instant now(seconds(10));
  LeaderElection election(now, "a", 0);
  const auto claim = ReachClaim(election, &now, {0, "", 0, 0});
  REQUIRE(claim);
  election.HandleWrite(now, now, WriteOutcome::kUnknown);
  REQUIRE(Await<coordination::ReadLedger>(election, &now, seconds(1)));
  election.HandleLedger(now, LedgerHead{claim->term, "a", 0, 1});
  CHECK(Await<coordination::BeginLeading>(election, &now, seconds(1)));
}

// Guards against fences and appends of a term that are used twice: a leader
// that had stopped found its own claim at the head of the ledger and led again.
TEST_CASE("a host that has led a term claims the next one", "[O3][O5]") {
  Instant now(seconds(10));
  LeaderElection election(now, "a", 0);
  const auto claim = ReachClaim(election, &now, {0, "", 0, 0});
  REQUIRE(claim);
  const bool answered = GENERATE(true, false);
  const LedgerHead head{claim->term, "a", 0, 1};
  if (answered) {
    election.HandleWrite(now, now, WriteOutcome::kDone);
  } else {
    election.HandleWrite(now, now, WriteOutcome::kUnknown);
    REQUIRE(Await<coordination::ReadLedger>(election, &now, seconds(1)));
    election.HandleLedger(now, head);
  }
  REQUIRE(Await<coordination::BeginLeading>(election, &now, seconds(1)));
  const bool fenced = GENERATE(true, false);
  if (fenced) {
    election.HandleFenced();
  }
  REQUIRE(Await<coordination::StopLeading>(election, &now, seconds(20)));
  // No other host replies, and the ledger still ends with this host's claim.
  const auto next = ReachClaim(election, &now, head);
  CHECK_FALSE(election.leading());
  REQUIRE(next);
  CHECK(next->term == claim->term + 1);
  election.HandleWrite(now, now, WriteOutcome::kDone);
  const auto begin =
      Await<coordination::BeginLeading>(election, &now, seconds(1));
  REQUIRE(begin);
  CHECK(begin->term == claim->term + 1);
}

// Guards against a claim that counts as won because of the answer to something
// written before it: a renewal of a term that this host has led, or an earlier
// claim.
TEST_CASE("the late answer to an earlier write wins no claim", "[O3][O7]") {
  Instant now(seconds(10));
  LeaderElection election(now, "a", 0);
  REQUIRE(ReachClaim(election, &now, {0, "", 0, 0}));
  Instant written = now;
  const bool led = GENERATE(true, false);
  if (led) {
    election.HandleWrite(now, now, WriteOutcome::kDone);
    REQUIRE(Await<coordination::RenewTerm>(election, &now, seconds(2)));
    written = now;
    election.HandleFenced();
    REQUIRE(Await<coordination::StopLeading>(election, &now, seconds(1)));
  }
  REQUIRE(ReachClaim(election, &now, {0, "", 0, 0}));
  election.HandleWrite(now, written, WriteOutcome::kDone);
  CHECK_FALSE(election.leading());
  election.HandleWrite(now, now, WriteOutcome::kDone);
  CHECK(election.leading());
}

TEST_CASE("a host whose claim meets a conflict does not lead", "[O7]") {
  Instant now(seconds(10));
  LeaderElection election(now, "a", 0);
  REQUIRE(ReachClaim(election, &now, {0, "", 0, 0}));
  election.HandleWrite(now, now, WriteOutcome::kConflict);
  CHECK_FALSE(election.leading());
}

TEST_CASE("a leader stops when it is fenced, succeeded or without proof") {
  Instant now(seconds(10));
  LeaderElection election(now, "a", 0);
  REQUIRE(ReachClaim(election, &now, {0, "", 0, 0}));
  election.HandleWrite(now, now, WriteOutcome::kDone);
  REQUIRE(Await<coordination::BeginLeading>(election, &now, seconds(1)));

  SECTION("fenced") {
    REQUIRE(Await<coordination::RenewTerm>(election, &now, seconds(2)));
    election.HandleWrite(now, now, WriteOutcome::kFenced);
    CHECK(Await<coordination::StopLeading>(election, &now, seconds(1)));
  }
  SECTION("succeeded") {
    election.HandleHeartbeat(now, 2, false);
    CHECK(Await<coordination::StopLeading>(election, &now, seconds(1)));
  }
  SECTION("without proof") {
    const Instant last_proof = now;
    REQUIRE(Await<coordination::RenewTerm>(election, &now, seconds(2)));
    election.HandleWrite(now, now, WriteOutcome::kUnknown);
    CHECK(Await<coordination::StopLeading>(election, &now, seconds(20)));
    CHECK(now - last_proof <=
          coordination::kLeadershipLease + milliseconds(40));
  }
  CHECK_FALSE(election.leading());
}

TEST_CASE("a leader offers to hand over for a while, once in a term") {
  Instant now(seconds(10));
  LeaderElection election(now, "a", 0);
  REQUIRE(ReachClaim(election, &now, {0, "", 0, 0}));
  election.HandleWrite(now, now, WriteOutcome::kDone);
  REQUIRE(Await<coordination::BeginLeading>(election, &now, seconds(1)));
  election.HandOver(now);
  CHECK(election.stepping_down(now));
  now += seconds(3);
  election.HandleProof(now);
  // No host has claimed the next term.
  CHECK(election.leading());
  CHECK_FALSE(election.stepping_down(now));
  election.HandOver(now);
  CHECK_FALSE(election.stepping_down(now));
}

TEST_CASE(
    "a host reads the ledger before the leader timeout if the leader steps "
    "down") {
  Instant now(seconds(10));
  LeaderElection election(now, "a", 0);
  election.HandleHeartbeat(now, 2, false);
  now += milliseconds(200);
  election.HandleHeartbeat(now, 2, true);
  CHECK(Await<coordination::ReadLedger>(election, &now, milliseconds(400)));
}

// The following tests guard against a term, and so a fence, that is given out
// twice because the store has come back without the record of its winner.

TEST_CASE("a leader goes on in a new era and then claims a far higher term",
          "[O3]") {
  Instant now(seconds(10));
  LeaderElection election(now, "a", 0);
  election.HandleEra(now, 3);
  REQUIRE(ReachClaim(election, &now, {0, "", 0, 0, false, 0, 3}));
  election.HandleWrite(now, now, WriteOutcome::kDone);
  REQUIRE(Await<coordination::BeginLeading>(election, &now, seconds(1)));
  const std::int64_t term = election.term();
  election.HandleEra(now, 4);
  // What the store had confirmed is no proof any more, and it is not asked for
  // another one.
  const Instant seen = now;
  election.HandleWrite(now, now, WriteOutcome::kDone);
  CHECK_FALSE(Await<coordination::RenewTerm>(election, &now, seconds(3)));
  CHECK(election.leading());
  CHECK_FALSE(election.stepping_down(now));
  const auto stop =
      Await<coordination::StopLeading>(election, &now, seconds(3));
  REQUIRE(stop);
  CHECK(stop->enters_era);
  CHECK(now - seen >= coordination::kEraSettleTime);
  // The copy still names the term before.
  const auto claim = ReachClaim(election, &now, {7, "b", 0, 5, false, 3, 4});
  REQUIRE(claim);
  CHECK(claim->era == 4);
  CHECK(claim->term > term + coordination::kTermsPerEra);
}

TEST_CASE("a claim that an earlier era has confirmed wins no term", "[O3]") {
  Instant now(seconds(10));
  LeaderElection election(now, "a", 0);
  election.HandleEra(now, 1);
  const auto claim = ReachClaim(election, &now, {0, "", 0, 0, false, 0, 1});
  REQUIRE(claim);
  election.HandleEra(now, 2);
  election.HandleWrite(now, now, WriteOutcome::kDone);
  CHECK_FALSE(election.leading());
  // The claim is in the copy, or the store has taken it in its new era. No host
  // replies, so this one waits until nobody renews.
  std::optional<coordination::ClaimTerm> next;
  for (int i = 0; i < 5 && !next; ++i) {
    next = ReachClaim(election, &now, {claim->term, "a", 0, 6, false, 1, 2});
  }
  CHECK_FALSE(election.leading());
  REQUIRE(next);
  CHECK(next->term > claim->term + coordination::kTermsPerEra);
}

TEST_CASE("a host that knows only the copy claims above what others know",
          "[O3]") {
  Instant now(seconds(10));
  LeaderElection election(now, "a", 0);
  election.HandleEra(now, 2);
  election.HandleTerm(7, 1);
  election.Join(now);
  REQUIRE(Await<coordination::QueryHosts>(election, &now, seconds(3)));
  const bool replied = GENERATE(true, false);
  if (replied) {
    election.HandleQueryReply(now, 9000, std::nullopt, 1);
  }
  std::optional<coordination::ClaimTerm> claim;
  for (int i = 0; i < 5 && !claim; ++i) {
    claim = ReachClaim(election, &now, {7, "b", 0, 5, false, 1, 2});
  }
  REQUIRE(claim);
  CHECK(claim->term > (replied ? 9000 : 7) + coordination::kTermsPerEra);
}

TEST_CASE("a host lets the leader of an earlier era claim first", "[O10]") {
  Instant now(seconds(10));
  LeaderElection election(now, "a", 0);
  // The leader has lost the store, so it asks for a successor.
  election.HandleHeartbeat(now, 7, true, 1);
  for (int i = 0; i < 10; ++i) {
    if (Await<coordination::ReadLedger>(election, &now, milliseconds(200))) {
      election.HandleEra(now, 2);
      election.HandleLedger(now, LedgerHead{7, "b", 0, 5, false, 1, 2});
    }
    CHECK_FALSE(
        Await<coordination::ClaimTerm>(election, &now, milliseconds(100)));
    election.HandleHeartbeat(now, 7, true, 1);
  }
  now += seconds(1);
  CHECK(ReachClaim(election, &now, {7, "b", 0, 5, false, 1, 2}));
}

}  // namespace mustardflow::tests
