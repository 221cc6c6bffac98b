// Parsing of the platform's settings file.

#include <catch2/catch.hpp>
#include <string>

#include "platform/settings_file.h"

namespace mustardflow::tests {

namespace {

const std::string kSettings = R"({
  "node_name": "edge-north-1", "zone": "north", "ip": "10.1.0.18",
  "bind_addresses": {"frontend": "10.1.0.18:8381", "ready": "10.1.0.18:8388",
                     "control_plane": "10.1.0.18:8382"},
  "internal_ports": [7200, 7215], "heartbeat": "870ms",
  "limits": {"memory_mb": 260, "max_fds": 4100},
  "bounds": ["retry_budget_ratio=0.2", "retry_budget_slack=56",
             "warmup_overage=1.5", "warmup_slack=5", "grace=6s",
             "config_apply=2500ms", "quota_window=4s", "quota_overage=0.2",
             "quota_slack=30",
             "hold_max=10000ms", "unheard_of=1", "no figure", "grace=soon"],
  "platform": {"address": "10.200.1.7:8384"},
  "something_new": [1, 2, 3]
})";

}  // namespace

TEST_CASE("the settings file is parsed and unknown fields are ignored") {
  protocol::Findings findings;
  const auto profile = platform::ParseSettingsFile(kSettings, &findings);
  REQUIRE(profile);
  CHECK(profile->name == "edge-north-1");
  CHECK(profile->callers == state::Address{"10.1.0.18", 8381});
  CHECK(profile->readiness == state::Address{"10.1.0.18", 8388});
  CHECK(profile->operators == state::Address{"10.1.0.18", 8382});
  CHECK(profile->peer_port == 7200);
  CHECK(profile->store == state::Address{"10.200.1.7", 8384});
  CHECK(profile->server_heartbeat == std::chrono::milliseconds(870));
  CHECK(profile->memory_bytes == 260u << 20);
  CHECK(profile->max_descriptors == 4100);
  CHECK(profile->bounds.retry_slack == 56);
  CHECK(profile->bounds.cold_slack == 5);
  CHECK(profile->bounds.stop_grace == std::chrono::seconds(6));
  CHECK(profile->bounds.config_apply == std::chrono::milliseconds(2500));
  CHECK(profile->bounds.quota_window == std::chrono::seconds(4));
  CHECK(profile->bounds.quota_overage == 0.2);
  CHECK(profile->bounds.quota_slack == 30);
}

// Deployments without the entry must be served as before.
TEST_CASE("admission by priority is on only if the contracts ask for it") {
  const auto is_on = [](const std::string& contracts) {
    protocol::Findings findings;
    std::string text = kSettings;
    text.replace(text.find("\"something_new\": [1, 2, 3]"), 26, contracts);
    return platform::ParseSettingsFile(text, &findings)->admission_by_priority;
  };
  CHECK(is_on(R"("contracts": ["other", 7, "pressure"])"));
  CHECK_FALSE(is_on(R"("contracts": ["other"])"));
  CHECK_FALSE(is_on(R"("contracts": "pressure")"));
  CHECK_FALSE(is_on(R"("something_new": 1)"));
}

TEST_CASE("all missing and invalid settings are reported together") {
  protocol::Findings findings;
  CHECK_FALSE(platform::ParseSettingsFile(
      R"({"node_name":"a","ip":"1.2.3.4","bind_addresses":{"ready":"x"}})",
      &findings));
  CHECK(findings.Report("local.json") ==
        "local.json: /zone: missing; add the field\n"
        "local.json: /bind_addresses/frontend: missing; add the field\n"
        "local.json: /bind_addresses/ready: \"x\" is not an IP number with a "
        "port; write for example 192.0.2.7:8080\n"
        "local.json: /internal_ports: names no port; give the first and the "
        "last free port\n"
        "local.json: /platform: missing; add the field\n");
}

}  // namespace mustardflow::tests
