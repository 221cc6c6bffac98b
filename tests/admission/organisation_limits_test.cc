// Limits of organisations over all hosts: the bound in every window, the use of
// the limit, and the size of messages.

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "tests/admission/organisation_simulation.h"

namespace mustardflow::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What happens while one organisation sends eight times its usual load.
enum class Event { kLeaderChange, kPartition, kRestart, kLowerLimit };

struct Organisation {
  std::string name;
  double rate = 0;
};

// 72 organisations, a few of them large, whose demand is limit / 1.6. A third
// of them are seen by all hosts, a third by five and a third by two.
std::vector<Organisation> AddAll(OrganisationSimulation* deployment,
                                 std::size_t hosts) {
  std::vector<Organisation> all;
  for (int i = 0; i < 72; ++i) {
    const double rate = i < 4 ? 340 : i < 20 ? 40 : i < 50 ? 5 : 1;
    all.push_back({"organisation-" + std::to_string(i), rate});
    const std::size_t spread = i % 3 == 0 ? hosts : i % 3 == 1 ? 5 : 2;
    deployment->AddOrganisation(all.back().name, rate, rate, spread);
    deployment->SetDemand(all.back().name, rate / 1.6);
  }
  return all;
}

// Returns the names of organisations over the bound in any window that ends
// after `since`.
std::string OverBound(const OrganisationSimulation& deployment,
                      const std::vector<Organisation>& organisations,
                      state::Instant since = {}) {
  std::string names;
  for (const auto& [name, rate] : organisations) {
    if (deployment.MaxInWindow(name, since) > deployment.Bound(rate, rate)) {
      names += name + ' ';
    }
  }
  return names;
}

}  // namespace

// Guards against more requests than the limit allows, against limits that are
// not used up, and against refusals of organisations within their limits.
TEST_CASE("organisations are held to their limits over all hosts") {
  const std::size_t hosts = GENERATE(8, 64, 295);
  const Event event = GENERATE(Event::kLeaderChange, Event::kPartition,
                               Event::kRestart, Event::kLowerLimit);
  OrganisationSimulation deployment(hosts, hosts);
  const std::vector<Organisation> all = AddAll(&deployment, hosts);
  deployment.Run(seconds(10));
  for (const Organisation& large : {all[0], all[5], all[25]}) {
    const state::Instant surge = deployment.now();
    deployment.SetDemand(large.name, large.rate / 1.6 * 8);
    deployment.Run(seconds(6));
    const state::Instant steady = deployment.now();
    // Long enough that what a bucket holds is little in comparison.
    deployment.Run(seconds(large.rate < 40 ? 120 : 20));
    CHECK(deployment.Served(large.name, steady) >= 0.95 * large.rate);
    double offered = 0;
    double refused = 0;
    for (const auto& [name, rate] : all) {
      if (name != large.name) {
        const double requests = deployment.Offered(name, surge);
        offered += requests;
        refused += requests * deployment.Refused(name, surge);
        CHECK((rate < 5 || deployment.Refused(name, surge) < 0.02));
      }
    }
    CHECK(refused < 0.001 * offered);

    if (event == Event::kLeaderChange) {
      const state::Instant change = deployment.now();
      deployment.ChangeLeader(milliseconds(1000));
      deployment.Run(seconds(10));
      CHECK(deployment.Served(large.name, change) >= 0.9 * large.rate);
      for (const auto& [name, rate] : all) {
        if (name != large.name && rate >= 40) {
          CHECK(deployment.Refused(name, change) < 0.02);
        }
      }
    }
    if (event == Event::kPartition) {
      for (std::size_t host = 0; host < hosts / 8; ++host) {
        deployment.SetPartitioned(host, true);
      }
      deployment.Run(seconds(8));
      for (std::size_t host = 0; host < hosts / 8; ++host) {
        deployment.SetPartitioned(host, false);
      }
      deployment.Run(seconds(6));
    }
    if (event == Event::kRestart) {
      deployment.RestartAll();
      deployment.Run(seconds(10));
    }
    if (event == Event::kLowerLimit) {
      deployment.SetLimit(large.name, large.rate / 2, large.rate / 2);
      deployment.Run(deployment.bounds().config_apply +
                     deployment.bounds().quota_window);
      const state::Instant lowered = deployment.now();
      deployment.Run(seconds(8));
      CHECK(deployment.MaxInWindow(large.name, lowered) <=
            deployment.Bound(large.rate / 2, large.rate / 2));
      deployment.SetLimit(large.name, large.rate, large.rate);
    }
    deployment.SetDemand(large.name, large.rate / 1.6);
    deployment.Run(seconds(8));
    const std::string over_bound = OverBound(deployment, all);
    INFO(over_bound);
    CHECK(over_bound.empty());
  }
}

// Guards against messages and memory that grow with the number of
// organisations.
TEST_CASE("messages stay small with ten thousand organisations") {
  constexpr std::size_t kHosts = 16;
  constexpr int kOrganisations = 10000;
  OrganisationSimulation deployment(kHosts, 1);
  for (int i = 0; i < kOrganisations; ++i) {
    const std::string name = "organisation-" + std::to_string(i);
    deployment.AddOrganisation(name, 1, 1, kHosts);
    deployment.SetDemand(name, 2);
  }
  deployment.Run(seconds(6));
  CHECK(deployment.max_report_bytes() <= 2 * admission::kMaxIntervalBytes);
  CHECK(deployment.max_heartbeat_bytes() <= admission::kMaxFractionBytes);
  CHECK(deployment.max_tracked() <= kOrganisations);
  CHECK(deployment.reports() < 2 * kHosts * 15);
}

}  // namespace mustardflow::tests
