// The assignment of servers to the hosts that are their gates.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "coordination/gate_assignment.h"

namespace mustardflow::tests {

namespace {

using coordination::GateAssignment;
using coordination::GatedServer;
using coordination::GateHost;
using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

GateHost Host(int number, double strength = 1) {
  GateHost host;
  host.name = "h" + std::to_string(number);
  host.zone = number % 2 == 0 ? "north" : "south";
  host.address = {"10.0.0." + std::to_string(number), 7201};
  host.strength = strength;
  return host;
}

std::vector<GatedServer> Servers(int count) {
  std::vector<GatedServer> servers;
  for (int i = 0; i < count; ++i) {
    servers.push_back(
        {"s" + std::to_string(i), i % 2 == 0 ? "north" : "south", 6, {}});
  }
  return servers;
}

}  // namespace

TEST_CASE("servers get no gates while there are few hosts", "[L2]") {
  GateAssignment assignment;
  const Instant now{seconds(1)};
  for (int i = 0; i < 10; ++i) {
    assignment.RecordHost(now, Host(i));
  }
  CHECK(assignment.Assign(now, Servers(20)).empty());
}

// Otherwise each host gets a small part of the limit, whatever it needs.
TEST_CASE("a server with a low rate limit gets a gate", "[LIMIT]") {
  GateAssignment assignment;
  const Instant now{seconds(1)};
  for (int i = 0; i < 8; ++i) {
    assignment.RecordHost(now, Host(i));
  }
  std::vector<GatedServer> servers = Servers(3);
  servers[0].rate_limit = 6.1;
  servers[1].rate_limit = 1e9;
  const auto gates = assignment.Assign(now, servers);
  CHECK(gates.size() == 1);
  CHECK(gates.contains("s0"));
}

TEST_CASE("servers get gates in their zone in proportion to strength", "[L2]") {
  GateAssignment assignment;
  const Instant now{seconds(1)};
  for (int i = 0; i < 40; ++i) {
    assignment.RecordHost(now, Host(i, i < 20 ? 3 : 1));
  }
  const auto gates = assignment.Assign(now, Servers(2000));
  REQUIRE(gates.size() == 2000);
  int strong = 0;
  for (const auto& [server, address] : gates) {
    const int host = std::stoi(address.ip.substr(7));
    strong += host < 20 ? 1 : 0;
    CHECK(host % 2 == std::stoi(server.substr(1)) % 2);
  }
  CHECK(strong > 1400);
  CHECK(strong < 1600);
}

TEST_CASE("a host without reports loses its servers, the others keep theirs",
          "[L2]") {
  GateAssignment assignment;
  Instant now{seconds(1)};
  for (int i = 0; i < 40; ++i) {
    assignment.RecordHost(now, Host(i));
  }
  const auto before = assignment.Assign(now, Servers(400));
  now += seconds(2);
  for (int i = 1; i < 40; ++i) {
    assignment.RecordHost(now, Host(i));
  }
  const auto after = assignment.Assign(now, Servers(400));
  REQUIRE(after.size() == 400);
  for (const auto& [server, address] : before) {
    if (address.ip == "10.0.0.0") {
      CHECK(after.at(server).ip != "10.0.0.0");
    } else {
      CHECK(after.at(server) == address);
    }
  }
}

}  // namespace mustardflow::tests
