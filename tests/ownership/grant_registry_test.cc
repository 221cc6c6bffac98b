// Tests which orders an owner accepts and which grants take effect.

#include <catch2/catch.hpp>

#include "state/grant_registry.h"

namespace mustardflow::tests {

namespace {

using state::Grant;
using state::GrantRegistry;
using state::Order;
using state::ServerInstant;
using std::chrono::milliseconds;

constexpr state::BootId kBoot = 7;
constexpr state::KeyHash kKey = 42;
const state::Fence kFence{{1, 1, 1}, 1};

ServerInstant AtMs(int ms) {
  return ServerInstant(milliseconds(ms));
}

// Makes an order that grants the whole keyspace under `kFence`.
Order MakeOrder(std::uint64_t term,
                std::uint64_t sequence,
                int lease_until_ms,
                bool continued) {
  Order order;
  order.term = {1, term, 1};
  order.sequence = sequence;
  order.assignment = state::Assignment{
      kBoot, AtMs(lease_until_ms), {Grant{{}, kFence, continued, {}}}};
  return order;
}

}  // namespace

TEST_CASE("a continued grant does not take effect once its lease has expired",
          "[O2]") {
  GrantRegistry registry(kBoot, AtMs(0));
  registry.Apply(MakeOrder(1, 1, 100, false), AtMs(0));
  CHECK(registry.AcceptingFence(kKey, AtMs(99)) == kFence);
  CHECK_FALSE(registry.AcceptingFence(kKey, AtMs(100)));
  const auto ack = registry.Apply(MakeOrder(2, 1, 300, true), AtMs(150));
  CHECK(ack.accepted);
  CHECK(ack.held.empty());
  CHECK_FALSE(registry.AcceptingFence(kKey, AtMs(200)));
}

TEST_CASE("a grant stays in force when a later coordinator continues it",
          "[O7]") {
  GrantRegistry registry(kBoot, AtMs(0));
  registry.Apply(MakeOrder(1, 1, 100, false), AtMs(0));
  registry.Apply(MakeOrder(2, 1, 300, true), AtMs(50));
  CHECK(registry.AcceptingFence(kKey, AtMs(200)) == kFence);
}

TEST_CASE("an order of a lower term is refused", "[O1]") {
  GrantRegistry registry(kBoot, AtMs(0));
  Order release = MakeOrder(2, 1, 300, true);
  release.assignment->grants.clear();
  registry.Apply(MakeOrder(1, 1, 100, false), AtMs(0));
  registry.Apply(release, AtMs(10));
  const auto ack = registry.Apply(MakeOrder(1, 2, 100, false), AtMs(20));
  CHECK_FALSE(ack.accepted);
  CHECK(ack.highest_term.number == 2);
  CHECK_FALSE(registry.AcceptingFence(kKey, AtMs(30)));
}

TEST_CASE("an assignment for another incarnation is not applied", "[O8]") {
  GrantRegistry registry(kBoot + 1, AtMs(0));
  const auto ack = registry.Apply(MakeOrder(1, 1, 100, false), AtMs(0));
  CHECK(ack.accepted);
  CHECK(ack.held.empty());
}

TEST_CASE("a released range is reported as draining until its work has ended",
          "[O13]") {
  GrantRegistry registry(kBoot, AtMs(0));
  registry.Apply(MakeOrder(1, 1, 100, false), AtMs(0));
  registry.BeginWork(kKey);
  Order release = MakeOrder(1, 2, 200, true);
  release.assignment->grants.clear();
  CHECK(registry.Apply(release, AtMs(10)).draining.size() == 1);
  registry.EndWork(kKey);
  release.sequence = 3;
  CHECK(registry.Apply(release, AtMs(20)).draining.empty());
}

}  // namespace mustardflow::tests
