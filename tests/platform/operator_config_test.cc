// Parsing of valid and invalid operators' configurations.

#include <catch2/catch.hpp>
#include <string>

#include "platform/operator_config.h"

namespace mustardflow::tests {

namespace {

using std::chrono::milliseconds;

const std::string kConfig = R"({
  "version": 7,
  "routes": {
    "split": {"hostname": "Shop.Example", "path_prefix": "/a/",
              "type": "idempotent", "timeout": "800ms",
              "target_latency": "0.3s", "priority": 2, "max_attempts": 2,
              "traffic_split": [{"service": "one", "weight": 90},
                                {"service": "two", "weight": 10}]},
    "deep": {"hostname": "shop.example", "path_prefix": "/a/b/",
             "type": "non_idempotent", "timeout": "1000ms",
             "target_latency": "400ms", "service": "two"},
    "odd": {"hostname": "shop.example", "path_prefix": "/c/",
            "type": "never heard of", "service": "one"},
    "bad": {"hostname": 5, "path_prefix": "/d/", "service": "one"}
  },
  "services": {
    "one": {"max_connections": 110, "warmup": "3s", "warmup_per_s": 19.0,
            "sharded": true, "warm": "2s"},
    "two": {"max_connections": 90}
  },
  "limits": {"max_header_bytes": 1000, "max_body_bytes": 2000,
             "header_timeout": "3000ms", "idle_timeout": "15s"}
})";

}  // namespace

TEST_CASE("a valid configuration is parsed and an invalid route is omitted") {
  protocol::Findings findings;
  const auto config = platform::ParseOperatorConfig(kConfig, &findings);
  REQUIRE(config);
  CHECK(config->version() == 7);
  CHECK(config->routes().size() == 3);
  REQUIRE(findings.list().size() == 1);
  CHECK(findings.list().front().location == "/routes/bad");
  CHECK_FALSE(config->complete());
  CHECK(config->services().at("one").keyed);
  CHECK(config->services().at("one").cold_rate == 19.0);
  CHECK_FALSE(config->services().at("two").keyed);
  CHECK(config->limits().header_bytes == 1000);
  CHECK(config->limits().idle_timeout == std::chrono::seconds(15));
}

// Guards against requests of a route that cannot be read in full being rejected
// for good, or served as those of a route with a shorter prefix.
TEST_CASE("a route without a readable service keeps its place", "[Z7]") {
  protocol::Findings findings;
  const auto config = platform::ParseOperatorConfig(
      R"({"version": 1, "routes": {
            "wide": {"hostname": "a.example", "path_prefix": "/",
                     "service": "one"},
            "odd": {"hostname": "a.example", "path_prefix": "/odd/",
                    "service": 5}}})",
      &findings);
  REQUIRE(config);
  CHECK(config->complete());
  CHECK(findings.list().size() == 1);
  const state::Route* odd = config->FindRoute("a.example", "/odd/1");
  REQUIRE(odd != nullptr);
  CHECK(odd->name == "odd");
  CHECK(odd->services.empty());
}

// Guards against requests rejected for good by a default limit in place of one
// that could not be read.
TEST_CASE("a configuration with an unreadable limit is not complete", "[Z7]") {
  protocol::Findings findings;
  const auto config = platform::ParseOperatorConfig(
      R"({"version": 1, "routes": {},
          "limits": {"max_header_bytes": "65536", "max_body_bytes": 9}})",
      &findings);
  REQUIRE(config);
  CHECK_FALSE(config->complete());
  CHECK(config->limits().body_bytes == 9);
  REQUIRE(findings.list().size() == 1);
  CHECK(findings.list().front().location == "/limits/max_header_bytes");
}

TEST_CASE("the route with the longest matching prefix is chosen") {
  protocol::Findings findings;
  const auto config = platform::ParseOperatorConfig(kConfig, &findings);
  REQUIRE(config);
  const state::Route* split = config->FindRoute("shop.example", "/a/x");
  REQUIRE(split != nullptr);
  CHECK(split->name == "split");
  CHECK(split->services.size() == 2);
  CHECK(split->timeout == milliseconds(800));
  CHECK(split->target_latency == milliseconds(300));
  const state::Route* deep = config->FindRoute("shop.example", "/a/b/c");
  REQUIRE(deep != nullptr);
  CHECK(deep->name == "deep");
  CHECK_FALSE(state::MayRetry(deep->kind));
  CHECK(config->FindRoute("shop.example", "/z/") == nullptr);
  CHECK(config->FindRoute("other.example", "/a/x") == nullptr);
}

