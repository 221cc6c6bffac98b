// Which hosts are alive, and which of them campaigns.

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

Instant At(int ms) {
  return Instant(milliseconds(ms));
}

HostEntry MakeHost(int number) {
  HostEntry host;
  host.name = "entry-" + std::to_string(number);
  host.control = {"127.0.0.1", static_cast<std::uint16_t>(1000 + number)};
  return host;
}

Heartbeat MakeHeartbeat(int number, bool coordinates) {
  Heartbeat heartbeat;
  heartbeat.host = MakeHost(number);
  if (coordinates) {
    heartbeat.claims.push_back({"parts", {1, 5, 9}, 1});
  }
  return heartbeat;
}

}  // namespace

TEST_CASE("a host that has just started does not depose a coordinator",
          "[Z6]") {
  HostDirectory directory(At(0), MakeHost(1), kTiming);
  CHECK_FALSE(directory.ShouldCampaign(At(0), "parts"));
  directory.RecordHeartbeat(At(100), MakeHeartbeat(2, true));
  CHECK(directory.CoordinatorOf(At(100), "parts") == "entry-2");
  for (int ms = 100; ms < 3000; ms += 100) {
    directory.RecordHeartbeat(At(ms), MakeHeartbeat(2, true));
    CHECK_FALSE(directory.ShouldCampaign(At(ms), "parts"));
  }
}

TEST_CASE("a silent coordinator is succeeded by one host at a time", "[O7]") {
  std::vector<HostDirectory> directories;
  for (int i = 0; i < 3; ++i) {
    directories.emplace_back(At(0), MakeHost(i), kTiming);
  }
  int campaigns = 0;
  for (int ms = 0; ms < 2100; ms += 10) {
    for (int i = 0; i < 3; ++i) {
      for (int j = 0; j < 3; ++j) {
        directories[static_cast<std::size_t>(i)].RecordHeartbeat(
            At(ms), MakeHeartbeat(j, false));
      }
      directories[static_cast<std::size_t>(i)].RecordHeartbeat(
          At(std::min(ms, 1000)), MakeHeartbeat(9, true));
    }
    if (ms > 1000 && ms < 1380) {
      for (HostDirectory& directory : directories) {
        campaigns += directory.ShouldCampaign(At(ms), "parts") ? 1 : 0;
      }
    }
  }
  CHECK(campaigns == 1);
}

TEST_CASE("heartbeats overrule the host list", "[O10]") {
  HostDirectory directory(At(0), MakeHost(1), kTiming);
  directory.SetHostList(At(0), {MakeHost(1), MakeHost(2)});
  CHECK(directory.LiveHosts(At(0)).size() == 1);
  directory.RecordHeartbeat(At(10), MakeHeartbeat(2, false));
  directory.RecordHeartbeat(At(10), MakeHeartbeat(3, false));
  CHECK(directory.LiveHosts(At(20)).size() == 3);
  directory.SetHostList(At(30), {});
  CHECK(directory.LiveHosts(At(40)).size() == 3);
  CHECK(directory.LiveHosts(At(1000)).size() == 1);
  CHECK(directory.HeartbeatTargets(At(1000)).size() == 2);
  CHECK(directory.HeartbeatTargets(At(100'000)).empty());
}

TEST_CASE("a host that is behind a live peer knows it", "[Z7]") {
  HostDirectory directory(At(0), MakeHost(1), kTiming);
  Heartbeat ahead = MakeHeartbeat(2, false);
  ahead.position = 8;
  directory.RecordHeartbeat(At(0), ahead);
  CHECK(directory.IsBehind(At(10), 7));
  CHECK_FALSE(directory.IsBehind(At(10), 8));
  CHECK_FALSE(directory.IsBehind(At(5000), 7));
}

}  // namespace mustardflow::tests
