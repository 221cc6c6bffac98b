// The steps of a planned stop.

#include <catch2/catch.hpp>

#include "coordination/stop_schedule.h"

namespace mustardflow::tests {

namespace {

using coordination::StopSchedule;
using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

// With a short grace period, the process was killed before it had ended its
// requests.
TEST_CASE("the steps of a stop follow one another within the grace period",
          "[LOST]") {
  const auto grace =
      GENERATE(milliseconds(500), milliseconds(2000), milliseconds(3000),
               milliseconds(6000), milliseconds(30000));
  CAPTURE(grace.count());
  const StopSchedule schedule(grace);
  CHECK(schedule.ReadingEnd() > seconds(0));
  CHECK(schedule.ReadingEnd() < schedule.RequestsEnd());
  CHECK(schedule.RequestsEnd() < schedule.Exit());
  CHECK(schedule.Exit() < grace);
}

// Requests that came late in the grace period were passed on and cut off at its
// end.
TEST_CASE("a request is taken only if it can end within the grace period",
          "[LOST]") {
  const StopSchedule schedule(seconds(6));
  CHECK(schedule.MayTake(seconds(1), seconds(20), milliseconds(400)));
  CHECK(schedule.MayTake(milliseconds(4300), seconds(20), milliseconds(400)));
  CHECK_FALSE(
      schedule.MayTake(milliseconds(4500), seconds(20), milliseconds(400)));
  // Its caller waits no longer than the requests' end.
  CHECK(schedule.MayTake(milliseconds(5500), milliseconds(90),
                         milliseconds(400)));
  CHECK_FALSE(schedule.MayTake(milliseconds(5700), milliseconds(90),
                               milliseconds(400)));
}

}  // namespace mustardflow::tests
