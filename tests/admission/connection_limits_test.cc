// Tests the division of descriptors and the choice of the connection to close.

#include "admission/connection_limits.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace mustardflow::tests {

namespace {

using admission::ChooseConnectionToClose;
using admission::ConnectionLimitsFor;
using admission::OpenConnection;
using std::chrono::milliseconds;

const state::Instant kNow(std::chrono::seconds(100));

OpenConnection Idle(milliseconds age) {
  return {true, false, kNow - age};
}

OpenConnection Stalled(milliseconds age) {
  return {false, true, kNow - age};
}

}  // namespace

TEST_CASE("all connections together leave 200 descriptors", "[M3]") {
  for (const std::size_t descriptors : {400, 2870, 4100, 8192, 1000000}) {
    const auto limits = ConnectionLimitsFor(descriptors);
    CHECK(limits.callers + limits.forwarded + limits.servers +
              limits.peer_pages + 2 * limits.probes <=
          descriptors - 200);
    CHECK(limits.callers <= 2500);
  }
}

TEST_CASE("without a number of descriptors the limits are fixed", "[M3]") {
  CHECK(ConnectionLimitsFor(0).callers == 2500);
  CHECK(ConnectionLimitsFor(0).forwarded == 2500);
  CHECK(ConnectionLimitsFor(0).peer_pages == 2000);
}

TEST_CASE("a host with few descriptors still accepts connections", "[M3]") {
  CHECK(ConnectionLimitsFor(1).callers > 0);
  CHECK(ConnectionLimitsFor(200).probes > 0);
}

// Guards against a crowd of silent connections that keeps callers out.
TEST_CASE("the longest idle connection is closed first", "[M4]") {
  const auto chosen = ChooseConnectionToClose(
      kNow, {Idle(milliseconds(1500)), Stalled(milliseconds(9000)),
             Idle(milliseconds(4000)), OpenConnection()});
  REQUIRE(chosen);
  CHECK(*chosen == 2);
}

TEST_CASE("a stalled connection is closed if none is idle", "[M4]") {
  const auto chosen = ChooseConnectionToClose(
      kNow, {OpenConnection(), Stalled(milliseconds(2000)),
             Stalled(milliseconds(3000))});
  REQUIRE(chosen);
  CHECK(*chosen == 2);
}

// Guards against closing a connection whose next request is on its way, or one
// whose request is under way.
TEST_CASE("connections in use are not closed", "[M4]") {
  CHECK_FALSE(ChooseConnectionToClose(
      kNow, {OpenConnection(), Idle(milliseconds(500))}));
}

}  // namespace mustardflow::tests