TEST_CASE("requests of an unknown kind may not be retried") {
  protocol::Findings findings;
  const auto config = platform::ParseOperatorConfig(kConfig, &findings);
  REQUIRE(config);
  const state::Route* odd = config->FindRoute("shop.example", "/c/");
  REQUIRE(odd != nullptr);
  CHECK_FALSE(state::MayRetry(odd->kind));
}

TEST_CASE("a text that is not a configuration is rejected with a finding") {
  for (const char* text :
       {"", "{", "[]", "{}", R"({"version":1})", R"({"routes":{}})",
        R"({"version":"1","routes":{}})", R"({"version":1,"routes":[]})"}) {
    protocol::Findings findings;
    INFO(text);
    CHECK(platform::ParseOperatorConfig(text, &findings) == nullptr);
    CHECK_FALSE(findings.empty());
  }
}

// Guards against organisations whose keys or limits are not in force.
TEST_CASE("organisations and public routes are parsed") {
  protocol::Findings findings;
  const auto config = platform::ParseOperatorConfig(
      R"({"version": 1, "routes": {
            "open": {"hostname": "a", "path_prefix": "/o/", "service": "s",
                     "public": true},
            "closed": {"hostname": "a", "path_prefix": "/c/", "service": "s",
                       "priority": 2}},
          "tenants": {
            "one": {"api_keys": ["k1", "k2"], "priority": 1,
                    "rate_per_s": 340, "burst": 34.5},
            "two": {"api_keys": ["k3"], "rate_per_s": 0}}})",
      &findings);
  REQUIRE(config);
  CHECK(findings.empty());
  CHECK(config->complete());
  const state::Route* open = config->FindRoute("a", "/o/x");
  const state::Route* closed = config->FindRoute("a", "/c/x");
  CHECK(open->is_public);
  CHECK_FALSE(closed->is_public);
  const state::Organisation* one = config->FindKey("k2");
  const state::Organisation* two = config->FindKey("k3");
  REQUIRE(one != nullptr);
  REQUIRE(two != nullptr);
  CHECK(one->name == "one");
  CHECK(one->rate == 340);
  CHECK(one->burst == 34.5);
  CHECK(state::PriorityOf(*closed, one) == 1);
  CHECK(state::PriorityOf(*closed, two) == 2);
  CHECK_FALSE(two->limited());
  CHECK(one->largest);
  CHECK_FALSE(two->largest);
  CHECK(config->FindKey("") == nullptr);
  CHECK(config->FindKey("k") == nullptr);
}

TEST_CASE("a configuration without organisations needs no keys") {
  protocol::Findings findings;
  const auto config = platform::ParseOperatorConfig(kConfig, &findings);
  REQUIRE(config);
  CHECK_FALSE(config->organisations());
}

// Guards against requests that are served without a key, or rejected for good,
// because of a mistake in the configuration; and against keys in the log.
TEST_CASE("organisations that cannot be read leave no route open") {
  const std::string tenants = GENERATE(
      R"("none")", R"(null)", R"({"one": 5})", R"({"": {}})",
      R"({"a\r\nb": {"api_keys": ["secret"]}})",
      R"({"one": {"api_keys": "secret"}})", R"({"one": {"api_keys": [7]}})",
      R"({"one": {"api_keys": ["secret "]}})");
  protocol::Findings findings;
  const auto config = platform::ParseOperatorConfig(
      R"({"version": 1, "routes": {}, "tenants": )" + tenants + "}", &findings);
  REQUIRE(config);
  CHECK(config->organisations());
  CHECK_FALSE(config->complete());
  REQUIRE(findings.list().size() == 1);
  CHECK(findings.list().front().location.find("secret") == std::string::npos);
  CHECK(findings.list().front().problem.find("secret") == std::string::npos);
}

}  // namespace mustardflow::tests
