// Tests for servers whose entries are missing, and for the count of hosts.

#include <catch2/catch.hpp>

#include "coordination/missing_entries.h"
#include "coordination/recent_maximum.h"

namespace mustardflow::tests {

using coordination::MissingEntries;
using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a server whose entry is missing is gone at once if reads succeed") {
  MissingEntries lapses;
  const Instant now(seconds(10));
  lapses.HandleRead(now);
  lapses.HandleMissing(now, "a");
  CHECK(lapses.TakeGone(now) == std::vector<std::string>{"a"});
  CHECK(lapses.TakeGone(now).empty());
}

TEST_CASE(
    "a server whose entry is missing after an outage has a grace period") {
  MissingEntries lapses;
  Instant now(seconds(10));
  lapses.HandleFailedRead(now);
  now += seconds(5);
  lapses.HandleRead(now);
  lapses.HandleMissing(now, "a");
  lapses.HandleMissing(now, "b");
  CHECK(lapses.TakeGone(now + milliseconds(2000)).empty());
  lapses.HandlePresent("a");
  CHECK(lapses.TakeGone(now + milliseconds(2300)) ==
        std::vector<std::string>{"b"});
}

// Guards against a grace period that restarts with each read: a host that had
// been cut off from the store used a server until 2.9 s after the first read
// that showed the server's entry missing.
TEST_CASE("the grace period starts with the first read after an outage") {
  MissingEntries lapses;
  Instant now(seconds(10));
  lapses.HandleFailedRead(now);
  now += seconds(5);
  lapses.HandleRead(now);
  now += milliseconds(1500);
  lapses.HandleRead(now);
  lapses.HandleMissing(now, "a");
  CHECK(lapses.TakeGone(now + milliseconds(800)).size() == 1);
}

// Guards against live servers that count as gone, because the store was away
// again before they could restore their entries.
TEST_CASE("a second outage begins another grace period") {
  MissingEntries lapses;
  Instant now(seconds(10));
  lapses.HandleFailedRead(now);
  now += seconds(5);
  lapses.HandleRead(now);
  lapses.HandleMissing(now, "a");
  lapses.HandleFailedRead(now + seconds(1));
  CHECK(lapses.TakeGone(now + seconds(4)).empty());
  now += seconds(8);
  lapses.HandleRead(now);
  CHECK(lapses.TakeGone(now + milliseconds(2000)).empty());
  CHECK(lapses.TakeGone(now + milliseconds(2300)).size() == 1);
}

// Guards against live servers that count as gone at a host which made no read
// during an outage, because it followed a leader or was cut off.
TEST_CASE("a long time without reads counts as an outage") {
  MissingEntries lapses;
  Instant now(seconds(10));
  lapses.HandleRead(now);
  now += seconds(2);
  lapses.HandleRead(now);
  lapses.HandleMissing(now, "a");
  CHECK(lapses.TakeGone(now).empty());
  now += milliseconds(1500);
  lapses.HandleRead(now);
  CHECK(lapses.TakeGone(now).empty());
  // Only a read after the grace period can tell.
  CHECK_FALSE(lapses.NeedsRead(now + milliseconds(600)));
  CHECK(lapses.NeedsRead(now + milliseconds(800)));
  now += milliseconds(800);
  lapses.HandleRead(now);
  CHECK_FALSE(lapses.NeedsRead(now));
  CHECK(lapses.TakeGone(now).size() == 1);
}

// Guards against a grace period for which no outage is the reason, in which
// requests go to servers that have left.
TEST_CASE("reads of the leader bridge the time between own reads") {
  MissingEntries lapses;
  Instant now(seconds(10));
  for (int read = 0; read < 100; ++read) {
    now += milliseconds(1500);
    lapses.HandleRead(now);
  }
  lapses.HandleMissing(now, "a");
  CHECK(lapses.TakeGone(now).size() == 1);
}

// Guards against an answer from before an outage that ends it.
TEST_CASE("only a read after the failure ends an outage") {
  MissingEntries lapses;
  const Instant now(seconds(10));
  lapses.HandleRead(now);
  lapses.HandleMissing(now, "a");
  lapses.HandleFailedRead(now + seconds(1));
  lapses.HandleRead(now + milliseconds(900));
  CHECK(lapses.TakeGone(now + seconds(4)).empty());
}

// Guards against shares that are too large after a change of leader: a new
// leader knew only some of the hosts, and the hosts together exceeded the rate
// limit of a cold server.
TEST_CASE("the count of hosts falls only after the larger count has expired") {
  coordination::RecentMaximum hosts(seconds(20));
  Instant now(seconds(10));
  hosts.Record(now, 10);
  now += seconds(1);
  hosts.Record(now, 3);
  CHECK(hosts.value() == 10);
  now += seconds(15);
  hosts.Record(now, 4);
  CHECK(hosts.value() == 10);
  now += seconds(6);
  hosts.Record(now, 4);
  CHECK(hosts.value() == 4);
}

}  // namespace mustardflow::tests
