// Tests that plans are balanced and move no more slices than necessary.

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <cmath>
#include <vector>

#include "coordination/assignment_planner.h"

namespace mustardflow::tests {

namespace {

using coordination::ServerCapacity;
using coordination::SliceLoad;
using Plan = std::vector<std::optional<std::size_t>>;

constexpr double kMinGain = 0.05;

Plan PlanAssignment(const std::vector<SliceLoad>& slices,
                    const std::vector<ServerCapacity>& servers) {
  return coordination::PlanAssignment(slices, servers, kMinGain);
}

// Returns slices of load 1 with the owners of `plan`.
std::vector<SliceLoad> SlicesOf(const Plan& plan) {
  std::vector<SliceLoad> slices;
  for (const auto& owner : plan) {
    slices.push_back({1.0, owner});
  }
  return slices;
}

// Returns the number of slices whose owner differs.
std::size_t CountMoves(const Plan& before, const Plan& after) {
  std::size_t moved = 0;
  for (std::size_t i = 0; i < before.size(); ++i) {
    moved += before[i] != after[i] ? 1 : 0;
  }
  return moved;
}

}  // namespace

TEST_CASE("no slice moves when nothing has changed") {
  const std::vector<ServerCapacity> servers(15);
  const Plan first =
      PlanAssignment(std::vector<SliceLoad>(256, {1.0, {}}), servers);
  CHECK(CountMoves(first, PlanAssignment(SlicesOf(first), servers)) == 0);
}

TEST_CASE("only the slices of a server that is no longer eligible move") {
  std::vector<ServerCapacity> servers(15);
  const Plan first =
      PlanAssignment(std::vector<SliceLoad>(256, {1.0, {}}), servers);
  servers[3].eligible = false;
  const Plan second = PlanAssignment(SlicesOf(first), servers);
  std::size_t own = 0;
  for (const auto& owner : first) {
    own += owner == std::size_t{3} ? 1 : 0;
  }
  CHECK(CountMoves(first, second) == own);
}

TEST_CASE("each slice keeps its owner when no server is eligible") {
  const std::vector<ServerCapacity> servers(3, {1.0, false});
  const std::vector<SliceLoad> slices = {{1.0, 2}, {1.0, 0}};
  const Plan plan = PlanAssignment(slices, servers);
  CHECK(plan[0] == std::size_t{2});
  CHECK(plan[1] == std::size_t{0});
}

TEST_CASE(
    "plans are balanced within the largest slice and stable when repeated") {
  const bool held = rc::check("balance", [] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 20);
    std::vector<ServerCapacity> servers;
    for (std::size_t i = 0; i < count; ++i) {
      servers.push_back({1.0, *rc::gen::inRange(0, 5) != 0});
    }
    std::vector<SliceLoad> slices;
    double largest = 0;
    const auto slice_count = *rc::gen::inRange<std::size_t>(1, 200);
    for (std::size_t i = 0; i < slice_count; ++i) {
      const double load = *rc::gen::inRange(1, 10);
      slices.push_back({load, *rc::gen::inRange<std::size_t>(0, count)});
      largest = std::max(largest, load);
    }
    const Plan plan = PlanAssignment(slices, servers);
    std::vector<double> loads(count, 0);
    double highest = 0;
    double lowest = 1e9;
    bool any = false;
    for (std::size_t i = 0; i < slices.size(); ++i) {
      loads[*plan[i]] += slices[i].load;
    }
    for (std::size_t i = 0; i < count; ++i) {
      if (servers[i].eligible) {
        any = true;
        highest = std::max(highest, loads[i]);
        lowest = std::min(lowest, loads[i]);
      }
    }
    if (!any) {
      return;
    }
    RC_ASSERT(highest - lowest <= largest + kMinGain + 1e-9);
    std::vector<SliceLoad> settled = slices;
    for (std::size_t i = 0; i < slices.size(); ++i) {
      settled[i].owner = plan[i];
    }
    RC_ASSERT(CountMoves(plan, PlanAssignment(settled, servers)) == 0u);
  });
  REQUIRE(held);
}

}  // namespace mustardflow::tests
