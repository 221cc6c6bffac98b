// The division of load among servers with and without limits.

#include <catch2/catch.hpp>
#include <limits>
#include <numeric>
#include <vector>

#include "coordination/key_shares.h"

namespace mustardflow::tests {

namespace {

using coordination::DivideKeyLoad;
using coordination::ServerRates;

constexpr double kUnknown = std::numeric_limits<double>::infinity();
const ServerRates kFast{6, 50, 50};
const ServerRates kLimited{6, 4, 6};

}  // namespace

TEST_CASE("without limits, load is divided by weight", "[LIMIT]") {
  const std::vector<double> loads =
      DivideKeyLoad(30, {{1, kUnknown, kUnknown}, {2, kUnknown, kUnknown}});
  CHECK(loads[0] == Approx(10));
  CHECK(loads[1] == Approx(20));
}

TEST_CASE("what exceeds a preferred rate goes to the others", "[LIMIT]") {
  const std::vector<double> loads =
      DivideKeyLoad(64, {kFast, kLimited, kFast, {6, 10, 50}});
  CHECK(loads[0] == Approx(25));
  CHECK(loads[1] == Approx(4));
  CHECK(loads[2] == Approx(25));
  CHECK(loads[3] == Approx(10));
}

TEST_CASE("preferred rates are exceeded only if all servers reach theirs",
          "[LIMIT]") {
  const std::vector<double> loads =
      DivideKeyLoad(105, {kFast, kLimited, kFast});
  CHECK(loads[0] == Approx(50));
  CHECK(loads[1] == Approx(5));
  CHECK(loads[2] == Approx(50));
}

TEST_CASE("in an overload, all servers exceed their rates by the same factor",
          "[LIMIT]") {
  const std::vector<double> loads = DivideKeyLoad(112, {kFast, kLimited});
  CHECK(loads[0] == Approx(100));
  CHECK(loads[1] == Approx(12));
}

TEST_CASE("divided load adds up", "[LIMIT]") {
  for (const double load : {0.5, 20.0, 99.0, 120.0, 5000.0}) {
    const std::vector<double> loads = DivideKeyLoad(
        load, {kFast, kLimited, {3, 8, 50}, {0.5, 0.01, 0.01}, kFast});
    CHECK(std::accumulate(loads.begin(), loads.end(), 0.0) == Approx(load));
  }
}

}  // namespace mustardflow::tests
