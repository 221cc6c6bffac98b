// What the leader makes of the announcements that hosts report.

#include <catch2/catch.hpp>
#include <optional>

#include "coordination/reported_announcements.h"

namespace mustardflow::tests {

namespace {

using coordination::AnnouncementReport;
using coordination::ReportedAnnouncements;
using state::Duration;
using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

const state::ServerIncarnation kServer{"s1", 5};

AnnouncementReport Limit(std::optional<double> limit, Duration age) {
  AnnouncementReport report;
  report.server = kServer;
  report.rate_limit = limit;
  report.limit_age = age;
  return report;
}

}  // namespace

// Hosts that have not asked the server for a while still report its old limit.
TEST_CASE("the newest statement of a limit counts", "[LIMIT]") {
  ReportedAnnouncements reported;
  const Instant now{seconds(10)};
  reported.Record(now, "h1", {Limit(6.1, milliseconds(10))});
  CHECK(reported.RateLimit(now, kServer) == 6.1);
  reported.Record(now, "h2", {Limit(9, milliseconds(500))});
  CHECK(reported.RateLimit(now, kServer) == 6.1);
  reported.Record(now, "h2", {Limit(std::nullopt, milliseconds(5))});
  CHECK_FALSE(reported.RateLimit(now, kServer));
  reported.Record(now + milliseconds(1), "h1", {Limit(6.1, milliseconds(11))});
  CHECK_FALSE(reported.RateLimit(now, kServer));
}

TEST_CASE("a limit that no host has seen for a minute ends", "[LIMIT]") {
  ReportedAnnouncements reported;
  const Instant now{seconds(10)};
  reported.Record(now, "h1", {Limit(6.1, Duration(0))});
  CHECK(reported.RateLimit(now + seconds(59), kServer));
  CHECK_FALSE(reported.RateLimit(now + seconds(61), kServer));
}

TEST_CASE("statements of limits and of their ends are published for a minute",
          "[LIMIT]") {
  ReportedAnnouncements reported;
  const Instant now{seconds(100)};
  CHECK_FALSE(reported.Statement(now, kServer));
  reported.Record(now, "h1", {Limit(6, Duration(0))});
  CHECK(reported.Statement(now, kServer) == state::ServerLimit{5, 6});
  reported.Record(now, "h1", {Limit(std::nullopt, Duration(0))});
  CHECK(reported.Statement(now + seconds(59), kServer) ==
        state::ServerLimit{5, std::nullopt});
  CHECK_FALSE(reported.Statement(now + seconds(61), kServer));
  // A host that reports only that a server leaves says nothing of its limit.
  AnnouncementReport leaving;
  leaving.server = {"s2", 1};
  leaving.leaving = true;
  reported.Record(now, "h1", {leaving});
  CHECK_FALSE(reported.Statement(now, {"s2", 1}));
}

// Without it, keys moved back and away each time a limit came and went.
TEST_CASE("the rate of a server grows from its limit when that has ended",
          "[LIMIT]") {
  ReportedAnnouncements reported;
  const Instant now{seconds(100)};
  CHECK_FALSE(reported.RecoveryRate(now, kServer));
  reported.Record(now, "h1", {Limit(6, Duration(0))});
  CHECK_FALSE(reported.RecoveryRate(now, kServer));
  SECTION("stated") {
    reported.Record(now, "h1", {Limit(std::nullopt, Duration(0))});
    CHECK(reported.RecoveryRate(now, kServer) == Approx(6));
    CHECK(reported.RecoveryRate(now + seconds(10), kServer) == Approx(24));
    CHECK_FALSE(reported.RecoveryRate(now + seconds(61), kServer));
  }
  SECTION("not stated any more") {
    CHECK_FALSE(reported.RecoveryRate(now + seconds(59), kServer));
    CHECK(reported.RecoveryRate(now + seconds(65), kServer) == Approx(12));
    CHECK_FALSE(reported.RecoveryRate(now + seconds(121), kServer));
  }
}

// A server that restarts at the same address has announced nothing yet.
TEST_CASE("announcements of an earlier incarnation do not count", "[LIMIT]") {
  ReportedAnnouncements reported;
  const Instant now{seconds(10)};
  AnnouncementReport report = Limit(6.1, Duration(0));
  report.leaving = true;
  reported.Record(now, "h1", {report});
  CHECK(reported.IsLeaving(kServer));
  const state::ServerIncarnation restarted{"s1", 6};
  CHECK_FALSE(reported.RateLimit(now, restarted));
  CHECK_FALSE(reported.IsLeaving(restarted));
  AnnouncementReport newer = Limit(2, Duration(0));
  newer.server = restarted;
  reported.Record(now, "h1", {newer});
  reported.Record(now, "h2", {report});
  CHECK(reported.RateLimit(now, restarted) == 2);
  CHECK_FALSE(reported.IsLeaving(restarted));
}

TEST_CASE("a pause counts for the hosts that report it", "[BUDGET]") {
  ReportedAnnouncements reported;
  const Instant now{seconds(10)};
  AnnouncementReport report;
  report.server = kServer;
  report.pause = seconds(3);
  reported.Record(now, "h1", {report});
  CHECK(reported.IsPaused(now, kServer, 1));
  CHECK_FALSE(reported.IsPaused(now, kServer, 2));
  report.pause = milliseconds(200);
  reported.Record(now, "h2", {report});
  CHECK_FALSE(reported.IsPaused(now, kServer, 2));
  CHECK_FALSE(reported.IsPaused(now + seconds(3), kServer, 1));
}

}  // namespace mustardflow::tests
