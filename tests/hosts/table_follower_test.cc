// Updates of the ownership table that are lost, late or out of order.

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "coordination/table_follower.h"

namespace mustardflow::tests {

namespace {

using coordination::TableFollower;
using state::Instant;
using state::OwnershipTable;
using state::TableUpdate;
using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kNow(seconds(100));

// An update that gives the server "g" the gate with this port.
TableUpdate Update(std::int64_t base, std::int64_t term = 3) {
  TableUpdate update;
  update.term = term;
  update.base_revision = base;
  update.revision = base + 1;
  update.limits["g"] = state::ServerLimit{1, static_cast<double>(base + 1)};
  update.gates["g"] =
      state::Address{"10.0.0.1", static_cast<std::uint16_t>(base + 1)};
  return update;
}

OwnershipTable TableAt(std::int64_t revision, std::int64_t term = 3) {
  OwnershipTable table;
  table.term = term;
  table.revision = revision;
  table.gates["g"] = {"10.0.0.1", static_cast<std::uint16_t>(revision)};
  return table;
}

}  // namespace

TEST_CASE("updates that overtake one another are applied in order") {
  OwnershipTable table = TableAt(5);
  TableFollower follower(table);
  CHECK_FALSE(follower.HandleUpdate(Update(6)));
  CHECK_FALSE(follower.HandleUpdate(Update(7)));
  follower.HandleAnnouncement(kNow, 3, 8);
  CHECK(follower.HandleUpdate(Update(5)));
  CHECK(table.revision == 8);
  CHECK(table.gates.at("g").port == 8);
  CHECK(table.limits.at("g").rate == 8);
  CHECK_FALSE(follower.NeedsFetch(kNow + seconds(1)));
}

TEST_CASE(
    "a host fetches what it lacks only after updates had time to arrive") {
  OwnershipTable table = TableAt(5);
  TableFollower follower(table);
  follower.HandleUpdate(Update(6));
  follower.HandleAnnouncement(kNow, 3, 7);
  CHECK_FALSE(follower.NeedsFetch(kNow + milliseconds(20)));
  CHECK(follower.NeedsFetch(kNow + milliseconds(100)));
  CHECK(follower.HandleTable(TableAt(6)));
  // The update that had arrived early follows the fetched table.
  CHECK(table.revision == 7);
  CHECK_FALSE(follower.NeedsFetch(kNow + seconds(1)));
}

TEST_CASE("an older table or an update of another term changes nothing",
          "[O10]") {
  OwnershipTable table = TableAt(5);
  TableFollower follower(table);
  CHECK_FALSE(follower.HandleTable(TableAt(4)));
  CHECK_FALSE(follower.HandleTable(TableAt(9, 2)));
  CHECK_FALSE(follower.HandleUpdate(Update(5, 4)));
  CHECK_FALSE(follower.HandleUpdate(Update(5, 2)));
  CHECK(table.revision == 5);
  follower.HandleAnnouncement(kNow, 4, 1);
  CHECK(follower.NeedsFetch(kNow + milliseconds(100)));
}

TEST_CASE("a host serves the updates that another host lacks") {
  OwnershipTable table = TableAt(5);
  TableFollower follower(table);
  for (std::int64_t base = 5; base < 20; ++base) {
    follower.HandleUpdate(Update(base));
  }
  const auto updates = follower.UpdatesSince(3, 17);
  REQUIRE(updates);
  REQUIRE(updates->size() == 3);
  OwnershipTable other = TableAt(17);
  TableFollower lagging(other);
  for (const TableUpdate& update : *updates) {
    lagging.HandleUpdate(update);
  }
  CHECK(other.revision == 20);
  CHECK_FALSE(follower.UpdatesSince(3, 2));
  CHECK_FALSE(follower.UpdatesSince(2, 17));
  // After a fetch of the whole table, the updates before it are not continuous.
  follower.HandleTable(TableAt(30));
  CHECK_FALSE(follower.UpdatesSince(3, 17));
}

// The pattern: each datagram to a follower is lost with a probability of 10 %,
// and the follower fetches from a host that is up to date.
TEST_CASE("a follower that loses updates converges through fetches") {
  std::mt19937_64 random(11);
  OwnershipTable leader_table = TableAt(0);
  TableFollower leader(leader_table);
  OwnershipTable table;
  TableFollower follower(table);
  Instant now = kNow;
  int whole_tables = 0;
  for (std::int64_t base = 0; base < 2000; ++base) {
    now += milliseconds(20);
    const TableUpdate update = Update(base);
    leader.HandlePublished(TableAt(base + 1), {update});
    if (random() % 10 != 0) {
      if (random() % 10 != 0) {
        follower.HandleUpdate(update);
      }
      follower.HandleAnnouncement(now, 3, base + 1);
    }
    if (follower.NeedsFetch(now)) {
      if (const auto updates =
              leader.UpdatesSince(table.term, table.revision)) {
        for (const TableUpdate& missing : *updates) {
          follower.HandleUpdate(missing);
        }
      } else {
        ++whole_tables;
        follower.HandleTable(leader_table);
      }
    }
    CHECK(leader_table.revision - table.revision <= 30);
  }
  CHECK(table.gates.at("g").port == table.revision);
  CHECK(whole_tables <= 1);
}

}  // namespace mustardflow::tests
