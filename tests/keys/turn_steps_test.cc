// The work of a leader's turn by the number of servers, counted in steps: one
// for each slice, server or single key that planning looks at.

#include <catch2/catch.hpp>
#include <cmath>
#include <cstdint>
#include <cstdio>
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

constexpr int kSlicesPerServer = 4;
constexpr int kSizes[] = {100, 300, 1000};
// The bounds of the steps for each slice of a turn and for each answer. They
// are the same for all sizes, so the steps cannot grow like slices times
// servers.
constexpr double kMaxPlanSteps = 30;
constexpr double kMaxOutcomeSteps = 15;

std::vector<KeyServer> ListServers(int servers) {
  std::vector<KeyServer> list;
  for (int i = 0; i < servers; ++i) {
    list.push_back({{"s" + std::to_string(i), 1}, 6, true});
  }
  return list;
}

// Each server has kSlicesPerServer ranges; neighbours have other servers.
state::ServiceRanges RecordedRanges(int servers) {
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

// The servers of a service under a new leader, of which each accepts each
// order, and a store that confirms at once.
class CountedFleet {
 public:
  CountedFleet(int servers, const state::ServiceRanges& recorded)
      : list_(ListServers(servers)),
        coordinator_(now_, 2, recorded, now_ - seconds(60)) {}

  // The steps of a turn in which the list of servers is read.
  double ReadServers() {
    const std::uint64_t before = coordinator_.steps();
    coordinator_.SetServers(now_, list_);
    orders_ = coordinator_.Tick(now_);
    coordinator_.record_urgent();
    return static_cast<double>(coordinator_.steps() - before);
  }

  // The steps of the answers to all orders.
  double AnswerOrders() {
    const std::uint64_t before = coordinator_.steps();
    for (const KeyOrder& order : orders_) {
      coordinator_.HandleOrderOutcome(now_, order, OrderOutcome::kAccepted, "");
    }
    orders_.clear();
    return static_cast<double>(coordinator_.steps() - before);
  }

  // Returns the steps of the most expensive turn of `time`.
  double Run(milliseconds time) {
    AnswerOrders();
    const Instant end = now_ + time;
    double most = 0;
    while (now_ < end) {
      now_ += milliseconds(20);
      AddLoad();
      coordinator_.HandleRecordConfirmed(coordinator_.recorded_change());
      const std::uint64_t before = coordinator_.steps();
      orders_ = coordinator_.Tick(now_);
      most = std::max(most, static_cast<double>(coordinator_.steps() - before));
      AnswerOrders();
    }
    return most;
  }

  void Leave(double share) {
    const auto leaving =
        static_cast<std::size_t>(share * static_cast<double>(list_.size()));
    for (std::size_t i = 0; i < leaving; ++i) {
      list_[i].eligible = false;
    }
  }

  std::size_t servers() const { return list_.size(); }
  std::size_t orders() const { return orders_.size(); }
  std::size_t slices() const { return coordinator_.RecordedRanges().size(); }
  int unserved() const {
    int keys = 0;
    for (const state::OwnedRange& range : coordinator_.RoutedRanges()) {
      keys += range.serving ? 0 : range.last - range.first + 1;
    }
    return keys;
  }

 private:
  // A third of the load is for a hundredth of the keys, six requests per second
  // for each server in all.
  void AddLoad() {
    const auto requests = static_cast<int>(servers()) * 6 / 50;
    for (int i = 0; i < requests; ++i) {
      const int range =
          i % 3 == 0 ? state::kShardKeyCount / 100 : state::kShardKeyCount;
      const int key = static_cast<int>(++count_ * 7919 % range);
      coordinator_.load().Add(static_cast<state::ShardKey>(key), 1);
    }
  }

  Instant now_{seconds(100)};
  std::int64_t count_ = 0;
  std::vector<KeyServer> list_;
  KeyspaceCoordinator coordinator_;
  std::vector<KeyOrder> orders_;
};

// Prints a table row: the case, the number of servers, the number of slices,
// the steps, and the steps for each slice.
double StepsPerSlice(const char* name,
                     const CountedFleet& fleet,
                     double steps) {
  const double per_slice = steps / static_cast<double>(fleet.slices());
  std::printf("| %s | %zu servers | %zu slices | %.0f steps | %.1f a slice |\n",
              name, fleet.servers(), fleet.slices(), steps, per_slice);
  return per_slice;
}

}  // namespace

// Guards against turns of over a second: each range of a server that left cost
// a walk over all servers.
TEST_CASE("the steps of a turn grow like the slices if servers leave",
          "[OWNER]") {
  for (const int servers : kSizes) {
    CountedFleet fleet(servers, RecordedRanges(servers));
    fleet.ReadServers();
    fleet.Run(seconds(2));
    fleet.Leave(0.15);
    CHECK(StepsPerSlice("15 % leave", fleet, fleet.ReadServers()) <
          kMaxPlanSteps);
    CHECK(StepsPerSlice("turns after it", fleet, fleet.Run(seconds(1))) <
          kMaxPlanSteps);
  }
}

// Guards against a walk over all slices for each answer to an order.
TEST_CASE("the steps of a turn grow like the slices under a new leader",
          "[OWNER]") {
  for (const int servers : kSizes) {
    CountedFleet fleet(servers, RecordedRanges(servers));
    CHECK(StepsPerSlice("new leader", fleet, fleet.ReadServers()) <
          kMaxPlanSteps);
    const auto orders = static_cast<double>(fleet.orders());
    CHECK(orders > 0);
    CHECK(fleet.AnswerOrders() <= kMaxOutcomeSteps * orders);
  }
}

// Guards against several walks over all slices for each move.
TEST_CASE("the steps of a turn grow like the slices while load is balanced",
          "[OWNER]") {
  for (const int servers : kSizes) {
    CountedFleet fleet(servers, RecordedRanges(servers));
    fleet.ReadServers();
    CHECK(StepsPerSlice("balancing", fleet, fleet.Run(seconds(5))) <
          kMaxPlanSteps);
  }
}

// Guards against a walk over all servers for each range.
TEST_CASE("the steps of the first assignment grow like the slices", "[OWNER]") {
  for (const int servers : kSizes) {
    CountedFleet fleet(servers, {});
    fleet.ReadServers();
    CHECK(StepsPerSlice("first assignment", fleet, fleet.Run(seconds(3))) <
          kMaxPlanSteps);
  }
}

}  // namespace mustardflow::tests
