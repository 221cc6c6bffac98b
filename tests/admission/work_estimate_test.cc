// Tests for the estimates of work by kind.

#include "admission/work_estimate.h"

#include <catch2/catch.hpp>
#include <string>

#include "coordination/server_pool.h"

namespace mustardflow::tests {

namespace {

using admission::WorkEstimate;
using coordination::ServerChoice;
using coordination::ServerPool;
using coordination::ServerResult;
using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Two kinds of 57 and 360 ms run alternately on two servers, of which "slow"
// takes twice as long as "fast".
WorkEstimate Measured(Instant* now) {
  WorkEstimate estimate;
  for (int i = 0; i < 400; ++i) {
    *now += milliseconds(10);
    const std::string server = i % 4 < 2 ? "fast" : "slow";
    const double factor = i % 4 < 2 ? 0.8 : 1.6;
    const bool is_short = i % 2 == 0;
    estimate.Record(*now, "archive", is_short ? "verdict" : "browse", server,
                    factor * (is_short ? 0.057 : 0.36));
  }
  return estimate;
}

}  // namespace

// With one latency per service, a short request was expected to be as late as
// the mean of all kinds.
TEST_CASE("each kind has its own work, whichever server runs it") {
  Instant now{seconds(100)};
  const WorkEstimate estimate = Measured(&now);
  const double verdict = *estimate.WorkSeconds(now, "archive", "verdict");
  const double browse = *estimate.WorkSeconds(now, "archive", "browse");
  CHECK(browse / verdict == Approx(0.36 / 0.057).epsilon(0.05));
  CHECK(estimate.RelativeTime(now, "slow") /
            estimate.RelativeTime(now, "fast") ==
        Approx(2).epsilon(0.1));
  CHECK(verdict * estimate.RelativeTime(now, "slow") ==
        Approx(1.6 * 0.057).epsilon(0.1));
  const double unknown = *estimate.WorkSeconds(now, "archive", "other");
  CHECK(unknown == Approx(*estimate.MeanSeconds(now, "archive")));
}

// Without decay, a kind that is refused because of a high estimate would never
// be measured again.
TEST_CASE("estimates that are not refreshed become unknown") {
  Instant now{seconds(100)};
  WorkEstimate estimate = Measured(&now);
  now += seconds(20);
  CHECK(estimate.RelativeTime(now, "slow") < 1.2);
  now += seconds(20);
  CHECK_FALSE(estimate.WorkSeconds(now, "archive", "browse"));
  estimate.Prune(now);
  CHECK_FALSE(estimate.MeanSeconds(now, "archive"));
}

TEST_CASE("a pool expects less latency for shorter work, plus the wait") {
  Instant now{seconds(100)};
  ServerPool pool("near", {}, [] { return 0.5; });
  pool.EstimateByKind();
  state::ServerRecord record;
  record.incarnation = {"s1", 1};
  record.service = "archive";
  record.zone = "near";
  record.slots = 1;
  pool.Update(now, record);
  const auto expected = [&](const std::string& route) {
    return std::get<ServerChoice>(
               pool.Check(now, record.incarnation, seconds(10), route))
        .expected;
  };
  for (int i = 0; i < 200; ++i) {
    const bool is_short = i % 2 == 0;
    const Instant sent = now;
    pool.RecordSent(now, record.incarnation, is_short ? "verdict" : "browse");
    now += milliseconds(is_short ? 60 : 360);
    pool.RecordEnd(now, record.incarnation, sent, ServerResult::kAnswered);
  }
  CHECK(expected("verdict") < milliseconds(75));
  CHECK(expected("browse") > milliseconds(300));
  pool.RecordSent(now, record.incarnation, "browse");
  CHECK(expected("verdict") > milliseconds(350));
  CHECK(expected("verdict") < milliseconds(500));
  pool.RecordSent(now, record.incarnation, "verdict");
  // The second request begins when the first one ends, so the time that it
  // waits for the slot is not counted as its work.
  const Instant sent = now;
  now += milliseconds(360);
  pool.RecordEnd(now, record.incarnation, sent, ServerResult::kAnswered);
  now += milliseconds(60);
  pool.RecordEnd(now, record.incarnation, sent, ServerResult::kAnswered);
  CHECK(expected("verdict") < milliseconds(75));
}

}  // namespace mustardflow::tests
