// What a coordinator may conclude about one member.

#include <catch2/catch.hpp>

#include "coordination/server_ledger.h"

namespace mustardflow::tests {

namespace {

using coordination::OwnershipTiming;
using coordination::ServerLedger;
using state::Instant;
using std::chrono::milliseconds;

const OwnershipTiming kTiming;
const state::KeyRange kRange{100, 200};

Instant At(int ms) {
  return Instant(milliseconds(ms));
}

state::Order MakeOrder(std::uint64_t sequence, bool with_range) {
  state::Order order;
  order.sequence = sequence;
  order.assignment = state::Assignment{1, {}, {}};
  if (with_range) {
    order.assignment->grants.push_back({kRange, {}, false, {}});
  }
  return order;
}

state::OrderAck MakeAck(std::uint64_t sequence, bool with_range) {
  state::OrderAck ack;
  ack.accepted = true;
  ack.sequence = sequence;
  ack.boot = 1;
  if (with_range) {
    ack.held.push_back({kRange, {}, false, {}});
  }
  return ack;
}

}  // namespace

TEST_CASE("a member that has not answered may hold everything") {
  ServerLedger ledger(kTiming);
  CHECK_FALSE(ledger.CertainlyFree(At(1000), kRange));
  ledger.BoundEarlierLeases(At(500));
  CHECK(ledger.CertainlyFree(At(501), kRange));
  CHECK_FALSE(ledger.CertainlyFree(At(500), kRange));
  CHECK_FALSE(ledger.CertainlyFree(std::nullopt, kRange));
}

TEST_CASE("what an unacknowledged order grants counts as held", "[O1]") {
  ServerLedger ledger(kTiming);
  ledger.BoundEarlierLeases(At(0));
  ledger.RecordSent(MakeOrder(1, true));
  ledger.RecordSent(MakeOrder(2, true));
  ledger.RecordAck(At(10), MakeAck(1, false));
  ledger.Renew(1, {}, At(10));
  CHECK_FALSE(ledger.CertainlyFree(At(20), kRange));
  ledger.RecordAck(At(30), MakeAck(2, false));
  CHECK(ledger.CertainlyFree(At(20), kRange));
}

TEST_CASE("an acknowledgement that is late does not undo a later one") {
  ServerLedger ledger(kTiming);
  ledger.RecordSent(MakeOrder(1, false));
  ledger.RecordSent(MakeOrder(2, true));
  CHECK(ledger.RecordAck(At(10), MakeAck(2, true)));
  CHECK_FALSE(ledger.RecordAck(At(20), MakeAck(1, false)));
  CHECK_FALSE(ledger.CertainlyFree(std::nullopt, kRange));
}

TEST_CASE("a lease ends only after a round that started later", "[O2]") {
  ServerLedger ledger(kTiming);
  ledger.BoundEarlierLeases(At(0));
  ledger.RecordSent(MakeOrder(1, true));
  ledger.RecordAck(At(100), MakeAck(1, true));
  ledger.Renew(1, {}, At(100));
  CHECK(ledger.LeasesExpired(At(1000)));
  CHECK_FALSE(ledger.CertainlyFree(At(800), kRange));
  CHECK(ledger.CertainlyFree(At(1000), kRange));
}

}  // namespace mustardflow::tests
