// Tests which orders to a server may be under way at the same time.

#include "coordination/order_queue.h"

#include <catch2/catch.hpp>
#include <optional>

namespace mustardflow::tests {

using coordination::OrderQueue;
using Entry = OrderQueue::Entry;

TEST_CASE("orders to one server go one after the other, in their order") {
  const state::Address near{"10.0.0.1", 80};
  const state::Address far{"10.0.0.2", 80};
  OrderQueue queue;
  CHECK(queue.Enter(near, 1) == Entry::kBegins);
  CHECK(queue.Enter(near, 2) == Entry::kWaits);
  CHECK(queue.Enter(near, 3) == Entry::kWaits);
  CHECK(queue.Enter(far, 4) == Entry::kBegins);
  CHECK(queue.Leave(near) == std::optional<std::uint64_t>(2));
  CHECK(queue.Leave(near) == std::optional<std::uint64_t>(3));
  CHECK(queue.Leave(near) == std::nullopt);
  CHECK(queue.Enter(near, 5) == Entry::kBegins);
  CHECK(queue.Leave(near) == std::nullopt);
  CHECK(queue.Leave(far) == std::nullopt);
  CHECK(queue.empty());
}

TEST_CASE("an order that gives up is passed over, unless it has begun") {
  const state::Address server{"10.0.0.1", 80};
  OrderQueue queue;
  REQUIRE(queue.Enter(server, 1) == Entry::kBegins);
  REQUIRE(queue.Enter(server, 2) == Entry::kWaits);
  REQUIRE(queue.Enter(server, 3) == Entry::kWaits);
  CHECK(queue.GiveUp(server, 2));
  CHECK(queue.Leave(server) == std::optional<std::uint64_t>(3));
  CHECK_FALSE(queue.GiveUp(server, 3));
  CHECK(queue.Leave(server) == std::nullopt);
  CHECK_FALSE(queue.GiveUp(server, 3));
  CHECK(queue.empty());
}

// Guards against a silent server for which orders pile up.
TEST_CASE("the orders that wait for a server are bounded") {
  const state::Address server{"10.0.0.1", 80};
  OrderQueue queue;
  REQUIRE(queue.Enter(server, 1) == Entry::kBegins);
  std::uint64_t ticket = 1;
  while (queue.Enter(server, ++ticket) == Entry::kWaits) {
    REQUIRE(ticket < 1000);
  }
  CHECK(queue.Enter(server, ++ticket) == Entry::kFull);
  CHECK(queue.Leave(server) == std::optional<std::uint64_t>(2));
  CHECK(queue.Enter(server, ++ticket) == Entry::kWaits);
}

}  // namespace mustardflow::tests
