// The orders of one turn are limited; leases are renewed in time all the same.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <string>
#include <vector>

#include "coordination/keyspace_coordinator.h"

namespace mustardflow::tests {

namespace {

using coordination::KeyOrder;
using coordination::KeyServer;
using coordination::KeyspaceCoordinator;
using coordination::OrderKind;
using coordination::OrderOutcome;
using state::Duration;
using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSlicesPerServer = 8;

// Servers that hold ranges of a former leader and answer each order by the next
// turn.
class LeasedFleet {
 public:
  LeasedFleet(int servers, milliseconds turn)
      : turn_(turn),
        coordinator_(now_, 2, HeldRanges(servers), now_ - seconds(60)),
        holders_(state::kShardKeyCount),
        granted_at_(state::kShardKeyCount, now_) {
    for (int i = 0; i < servers; ++i) {
      list_.push_back({{"s" + std::to_string(i), 1}, 6, true});
    }
    coordinator_.SetServers(now_, list_);
    for (const state::OwnedRange& range : coordinator_.RecordedRanges()) {
      for (int key = range.first; key <= range.last; ++key) {
        holders_[static_cast<std::size_t>(key)] = range.holder.id;
      }
    }
  }

  void Run(Duration time) {
    const Instant end = now_ + time;
    while (now_ < end) {
      now_ += turn_;
      for (const KeyOrder& order : orders_) {
        Answer(order);
      }
      coordinator_.HandleRecordConfirmed(coordinator_.recorded_change());
      orders_ = coordinator_.Tick(now_);
      most_orders_ = std::max(most_orders_, orders_.size());
    }
  }

  // Each tenth server leaves, beginning with `first`; the others are back.
  void Leave(std::size_t first) {
    for (std::size_t i = 0; i < list_.size(); ++i) {
      list_[i].eligible = i % 10 != first;
    }
    coordinator_.SetServers(now_, list_);
  }

  std::size_t most_orders() const { return most_orders_; }
  bool serves_all_keys() const { return coordinator_.serves_all_keys(); }
  // The longest time between two grants of a key to the same holder.
  Duration longest_gap() const { return longest_gap_; }
  // The longest time from the release of a key to the next grant.
  Duration longest_move() const { return longest_move_; }

 private:
  static state::ServiceRanges HeldRanges(int servers) {
    const int slices = servers * kSlicesPerServer;
    state::ServiceRanges ranges;
    for (int i = 0; i < slices; ++i) {
      state::OwnedRange range;
      range.first = state::kShardKeyCount * i / slices;
      range.last = state::kShardKeyCount * (i + 1) / slices - 1;
      range.holder = {"s" + std::to_string(i % servers), 1};
      ranges.push_back(std::move(range));
    }
    return ranges;
  }

  void Answer(const KeyOrder& order) {
    coordinator_.HandleOrderOutcome(now_, order, OrderOutcome::kAccepted, "");
    for (int i = order.first; i <= order.last; ++i) {
      const auto key = static_cast<std::size_t>(i);
      if (order.kind == OrderKind::kGrant) {
        Duration& longest =
            holders_[key] == order.server.id ? longest_gap_ : longest_move_;
        longest = std::max(longest, now_ - granted_at_[key]);
        holders_[key] = order.server.id;
      } else {
        holders_[key].clear();
      }
      granted_at_[key] = now_;
    }
  }

  const milliseconds turn_;
  Instant now_{seconds(100)};
  std::vector<KeyServer> list_;
  KeyspaceCoordinator coordinator_;
  std::vector<KeyOrder> orders_;
  std::size_t most_orders_ = 0;
  Duration longest_gap_{};
  Duration longest_move_{};
  // By key: the id of the holder, and when it accepted its last grant; the time
  // of the release if the key has no holder.
  std::vector<std::string> holders_;
  std::vector<Instant> granted_at_;
};

// Prints a table row: the case, the most orders of a turn, and the longest gap
// and move in milliseconds.
void Print(const char* name, const LeasedFleet& fleet) {
  std::printf("| %s | %zu orders | gap %lld ms | move %lld ms |\n", name,
              fleet.most_orders(),
              static_cast<long long>(fleet.longest_gap() / milliseconds(1)),
              static_cast<long long>(fleet.longest_move() / milliseconds(1)));
}

}  // namespace

// Guards against a first turn of a new leader in which all 8,000 grants are
// written at once.
TEST_CASE("a new leader spreads its grants over turns", "[OWNER]") {
  LeasedFleet fleet(1000, milliseconds(20));
  fleet.Run(seconds(5));
  Print("1,000 servers, turns of 20 ms", fleet);
  CHECK(fleet.most_orders() <= 1000 * kSlicesPerServer / 16);
  CHECK(fleet.longest_gap() < seconds(1));
  CHECK(fleet.serves_all_keys());
}

// Guards against leases that end since a slow leader sends too few renewals.
TEST_CASE("leases are renewed in time although turns are late", "[OWNER]") {
  LeasedFleet fleet(1000, milliseconds(250));
  fleet.Run(seconds(10));
  Print("1,000 servers, turns of 250 ms", fleet);
  CHECK(fleet.most_orders() < 2000);
  // A repeated grant takes half a second.
  CHECK(fleet.longest_gap() < coordination::kKeyLease - milliseconds(500));
  CHECK(fleet.serves_all_keys());
}

// Guards against renewals that wait behind the orders of moves without end, and
// against moves that wait behind renewals.
TEST_CASE("no order starves while servers come and go", "[OWNER]") {
  for (const milliseconds turn : {milliseconds(20), milliseconds(200)}) {
    LeasedFleet fleet(300, turn);
    fleet.Run(seconds(2));
    for (std::size_t round = 0; round < 30; ++round) {
      fleet.Leave(round % 10);
      fleet.Run(milliseconds(600));
    }
    Print("300 servers, of which 30 come and go", fleet);
    CHECK(fleet.most_orders() < 300 * kSlicesPerServer / 2);
    CHECK(fleet.longest_gap() < coordination::kKeyLease - milliseconds(500));
    CHECK(fleet.longest_move() < seconds(2));
    fleet.Run(seconds(3));
    CHECK(fleet.serves_all_keys());
  }
}

}  // namespace mustardflow::tests
