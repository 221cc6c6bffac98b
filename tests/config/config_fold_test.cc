// Folding the log into the configuration with concurrent writers, retried
// appends, expired records and restarts.

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "protocol/message_codec.h"
#include "state/config_fold.h"

namespace mustardflow::tests {

namespace {

using state::ConfigFold;
using state::DocumentRecord;
using state::Record;
using state::RecordOutcome;

state::ServiceDocument MakeDocument(const std::vector<std::string>& servers) {
  state::ServiceDocument document;
  document.service = "parts";
  for (const std::string& name : servers) {
    state::ServerEntry server;
    server.name = name;
    document.servers.push_back(server);
  }
  return document;
}

Record Publish(const std::string& id,
               state::Revision base,
               const std::vector<std::string>& servers) {
  return {id, DocumentRecord{base, MakeDocument(servers), id}};
}

}  // namespace

TEST_CASE("of two records with the same base the first in the log is accepted",
          "[Z3]") {
  ConfigFold fold;
  fold.Apply(0, Publish("first", 0, {"a"}));
  fold.Apply(1, Publish("left", 1, {"a", "b"}));
  fold.Apply(2, Publish("right", 1, {"a", "c"}));
  CHECK(fold.FindResult("left")->outcome == RecordOutcome::kAccepted);
  CHECK(fold.FindResult("right")->outcome == RecordOutcome::kConflict);
  CHECK(fold.FindResult("right")->revision == 2);
  CHECK(fold.snapshot().services.at("parts").text == "left");
}

TEST_CASE("a record that is appended twice takes effect once", "[O5]") {
  ConfigFold fold;
  const Record out{"out", state::ZoneRecord{"dudley", false}};
  fold.Apply(0, out);
  fold.Apply(1, Record{"in", state::ZoneRecord{"dudley", true}});
  fold.Apply(2, out);
  CHECK(fold.snapshot().zones.at("dudley").in_service);
}

TEST_CASE("a conflicting record does not create an unknown service", "[Z3]") {
  ConfigFold fold;
  fold.Apply(0, Publish("early", 7, {"a"}));
  CHECK(fold.snapshot().services.empty());
}

TEST_CASE("the witness revision changes only with the set of servers", "[Z5]") {
  ConfigFold fold;
  fold.Apply(0, Publish("one", 0, {"a", "b"}));
  fold.Apply(1, Publish("two", 1, {"a", "b"}));
  const auto& config = fold.snapshot().services.at("parts");
  CHECK(config.witness_revision == 1);
  fold.Apply(2, Publish("three", 2, {"a", "c"}));
  CHECK(config.witness_revision == 3);
  CHECK(config.established_revision == 1);
  CHECK(config.established_servers.size() == 2);
  fold.Apply(3, Record{"w", state::WitnessRecord{"parts", 3}});
  CHECK(config.established_revision == 3);
}

TEST_CASE("a host that starts after records expired waits for a checkpoint",
          "[O6]") {
  ConfigFold full;
  full.Apply(0, Publish("one", 0, {"a"}));
  full.Apply(1, Publish("two", 1, {"b"}));
  const Record checkpoint{"c", state::CheckpointRecord{full.snapshot()}};
  full.Apply(2, Publish("three", 2, {"c"}));
  full.Apply(3, checkpoint);

  ConfigFold late;
  late.SkipExpiredRecords(2);
  late.Apply(2, Publish("three", 2, {"c"}));
  CHECK(late.waiting_for_checkpoint());
  CHECK(late.snapshot().services.empty());
  late.Apply(3, checkpoint);
  CHECK_FALSE(late.waiting_for_checkpoint());
  CHECK(late.snapshot().services.at("parts").text == "three");
}

TEST_CASE("a checkpoint older than the expired records does not end the wait",
          "[O6]") {
  ConfigFold early;
  early.Apply(0, Publish("one", 0, {"a"}));
  const Record old_checkpoint{"c", state::CheckpointRecord{early.snapshot()}};
  ConfigFold late;
  late.SkipExpiredRecords(5);
  late.Apply(5, old_checkpoint);
  CHECK(late.waiting_for_checkpoint());
}

TEST_CASE("malformed records are counted and skipped", "[S4]") {
  ConfigFold fold;
  fold.Apply(0, Publish("one", 0, {"a"}));
  fold.SkipMalformed(1);
  fold.Apply(2, Publish("two", 1, {"b"}));
  CHECK(fold.malformed_records() == 1);
  CHECK(fold.snapshot().services.at("parts").text == "two");
}

// One host reads a random log from the beginning. Another host reads it from a
// random offset on and starts from a peer's state or from a checkpoint. Guards
// against state that depends on where a host starts.
TEST_CASE("hosts reach the same state whichever offset they start from",
          "[O6][Z3]") {
  const bool held = rc::check("same state", [] {
    const auto kinds =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    std::vector<Record> log;
    ConfigFold full;
    ConfigFold follower;
    const auto start =
        kinds.empty() ? 0 : *rc::gen::inRange<std::size_t>(0, kinds.size());
    for (std::size_t i = 0; i < kinds.size(); ++i) {
      const std::string id =
          "r" + std::to_string(*rc::gen::inRange<std::size_t>(0, i + 1));
      const state::Revision current =
          full.snapshot().services.contains("parts")
              ? full.snapshot().services.at("parts").revision
              : 0;
      const state::Revision base = kinds[i] == 0 ? 0 : current;
      Record record = Publish(id, base, {"a", id});
      if (kinds[i] == 2) {
        record = {id, state::ZoneRecord{"dudley", i % 2 == 0}};
      } else if (kinds[i] == 3) {
        record = {"c" + std::to_string(i),
                  state::CheckpointRecord{full.snapshot()}};
      } else if (kinds[i] == 4) {
        record = {id, state::WitnessRecord{"parts", current}};
      }
      const auto before = full.snapshot();
      full.Apply(i, record);
      if (i == start) {
        follower.SkipExpiredRecords(start);
        if (kinds[i] == 5) {
          follower.Restore(before);
        }
      }
      if (i >= start) {
        follower.Apply(i, record);
      }
      if (i >= start && !follower.waiting_for_checkpoint()) {
        RC_ASSERT(follower.snapshot() == full.snapshot());
      }
    }
  });
  REQUIRE(held);
}

}  // namespace mustardflow::tests
