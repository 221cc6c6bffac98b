// Moves of keys that balance the load over many servers.

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "coordination/keyspace_coordinator.h"

namespace mustardflow::tests {

namespace {

using coordination::KeyOrder;
using coordination::KeyServer;
using coordination::KeyspaceCoordinator;
using coordination::OrderOutcome;
using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Servers that accept each order at once, and a store that confirms at once.
class ReliableFleet {
 public:
  explicit ReliableFleet(int servers) : coordinator_(now_, 1, {}, now_) {
    std::vector<KeyServer> list;
    for (int i = 0; i < servers; ++i) {
      list.push_back({{"s" + std::to_string(i), 1}, 6, true});
    }
    coordinator_.SetServers(now_, list);
  }

  // Runs for `time` with `rate` requests per second, spread evenly over the
  // keys.
  void Run(seconds time, double rate) {
    const Instant end = now_ + time;
    while (now_ < end) {
      now_ += milliseconds(50);
      std::poisson_distribution<int> count(rate * 0.05);
      const int requests = count(random_);
      for (int i = 0; i < requests; ++i) {
        const auto key = std::uniform_int_distribution<int>(
            0, state::kShardKeyCount - 1)(random_);
        coordinator_.load().Add(static_cast<state::ShardKey>(key), 1);
      }
      coordinator_.HandleRecordConfirmed(coordinator_.recorded_change());
      for (const KeyOrder& order : coordinator_.Tick(now_)) {
        coordinator_.HandleOrderOutcome(now_, order, OrderOutcome::kAccepted,
                                        "");
      }
    }
  }

  double moved_share() const { return coordinator_.moved_share(); }

 private:
  Instant now_{seconds(100)};
  std::mt19937_64 random_{11};
  KeyspaceCoordinator coordinator_;
};

}  // namespace

// Guards against continual moves of keys: with six requests per second for each
// server, the load measured over a few seconds is mostly random variation.
TEST_CASE("random variation of the load alone does not move keys", "[L2]") {
  ReliableFleet fleet(200);
  fleet.Run(seconds(10), 1200);
  const double before = fleet.moved_share();
  fleet.Run(seconds(20), 1200);
  CHECK(fleet.moved_share() - before < 0.05);
}

}  // namespace mustardflow::tests
