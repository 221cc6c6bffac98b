// Tests which answers make a round succeed.

#include <catch2/catch.hpp>

#include <string>

#include "coordination/round_tracker.h"

namespace mustardflow::tests {

namespace {

using coordination::OwnershipTiming;
using coordination::RoundTracker;
using state::Instant;
using std::chrono::milliseconds;

const OwnershipTiming kTiming;

Instant AtMs(int ms) {
  return Instant(milliseconds(ms));
}

coordination::RoundAnswer Answer(const std::string& server) {
  return {server, 1, {}, {}};
}

}  // namespace

TEST_CASE("a round succeeds with a majority and returns its answers") {
  RoundTracker rounds(kTiming);
  rounds.SetGroups({{"a", "b", "c"}});
  const auto round = rounds.Start(AtMs(0));
  CHECK(rounds.RecordAnswer(AtMs(1), round, Answer("a"), true).empty());
  CHECK(rounds.RecordAnswer(AtMs(2), round, Answer("a"), true).empty());
  CHECK(rounds.RecordAnswer(AtMs(3), round, Answer("b"), true).size() == 2);
  CHECK(rounds.last_success() == AtMs(0));
  CHECK(rounds.RecordAnswer(AtMs(4), round, Answer("c"), true).size() == 1);
}

TEST_CASE("answers that are late or do not count as a witness give no majority",
          "[O1]") {
  RoundTracker rounds(kTiming);
  rounds.SetGroups({{"a", "b", "c"}});
  const auto round = rounds.Start(AtMs(0));
  rounds.RecordAnswer(AtMs(1), round, Answer("a"), true);
  CHECK(rounds.RecordAnswer(AtMs(2), round, Answer("b"), false).empty());
  CHECK(rounds.RecordAnswer(AtMs(3), round, Answer("x"), true).empty());
  CHECK(rounds.RecordAnswer(AtMs(301), round, Answer("c"), true).empty());
  CHECK_FALSE(rounds.last_success());
}

TEST_CASE("a round needs a majority of both sets while the witnesses change",
          "[Z5]") {
  RoundTracker rounds(kTiming);
  rounds.SetGroups({{"a", "b", "c"}, {"c", "d", "e"}});
  const auto round = rounds.Start(AtMs(0));
  rounds.RecordAnswer(AtMs(1), round, Answer("a"), true);
  CHECK(rounds.RecordAnswer(AtMs(1), round, Answer("b"), true).empty());
  CHECK(rounds.RecordAnswer(AtMs(1), round, Answer("c"), true).empty());
  CHECK(rounds.RecordAnswer(AtMs(1), round, Answer("d"), true).size() == 4);
}

}  // namespace mustardflow::tests
