// What the leader publishes of servers' limits.

#include <catch2/catch.hpp>
#include <optional>

#include "coordination/published_limits.h"

namespace mustardflow::tests {

namespace {

using coordination::LimitChanges;
using coordination::UpdatePublishedLimits;
using state::ServerLimit;
using state::ServerLimits;

}  // namespace

TEST_CASE("the changes between published limits turn the first into the second",
          "[LIMIT]") {
  ServerLimits published{{"a", {1, 6.0}}, {"b", {1, 4.0}}, {"c", {1, 3.0}}};
  const ServerLimits stated{
      {"a", {1, 6.0}}, {"b", {1, std::nullopt}}, {"d", {2, 0.0}}};
  CHECK(UpdatePublishedLimits(stated, &published) ==
        LimitChanges{{"b", ServerLimit{1, std::nullopt}},
                     {"c", std::nullopt},
                     {"d", ServerLimit{2, 0.0}}});
  CHECK(published == stated);
  CHECK(UpdatePublishedLimits(stated, &published).empty());
}

// A server may state another limit in each answer.
TEST_CASE("small changes of limits add up before they are published",
          "[LIMIT]") {
  ServerLimits published{{"a", {1, 10.0}}};
  CHECK(UpdatePublishedLimits({{"a", {1, 10.3}}}, &published).empty());
  CHECK(UpdatePublishedLimits({{"a", {1, 9.7}}}, &published).empty());
  CHECK(published.at("a").rate == 10);
  CHECK(UpdatePublishedLimits({{"a", {1, 9.4}}}, &published).size() == 1);
  CHECK(published.at("a").rate == 9.4);
  // The limit of another incarnation is another one.
  CHECK(UpdatePublishedLimits({{"a", {2, 9.4}}}, &published).size() == 1);
}

}  // namespace mustardflow::tests
