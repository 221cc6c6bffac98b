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

}  // namespace mustardflow::tests
