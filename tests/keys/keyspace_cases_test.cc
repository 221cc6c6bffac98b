// Single cases of granting, moving and balancing keys.

#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/keys/keyspace_simulation.h"

namespace mustardflow::tests {

namespace {

using coordination::KeyOrder;
using coordination::KeyspaceCoordinator;
using coordination::OrderKind;
using coordination::OrderOutcome;
using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_CASE("the keys of a new service are assigned evenly to all its servers") {
  KeyspaceSimulation simulation(1);
  // The initial assignment waits until no further server is listed.
  simulation.Advance(milliseconds(1300));
  CHECK(simulation.held() == KeyspaceSimulation::kWatchedKeys);
  std::array<int, KeyspaceSimulation::kServers> held{};
  for (int i = 0; i < 16; ++i) {
    ++held[static_cast<std::size_t>(
        simulation.HolderOf(static_cast<state::ShardKey>(i * 4096)))];
  }
  for (const int count : held) {
    CHECK(count == 4);
  }
}

TEST_CASE("the keys of a lost server are held again after about one lease",
          "[O2]") {
  KeyspaceSimulation simulation(2);
  simulation.Advance(seconds(2));
  simulation.Kill(1);
  simulation.Advance(milliseconds(3300));
  CHECK(simulation.held() == KeyspaceSimulation::kWatchedKeys);
  CHECK(simulation.violation().empty());
}

TEST_CASE("a restarted server gets keys without waiting for its former leases",
          "[O8]") {
  KeyspaceSimulation simulation(3);
  simulation.Advance(seconds(2));
  simulation.Restart(1);
  simulation.Advance(milliseconds(600));
  CHECK(simulation.held() == KeyspaceSimulation::kWatchedKeys);
  CHECK(simulation.violation().empty());
}

TEST_CASE("a draining server hands its keys over and never holds them again") {
  KeyspaceSimulation simulation(4);
  simulation.Advance(seconds(2));
  simulation.SetDraining(2, true);
  simulation.Advance(milliseconds(1500));
  CHECK(simulation.held() == KeyspaceSimulation::kWatchedKeys);
  for (int key = 0; key < state::kShardKeyCount; key += 1024) {
    CHECK(simulation.HolderOf(static_cast<state::ShardKey>(key)) != 2);
  }
}

TEST_CASE("a change of leader moves no keys") {
  KeyspaceSimulation simulation(5);
  simulation.Advance(seconds(2));
  const int before = simulation.HolderOf(0);
  simulation.TakeOver(false);
  simulation.Advance(seconds(2));
  CHECK(simulation.HolderOf(0) == before);
  CHECK(simulation.held() == KeyspaceSimulation::kWatchedKeys);
  CHECK(simulation.leader().moved_share() == 0);
}

TEST_CASE(
    "keys of a server that the new leader cannot reach move only after the "
    "predecessor has stopped",
    "[O3]") {
  KeyspaceSimulation simulation(6);
  simulation.Advance(seconds(2));
  std::set<state::ShardKey> keys_of_unreachable;
  for (int key = 0; key < state::kShardKeyCount; key += 1024) {
    if (simulation.HolderOf(static_cast<state::ShardKey>(key)) == 0) {
      keys_of_unreachable.insert(static_cast<state::ShardKey>(key));
    }
  }
  REQUIRE_FALSE(keys_of_unreachable.empty());
  // The other hosts follow the predecessor, which so goes on for ten seconds.
  simulation.TakeOver(false);
  simulation.SetNewestLeaderHeard(false);
  simulation.DisconnectNewestLeader(0, true);
  for (int i = 0; i < 9; ++i) {
    simulation.Advance(seconds(1));
    for (const state::ShardKey key : keys_of_unreachable) {
      // No other server holds the key; the predecessor may still renew it.
      const int holder = simulation.HolderOf(key);
      CHECK((holder == 0 || holder == -1));
    }
  }
  CHECK(simulation.violation().empty());
  // The predecessor stops ten seconds after the new leader has taken over, and
  // what it wrote last has left at the end of its turn.
  simulation.Advance(seconds(5) + coordination::kMaxTurnTime);
  CHECK(simulation.violation().empty());
  CHECK(simulation.held() == KeyspaceSimulation::kWatchedKeys);
}

// Guards against keys that move from all servers because the leader itself
// could not send for a while.
TEST_CASE("orders that the leader withheld make no server unresponsive",
          "[O1]") {
  Instant now(seconds(100));
  KeyspaceCoordinator coordinator(now, 1, {}, now);
  coordinator.SetServers(now, {{{"a", 1}, 1, true}, {{"b", 1}, 1, true}});
  int withheld = 0;
  const Instant sends_until = now + seconds(4);
  while (now < sends_until + seconds(2)) {
    now += milliseconds(10);
    for (const KeyOrder& order : coordinator.Tick(now)) {
      const bool sent = now < sends_until;
      withheld += sent ? 0 : 1;
      coordinator.HandleOrderOutcome(
          now, order, sent ? OrderOutcome::kAccepted : OrderOutcome::kWithheld,
          "");
    }
    coordinator.HandleRecordConfirmed(coordinator.recorded_change());
    coordinator.HandleProof(now);
  }
  CHECK(withheld > 2);
  CHECK(coordinator.UnresponsiveServers().empty());
}

// Guards against a grant that is repeated with its fence to an incarnation that
// started behind a lost connection and is not listed yet.
TEST_CASE("a grant after a lost connection has a higher fence", "[O8]") {
  const OrderOutcome lost = GENERATE(
      OrderOutcome::kNotSent, OrderOutcome::kUnknown, OrderOutcome::kReset);
  Instant now(seconds(100));
  KeyspaceCoordinator coordinator(now, 1, {}, now);
  coordinator.SetServers(now, {{{"a", 1}, 1, true}});
  std::vector<std::int64_t> fences;
  for (const Instant end = now + seconds(4); now < end;) {
    now += milliseconds(10);
    for (const KeyOrder& order : coordinator.Tick(now)) {
      fences.push_back(order.fence);
      coordinator.HandleOrderOutcome(
          now, order, fences.size() == 2 ? lost : OrderOutcome::kAccepted, "");
    }
    coordinator.HandleRecordConfirmed(coordinator.recorded_change());
    coordinator.HandleProof(now);
    coordinator.HandleDelivery(now, now);
  }
  REQUIRE(fences.size() >= 4);
  CHECK(fences[1] == fences[0]);
  CHECK(fences[2] > fences[1]);
  CHECK(fences[3] == fences[2]);
}

// Guards against a new incarnation that gets the fences of the one before for
// the ranges whose orders were not under way when the connection was lost, and
// against a lost connection that makes all ranges of the server be granted at
// once or late.
TEST_CASE("all ranges of a server get higher fences after a lost connection",
          "[O8]") {
  const bool closed = GENERATE(false, true);
  Instant now(seconds(100));
  const state::ServerIncarnation a{"a", 1};
  const state::ServerIncarnation b{"b", 1};
  const std::int32_t last = state::kShardKeyCount - 1;
  const state::ServiceRanges recorded = {{0, 9999, a, {}, 1, true},
                                         {10000, 19999, b, {}, 1, true},
                                         {20000, 29999, a, {}, 1, true},
                                         {30000, 39999, b, {}, 1, true},
                                         {40000, last, a, {}, 1, true}};
  KeyspaceCoordinator coordinator(now, 2, recorded, now);
  coordinator.SetServers(now, {{a, 1, true}, {b, 1, true}});
  // By first key: the fences of the grants, and when they were sent.
  std::map<std::int32_t, std::vector<std::pair<std::int64_t, Instant>>> grants;
  std::optional<Instant> lost_at;
  const auto run = [&](bool loses) {
    for (const Instant end = now + seconds(4); now < end;) {
      now += milliseconds(10);
      for (const KeyOrder& order : coordinator.Tick(now)) {
        const bool lost = loses && !lost_at && order.first == 20000;
        coordinator.HandleOrderOutcome(
            now, order,
            lost && !closed ? OrderOutcome::kReset : OrderOutcome::kAccepted,
            "");
        if (lost) {
          lost_at = now;
          if (closed) {
            coordinator.HandleConnectionClosed(now, order.server);
          }
        }
        if (!loses || (lost_at && now > *lost_at)) {
          grants[order.first].emplace_back(order.fence, now);
        }
      }
      coordinator.HandleRecordConfirmed(coordinator.recorded_change());
      coordinator.HandleProof(now);
      coordinator.HandleDelivery(now, now);
    }
  };
  run(false);
  const auto before = std::exchange(grants, {});
  run(true);
  REQUIRE(before.size() == 5);
  REQUIRE(grants.size() == 5);
  for (const auto& [first, sent] : grants) {
    CAPTURE(closed, first);
    const std::int64_t fence = before.at(first).back().first;
    const bool of_b = first == 10000 || first == 30000;
    CHECK((sent.front().first > fence) == !of_b);
    CHECK(sent.front().first == sent.back().first);
    CHECK(sent.size() <= before.at(first).size() + 1);
    CHECK(sent.front().second - before.at(first).back().second <
          milliseconds(1300));
  }
}

// Guards against a grant that waited while a connection was lost and opens the
// next one with the fence of an earlier incarnation.
TEST_CASE("a grant from before a lost connection may not open another",
          "[O8]") {
  Instant now(seconds(100));
  KeyspaceCoordinator coordinator(now, 1, {}, now);
  coordinator.SetServers(now, {{{"a", 1}, 1, true}});
  std::vector<KeyOrder> orders;
  while (orders.empty()) {
    now += milliseconds(10);
    orders = coordinator.Tick(now);
    coordinator.HandleRecordConfirmed(coordinator.recorded_change());
  }
  KeyOrder release = orders[0];
  release.kind = OrderKind::kRelease;
  CHECK(coordinator.MayConnect(orders[0]));
  coordinator.HandleOrderOutcome(now, release, OrderOutcome::kUnknown, "");
  CHECK_FALSE(coordinator.MayConnect(orders[0]));
  coordinator.HandleOrderOutcome(now, orders[0], OrderOutcome::kWithheld, "");
  now += milliseconds(10);
  coordinator.HandleProof(now);
  const std::vector<KeyOrder> next = coordinator.Tick(now);
  REQUIRE(next.size() == 1);
  CHECK(next[0].fence > orders[0].fence);
  CHECK(coordinator.MayConnect(next[0]));
}

// Guards against keys that wait for the end of a lease because the release was
// sent to a former incarnation only.
TEST_CASE("a release is sent again to a restarted server", "[O8]") {
  Instant now(seconds(100));
  KeyspaceCoordinator coordinator(now, 1, {}, now);
  std::vector<KeyOrder> orders;
  const auto run = [&](milliseconds time) {
    for (const Instant end = now + time; now < end;) {
      now += milliseconds(10);
      for (KeyOrder& order : coordinator.Tick(now)) {
        orders.push_back(std::move(order));
      }
      coordinator.HandleRecordConfirmed(coordinator.recorded_change());
      coordinator.HandleProof(now);
      coordinator.HandleDelivery(now, now);
    }
    return std::exchange(orders, {});
  };
  coordinator.SetServers(now, {{{"a", 1}, 1, true}});
  const std::vector<KeyOrder> grants = run(seconds(1));
  REQUIRE(grants.size() == 1);
  coordinator.HandleOrderOutcome(now, grants[0], OrderOutcome::kAccepted, "");
  coordinator.SetServers(now, {{{"a", 1}, 1, false}, {{"b", 1}, 1, true}});
  const std::vector<KeyOrder> releases = run(milliseconds(100));
  REQUIRE_FALSE(releases.empty());
  coordinator.SetServers(now, {{{"a", 2}, 1, false}, {{"b", 1}, 1, true}});
  for (const KeyOrder& release : releases) {
    coordinator.HandleOrderOutcome(now, release, OrderOutcome::kReset, "");
  }
  bool sent_again = false;
  for (const KeyOrder& order : run(seconds(2))) {
    sent_again = sent_again || (order.kind == OrderKind::kRelease &&
                                order.server.start_time_ms == 2);
  }
  CHECK(sent_again);
}

// Guards against a key given to a second server because the lease of the first
// was counted from the reset of an unanswered order, although the order left
// only at the end of a long turn of the leader's loop.
TEST_CASE("an unanswered grant that leaves after its timeout ends no lease",
          "[O1][O2]") {
  KeyspaceSimulation simulation(GENERATE(range(1, 21)));
  simulation.Advance(seconds(2));
  const int stall_ms = GENERATE(450, 900, 1600);
  simulation.StallNewestLeader(milliseconds(stall_ms));
  simulation.Advance(milliseconds(stall_ms));
  const int lost = simulation.HolderOf(0);
  REQUIRE(lost >= 0);
  simulation.DisconnectNewestLeader(lost, true);
  simulation.SetDraining(lost, true);
  simulation.Advance(seconds(5));
  INFO(simulation.violation());
  CHECK(simulation.violation().empty());
  CHECK(simulation.held() == KeyspaceSimulation::kWatchedKeys);
}

// Guards against a key given to a second server because a succeeded leader
// checked its proof within a long turn of its loop, at whose end its grant
// left.
TEST_CASE(
    "a grant that leaves late in a succeeded leader's turn gives no lease",
    "[O1][O3]") {
  KeyspaceSimulation simulation(GENERATE(range(1, 21)));
  simulation.Advance(milliseconds(2050));
  // Only the predecessor reaches the first server, and no other.
  for (int server = 1; server < KeyspaceSimulation::kServers; ++server) {
    simulation.DisconnectNewestLeader(server, true);
  }
  simulation.TakeOver(false);
  simulation.DisconnectNewestLeader(0, true);
  simulation.SetDraining(0, true);
  simulation.Advance(milliseconds(GENERATE(300, 700, 1000, 1200)));
  simulation.StallFormerLeaders(milliseconds(1500));
  simulation.Advance(seconds(7));
  INFO(simulation.violation());
  CHECK(simulation.violation().empty());
  CHECK(simulation.held() == KeyspaceSimulation::kWatchedKeys);
}

// Found by the fuzzer: an unanswered grant of the successor shortened the time
// during which the coordinator expected late grants of the predecessor. It then
// took the lease as ended by a release, although the predecessor could still
// renew the lease.
TEST_CASE("a release does not end a lease that the predecessor may still grant",
          "[O3]") {
  Instant now(seconds(100));
  const Instant predecessor_end = now + seconds(10);
  state::OwnedRange range;
  range.last = state::kShardKeyCount - 1;
  range.holder = {"old", 1};
  KeyspaceCoordinator coordinator(now, 2, {range}, predecessor_end);
  const bool delivers = GENERATE(true, false);
  coordinator.SetServers(now, {{{"old", 1}, 6, true}, {{"new", 1}, 6, true}});
  while (now < predecessor_end) {
    now += milliseconds(50);
    coordinator.HandleRecordConfirmed(coordinator.recorded_change());
    coordinator.HandleProof(now);
    if (delivers) {
      coordinator.HandleDelivery(now, now);
    }
    for (const KeyOrder& order : coordinator.Tick(now)) {
      CHECK((order.kind == OrderKind::kRelease || order.server.id == "old"));
      // Grants get no answer, releases do.
      coordinator.HandleOrderOutcome(now, order,
                                     order.kind == OrderKind::kRelease
                                         ? OrderOutcome::kAccepted
                                         : OrderOutcome::kUnknown,
                                     "");
    }
  }
}

// Guards against a grant under way that is forgotten when the server's new
// incarnation is listed: it may reach that one.
TEST_CASE("a range does not move while a grant to a former incarnation pends",
          "[O1][O8]") {
  Instant now(seconds(100));
  state::OwnedRange range;
  range.last = state::kShardKeyCount - 1;
  range.holder = {"one", 1};
  KeyspaceCoordinator coordinator(now, 2, {range}, now - seconds(20));
  coordinator.SetServers(now, {{{"one", 1}, 6, true}});
  REQUIRE(coordinator.Tick(now).size() == 1);
  coordinator.SetServers(now, {{{"one", 2}, 6, false}, {{"two", 1}, 6, true}});
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(20);
    coordinator.HandleRecordConfirmed(coordinator.recorded_change());
    coordinator.HandleProof(now);
    for (const KeyOrder& order : coordinator.Tick(now)) {
      CHECK(order.kind == OrderKind::kRelease);
      coordinator.HandleOrderOutcome(now, order, OrderOutcome::kAccepted, "");
    }
  }
}

// Guards against a merge that forgets an unanswered grant of one of its ranges.
TEST_CASE("merged ranges wait for an unanswered grant of either", "[O1]") {
  Instant now(seconds(100));
  constexpr std::int32_t kCut = 1000;
  state::OwnedRange left;
  left.last = kCut;
  left.holder = {"one", 1};
  state::OwnedRange right;
  right.first = kCut + 1;
  right.last = state::kShardKeyCount - 1;
  right.holder = {"one", 1};
  KeyspaceCoordinator coordinator(now, 2, {left, right}, now - seconds(20));
  coordinator.SetServers(now, {{{"one", 1}, 6, true}});
  const Instant start = now;
  // The left range is accepted late, so that the ranges merge only after the
  // grant that renews the right one has been given up.
  std::vector<std::pair<Instant, KeyOrder>> unanswered;
  bool merged = false;
  while (!merged && now < start + seconds(2)) {
    now += milliseconds(20);
    coordinator.HandleRecordConfirmed(coordinator.recorded_change());
    for (const KeyOrder& order : coordinator.Tick(now)) {
      if (order.first == 0 || now > start + milliseconds(500)) {
        unanswered.emplace_back(now, order);
      } else {
        coordinator.HandleOrderOutcome(now, order, OrderOutcome::kAccepted, "");
      }
    }
    std::erase_if(unanswered, [&](const auto& sent) {
      const bool is_left = sent.second.first == 0;
      const milliseconds answer_time{is_left ? 580 : 300};
      if (now - sent.first < answer_time) {
        return false;
      }
      coordinator.HandleOrderOutcome(
          now, sent.second,
          is_left ? OrderOutcome::kAccepted : OrderOutcome::kUnknown, "");
      return true;
    });
    merged = coordinator.RecordedRanges().size() == 1;
  }
  REQUIRE(merged);
  REQUIRE(unanswered.empty());
  coordinator.SetServers(now, {{{"two", 1}, 6, true}});
  for (int i = 0; i < 500; ++i) {
    now += milliseconds(20);
    coordinator.HandleRecordConfirmed(coordinator.recorded_change());
    coordinator.HandleProof(now);
    for (const KeyOrder& order : coordinator.Tick(now)) {
      CHECK(order.kind == OrderKind::kRelease);
      coordinator.HandleOrderOutcome(now, order, OrderOutcome::kAccepted, "");
    }
  }
}

// A range moves away from a server and back while the release of the first move
// is still unanswered. The answer says nothing about the second lease.
TEST_CASE("the late answer to an earlier release does not end a later lease",
          "[O13]") {
  Instant now(seconds(100));
  KeyspaceCoordinator coordinator(now, 1, {}, now);
  const auto set_servers = [&](bool one, bool two) {
    coordinator.SetServers(now, {{{"one", 1}, 6, one}, {{"two", 1}, 6, two}});
  };
  // Accepts grants until `time` has passed; returns the last release to "one"
  // that was sent, unanswered, and whether "two" got a grant.
  std::optional<KeyOrder> release;
  bool granted_to_two = false;
  const auto run = [&](milliseconds time, bool answer_releases) {
    const Instant end = now + time;
    while (now < end) {
      now += milliseconds(20);
      coordinator.HandleRecordConfirmed(coordinator.recorded_change());
      coordinator.HandleProof(now);
      for (const KeyOrder& order : coordinator.Tick(now)) {
        if (order.kind == OrderKind::kGrant) {
          granted_to_two = granted_to_two || order.server.id == "two";
          coordinator.HandleOrderOutcome(now, order, OrderOutcome::kAccepted,
                                         "");
        } else if (answer_releases) {
          coordinator.HandleOrderOutcome(now, order, OrderOutcome::kAccepted,
                                         "data");
        } else if (order.server.id == "one") {
          release = order;
        }
      }
    }
  };
  set_servers(true, false);
  run(seconds(3), true);
  set_servers(false, true);
  run(milliseconds(200), false);
  REQUIRE(release);
  const KeyOrder first_release = *release;
  // The lease of "one" runs out, "two" holds the range, and it returns.
  run(seconds(3), false);
  REQUIRE(granted_to_two);
  set_servers(true, false);
  run(milliseconds(300), true);
  release.reset();
  granted_to_two = false;
  set_servers(false, true);
  run(milliseconds(100), false);
  REQUIRE(release);
  coordinator.HandleOrderOutcome(now, first_release, OrderOutcome::kAccepted,
                                 "data");
  run(milliseconds(300), false);
  CHECK_FALSE(granted_to_two);
  coordinator.HandleOrderOutcome(now, *release, OrderOutcome::kAccepted,
                                 "data");
  run(milliseconds(300), false);
  CHECK(granted_to_two);
}

// A successor that learns of its predecessor's end late must not shorten the
// leases that it has granted itself in the meantime.
TEST_CASE("the predecessor's end does not shorten leases of this leader",
          "[O1]") {
  Instant now(seconds(100));
  state::OwnedRange range;
  range.last = state::kShardKeyCount - 1;
  range.holder = {"old", 1};
  KeyspaceCoordinator coordinator(now, 2, {range}, now + seconds(10));
  coordinator.SetServers(now, {{{"old", 1}, 6, true}, {{"new", 1}, 6, true}});
  coordinator.HandleProof(now);
  // The grant arrives and gives a lease until 2.5 s later, but its answer is
  // lost.
  const auto orders = coordinator.Tick(now);
  REQUIRE(orders.size() == 1);
  const Instant lease_end = now + coordination::kKeyLease;
  now += milliseconds(300);
  coordinator.HandleOrderOutcome(now, orders.front(), OrderOutcome::kUnknown,
                                 "");
  // The predecessor stopped long ago.
  coordinator.HandlePredecessorEnd(now - seconds(20));
  coordinator.SetServers(now, {{{"new", 1}, 6, true}});
  while (now < lease_end) {
    coordinator.HandleRecordConfirmed(coordinator.recorded_change());
    coordinator.HandleProof(now);
    for (const KeyOrder& order : coordinator.Tick(now)) {
      CHECK(order.kind == OrderKind::kRelease);
      coordinator.HandleOrderOutcome(now, order, OrderOutcome::kNotSent, "");
    }
    now += milliseconds(20);
  }
}

// Found by the fuzzer: a server that was not listed for a while and restarted
// had forgotten the successor's fences, so it accepted a grant of the
// predecessor.
TEST_CASE("a server that joins the list gets no grant without a newer proof",
          "[O3][O8]") {
  Instant now(seconds(100));
  state::OwnedRange range;
  range.last = state::kShardKeyCount - 1;
  range.holder = {"one", 1};
  KeyspaceCoordinator coordinator(now, 1, {range}, now);
  coordinator.SetServers(now, {{{"one", 1}, 6, true}, {{"two", 1}, 6, true}});
  coordinator.HandleRecordConfirmed(coordinator.recorded_change());
  // A grant under way would keep all orders back.
  for (const KeyOrder& order : coordinator.Tick(now)) {
    coordinator.HandleOrderOutcome(now, order, OrderOutcome::kAccepted, "");
  }
  coordinator.SetServers(now, {{{"two", 1}, 6, true}});
  now += seconds(4);
  coordinator.SetServers(now, {{{"one", 2}, 6, true}});
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(50);
    coordinator.HandleRecordConfirmed(coordinator.recorded_change());
    for (const KeyOrder& order : coordinator.Tick(now)) {
      CHECK(order.kind == OrderKind::kRelease);
      coordinator.HandleOrderOutcome(now, order, OrderOutcome::kNotSent, "");
    }
  }
  coordinator.HandleProof(now);
  const std::vector<KeyOrder> orders = coordinator.Tick(now);
  REQUIRE(orders.size() == 1);
  CHECK(orders.front().kind == OrderKind::kGrant);
}

