// Tests when a range of one member counts as free.

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

Instant AtMs(int ms) {
  return Instant(milliseconds(ms));
}

// Makes an order whose assignment is empty or grants `kRange`.
state::Order MakeOrder(std::uint64_t sequence, bool with_range) {
  state::Order order;
  order.sequence = sequence;
  order.assignment = state::Assignment{1, {}, {}};
  if (with_range) {
    order.assignment->grants.push_back({kRange, {}, false, {}});
  }
  return order;
}

// Makes an acknowledgement of a member that holds nothing or `kRange`.
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

TEST_CASE(
    "a member that has not answered may hold any range until its leases end") {
  ServerLedger ledger(kTiming);
  CHECK_FALSE(ledger.CertainlyFree(AtMs(1000), kRange));
  ledger.BoundEarlierLeases(AtMs(500));
  CHECK(ledger.CertainlyFree(AtMs(501), kRange));
  CHECK_FALSE(ledger.CertainlyFree(AtMs(500), kRange));
  CHECK_FALSE(ledger.CertainlyFree(std::nullopt, kRange));
}

TEST_CASE("a range granted by an unacknowledged order counts as held", "[O1]") {
  ServerLedger ledger(kTiming);
  ledger.BoundEarlierLeases(AtMs(0));
  ledger.RecordSent(MakeOrder(1, true));
  ledger.RecordSent(MakeOrder(2, true));
  ledger.RecordAck(AtMs(10), MakeAck(1, false));
  ledger.Renew(1, {}, AtMs(10));
  CHECK_FALSE(ledger.CertainlyFree(AtMs(20), kRange));
  ledger.RecordAck(AtMs(30), MakeAck(2, false));
  CHECK(ledger.CertainlyFree(AtMs(20), kRange));
}

TEST_CASE("an acknowledgement older than the newest one is ignored") {
  ServerLedger ledger(kTiming);
  ledger.RecordSent(MakeOrder(1, false));
  ledger.RecordSent(MakeOrder(2, true));
  CHECK(ledger.RecordAck(AtMs(10), MakeAck(2, true)));
  CHECK_FALSE(ledger.RecordAck(AtMs(20), MakeAck(1, false)));
  CHECK_FALSE(ledger.CertainlyFree(std::nullopt, kRange));
}

TEST_CASE(
    "a lease counts as ended only with a successful round that started later",
    "[O2]") {
  ServerLedger ledger(kTiming);
  ledger.BoundEarlierLeases(AtMs(0));
  ledger.RecordSent(MakeOrder(1, true));
  ledger.RecordAck(AtMs(100), MakeAck(1, true));
  ledger.Renew(1, {}, AtMs(100));
  CHECK(ledger.LeasesExpired(AtMs(1000)));
  CHECK_FALSE(ledger.CertainlyFree(AtMs(800), kRange));
  CHECK(ledger.CertainlyFree(AtMs(1000), kRange));
}

}  // namespace mustardflow::tests
