// What the leader makes of quantities that several hosts measure.

#include <catch2/catch.hpp>

#include "coordination/reported_averages.h"

namespace mustardflow::tests {

TEST_CASE("an average covers the hosts that have reported lately") {
  coordination::ReportedAverages averages;
  const state::Instant now{std::chrono::seconds(10)};
  CHECK_FALSE(averages.Mean(now, "shelf"));
  averages.Record(now, "shelf", "h1", 2);
  averages.Record(now + std::chrono::seconds(8), "shelf", "h2", 4);
  averages.Record(now, "desk", "h1", 9);
  CHECK(averages.Mean(now + std::chrono::seconds(9), "shelf") == Approx(3));
  CHECK(averages.Mean(now + std::chrono::seconds(11), "shelf") == Approx(4));
  CHECK_FALSE(averages.Mean(now + std::chrono::seconds(19), "shelf"));
  averages.Record(now, "desk", "h1", 9);
  averages.Prune([](const std::string& subject) { return subject == "desk"; });
  CHECK_FALSE(averages.Mean(now, "desk"));
}

}  // namespace mustardflow::tests