TEST_CASE("no key moves while the store confirms no write", "[O4]") {
  KeyspaceSimulation simulation(7);
  simulation.Advance(seconds(2));
  simulation.SetStoreUp(false);
  simulation.SetDraining(1, true);
  simulation.Advance(seconds(5));
  CHECK(simulation.held() == KeyspaceSimulation::kWatchedKeys);
  simulation.SetStoreUp(true);
  simulation.Advance(seconds(2));
  for (int key = 0; key < state::kShardKeyCount; key += 1024) {
    CHECK(simulation.HolderOf(static_cast<state::ShardKey>(key)) != 1);
  }
}

TEST_CASE("load that is concentrated on few keys is spread over servers",
          "[L2]") {
  KeyspaceSimulation simulation(8);
  simulation.Advance(seconds(2));
  for (int i = 0; i < 40; ++i) {
    simulation.AddLoad(1000, 40);
    simulation.Advance(milliseconds(100));
  }
  // The loaded keys lie from 1000 to 1343, in a range that one server held.
  const auto ranges = simulation.leader().RoutedRanges();
  std::set<std::string> holders;
  for (const state::OwnedRange& range : ranges) {
    if (range.first <= 1343 && range.last >= 1000) {
      holders.insert(range.holder.id);
    }
  }
  CHECK(holders.size() >= 3);
  CHECK(simulation.violation().empty());
}

