// Tests which hosts count as alive and which of them campaigns.

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "coordination/host_directory.h"

namespace mustardflow::tests {

namespace {

using coordination::DirectoryTiming;
using coordination::HostDirectory;
using state::Heartbeat;
using state::HostEntry;
using state::Instant;
using std::chrono::milliseconds;

const DirectoryTiming kTiming;

Instant AtMs(int ms) {
  return Instant(milliseconds(ms));
}

HostEntry MakeHost(int number) {
  HostEntry host;
  host.name = "entry-" + std::to_string(number);
  host.control = {"127.0.0.1", static_cast<std::uint16_t>(1000 + number)};
  return host;
}

// Makes a heartbeat of host `number`. If `coordinates`, the host claims to
// coordinate the service "parts".
Heartbeat MakeHeartbeat(int number, bool coordinates) {
  Heartbeat heartbeat;
  heartbeat.host = MakeHost(number);
  if (coordinates) {
    heartbeat.claims.push_back({"parts", {1, 5, 9}, 1});
  }
  return heartbeat;
}

}  // namespace

TEST_CASE("a host that has just started does not replace a live coordinator",
          "[Z6]") {
  HostDirectory directory(AtMs(0), MakeHost(1), kTiming);
  CHECK_FALSE(directory.ShouldCampaign(AtMs(0), "parts"));
  directory.RecordHeartbeat(AtMs(100), MakeHeartbeat(2, true));
  CHECK(directory.CoordinatorOf(AtMs(100), "parts") == "entry-2");
  for (int ms = 100; ms < 3000; ms += 100) {
    directory.RecordHeartbeat(AtMs(ms), MakeHeartbeat(2, true));
    CHECK_FALSE(directory.ShouldCampaign(AtMs(ms), "parts"));
  }
}

TEST_CASE("only one host campaigns when the coordinator's heartbeats stop",
          "[O7]") {
  std::vector<HostDirectory> directories;
  for (int i = 0; i < 3; ++i) {
    directories.emplace_back(AtMs(0), MakeHost(i), kTiming);
  }
  int campaigns = 0;
  for (int ms = 0; ms < 2100; ms += 10) {
    for (int i = 0; i < 3; ++i) {
      for (int j = 0; j < 3; ++j) {
        directories[static_cast<std::size_t>(i)].RecordHeartbeat(
            AtMs(ms), MakeHeartbeat(j, false));
      }
      directories[static_cast<std::size_t>(i)].RecordHeartbeat(
          AtMs(std::min(ms, 1000)), MakeHeartbeat(9, true));
    }
    if (ms > 1000 && ms < 1380) {
      for (HostDirectory& directory : directories) {
        campaigns += directory.ShouldCampaign(AtMs(ms), "parts") ? 1 : 0;
      }
    }
  }
  CHECK(campaigns == 1);
}

TEST_CASE("heartbeats decide liveness whatever the host list says", "[O10]") {
  HostDirectory directory(AtMs(0), MakeHost(1), kTiming);
  directory.SetHostList(AtMs(0), {MakeHost(1), MakeHost(2)});
  CHECK(directory.LiveHosts(AtMs(0)).size() == 1);
  directory.RecordHeartbeat(AtMs(10), MakeHeartbeat(2, false));
  directory.RecordHeartbeat(AtMs(10), MakeHeartbeat(3, false));
  CHECK(directory.LiveHosts(AtMs(20)).size() == 3);
  directory.SetHostList(AtMs(30), {});
  CHECK(directory.LiveHosts(AtMs(40)).size() == 3);
  CHECK(directory.LiveHosts(AtMs(1000)).size() == 1);
  CHECK(directory.HeartbeatTargets(AtMs(1000)).size() == 2);
  CHECK(directory.HeartbeatTargets(AtMs(100'000)).empty());
}

TEST_CASE("a host is behind if a live peer has read more of the log", "[Z7]") {
  HostDirectory directory(AtMs(0), MakeHost(1), kTiming);
  Heartbeat ahead = MakeHeartbeat(2, false);
  ahead.position = 8;
  directory.RecordHeartbeat(AtMs(0), ahead);
  CHECK(directory.IsBehind(AtMs(10), 7));
  CHECK_FALSE(directory.IsBehind(AtMs(10), 8));
  CHECK_FALSE(directory.IsBehind(AtMs(5000), 7));
}

}  // namespace mustardflow::tests
