// Servers whose entries are missing.

#include <catch2/catch.hpp>

#include "coordination/missing_entries.h"
#include "coordination/recent_maximum.h"

namespace mustardflow::tests {

using coordination::MissingEntries;
using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("while the store answers, a missing entry means gone at once") {
  MissingEntries lapses;
  const Instant now(seconds(10));
  lapses.HandleRead(now);
  lapses.HandleMissing(now, "a");
  CHECK(lapses.TakeGone(now) == std::vector<std::string>{"a"});
  CHECK(lapses.TakeGone(now).empty());
}

TEST_CASE("an entry that lapsed in an outage has time to come back") {
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

// Seen on hollins-gate, scale-2 --seed 864929550139: a host that had been cut
// off used a server 2.9 s after its first reading, which showed it missing.
TEST_CASE("the grace counts from the store's return, not from each reading") {
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

// Seen on ppcc-gateway, hunt-a763-11: after a change of leader the hosts took
// larger shares of a cold server's rate than the limit holds.
TEST_CASE("a count of hosts falls only when the larger one is old") {
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