TEST_CASE("a hot key moves to the fastest server, which keeps few other keys",
          "[L2]") {
  KeyspaceSimulation simulation(9);
  for (int server = 0; server < KeyspaceSimulation::kServers; ++server) {
    simulation.SetCapacity(server, server == 2 ? 10 : 6);
  }
  simulation.Advance(seconds(2));
  constexpr state::ShardKey kHot = 300;
  for (int i = 0; i < 30; ++i) {
    for (int key = 50; key < state::kShardKeyCount; key += 700) {
      simulation.AddKeyLoad(static_cast<state::ShardKey>(key), 0.15);
    }
    simulation.AddKeyLoad(kHot, 12);
    simulation.Advance(milliseconds(100));
  }
  const auto ranges = simulation.leader().RoutedRanges();
  const state::OwnedRange* hot = state::FindRange(ranges, kHot);
  REQUIRE(hot != nullptr);
  CHECK(hot->holder.id == "server-2");
  std::int32_t others = 0;
  for (const state::OwnedRange& range : ranges) {
    if (range.holder.id == "server-2") {
      others += range.last - range.first;
    }
  }
  // The other keys on the server of the hot key are less than a quarter of the
  // server's even share of the keys.
  CHECK(others < state::kShardKeyCount / KeyspaceSimulation::kServers / 4);
  CHECK(simulation.violation().empty());
}

}  // namespace mustardflow::tests
