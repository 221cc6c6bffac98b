// Bounds on what hosts report of servers' announcements.

#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "coordination/announcement_reporter.h"

namespace mustardflow::tests {

namespace {

using coordination::AnnouncementReporter;
using coordination::kMaxReportedServers;
using coordination::ServerAnnouncement;
using coordination::ServerPool;
using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

state::ServerIncarnation AddServer(ServerPool* pool, Instant now, int number) {
  state::ServerRecord record;
  record.incarnation = {"s" + std::to_string(number), 1};
  record.service = "desk";
  record.slots = 6;
  pool->Update(now, record);
  return record.incarnation;
}

ServerAnnouncement Limit(double limit) {
  ServerAnnouncement announcement;
  announcement.rate_limit = limit;
  announcement.certain = true;
  return announcement;
}

}  // namespace

// Only the first hundred were reported, so the leader never knew of the others.
TEST_CASE("all limited servers are reported, however many there are",
          "[LIMIT]") {
  constexpr int kServers = 250;
  const Instant now{seconds(10)};
  ServerPool pool("near", {}, [] { return 0.5; });
  for (int i = 0; i < kServers; ++i) {
    pool.RecordAnnouncement(now, AddServer(&pool, now, i), now, Limit(3));
  }
  AddServer(&pool, now, kServers);
  AnnouncementReporter reporter;
  std::set<std::string> reported;
  for (int i = 0; i < 3; ++i) {
    const auto reports = reporter.Report(now, pool);
    CHECK(reports.size() <= kMaxReportedServers);
    for (const auto& report : reports) {
      reported.insert(report.server.id);
    }
  }
  CHECK(reported.size() == kServers);
}

TEST_CASE("a report names each server once", "[LIMIT]") {
  const Instant now{seconds(10)};
  ServerPool pool("near", {}, [] { return 0.5; });
  for (int i = 0; i < 3; ++i) {
    pool.RecordAnnouncement(now, AddServer(&pool, now, i), now, Limit(3));
  }
  AnnouncementReporter reporter;
  for (int i = 0; i < 3; ++i) {
    CHECK(reporter.Report(now, pool).size() == 3);
  }
}

// Each change is logged and reported at once, so that there must be few.
TEST_CASE("a limit that changes with each answer is reported twice a second",
          "[LIMIT]") {
  Instant now{seconds(10)};
  ServerPool pool("near", {}, [] { return 0.5; });
  const auto server = AddServer(&pool, now, 0);
  int changes = 0;
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(10);
    changes +=
        pool.RecordAnnouncement(now, server, now, Limit(5 + i % 2)) ? 1 : 0;
  }
  CHECK(changes == 4);
  // The last change is told, too.
  pool.RecordAnnouncement(now, server, now, Limit(9));
  now += seconds(1);
  CHECK(pool.RecordAnnouncement(now, server, now, Limit(9)));
  CHECK_FALSE(pool.RecordAnnouncement(now + seconds(1), server, now, Limit(9)));
}

}  // namespace mustardflow::tests
