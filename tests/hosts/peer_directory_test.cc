// Ranks, samples and broadcast plans of up to 1,000 hosts.

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <string>

#include "coordination/peer_directory.h"

namespace mustardflow::tests {

namespace {

using coordination::BroadcastGroup;
using coordination::PeerDirectory;
using state::Address;
using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kNow(seconds(100));

Address AddressOf(int host) {
  return {"10.0." + std::to_string(host / 250) + "." +
              std::to_string(1 + host % 250),
          7200};
}

std::string NameOf(int host) {
  return "host-" + std::to_string(host);
}

// A directory of host 0 that knows `hosts` hosts in five zones.
PeerDirectory DirectoryOf(int hosts) {
  PeerDirectory directory(NameOf(0), 0.2);
  for (int host = 1; host < hosts; ++host) {
    directory.RecordRegistered(
        NameOf(host), {AddressOf(host), "zone-" + std::to_string(host % 5),
                       host % 3 == 0 ? 0.5 : 0.1, kNow});
  }
  return directory;
}

// The number of copies that each host gets if all datagrams arrive.
std::map<Address, int> Receivers(const std::vector<BroadcastGroup>& groups) {
  std::map<Address, int> copies;
  for (const BroadcastGroup& group : groups) {
    ++copies[group.relay];
    for (const Address& member : group.members) {
      ++copies[member];
    }
  }
  return copies;
}

}  // namespace

// The pattern: a leader of 295 hosts sent each message to all of them in one
// burst, which its link did not bear.
TEST_CASE("a broadcast reaches each host once and costs no host much",
          "[O10]") {
  for (const int hosts : {8, 82, 295, 1000}) {
    const PeerDirectory directory = DirectoryOf(hosts);
    for (std::uint64_t round = 0; round < 50; ++round) {
      const auto groups = directory.PlanBroadcast(kNow, round);
      const auto copies = Receivers(groups);
      CHECK(static_cast<int>(copies.size()) == hosts - 1);
      CHECK(std::all_of(copies.begin(), copies.end(),
                        [](const auto& entry) { return entry.second == 1; }));
      INFO(hosts);
      CHECK(groups.size() <= 65);
      for (const BroadcastGroup& group : groups) {
        CHECK(group.members.size() <= 18);
      }
    }
  }
}

TEST_CASE("the hosts of a group are in one zone") {
  const PeerDirectory directory = DirectoryOf(295);
  std::map<Address, std::string> zones;
  for (const auto& [name, peer] : directory.peers()) {
    zones[peer.address] = peer.zone;
  }
  for (const BroadcastGroup& group : directory.PlanBroadcast(kNow, 3)) {
    for (const Address& member : group.members) {
      CHECK(zones.at(member) == zones.at(group.relay));
    }
  }
}

TEST_CASE("a silent host does not relay, and relays change with the round") {
  PeerDirectory directory = DirectoryOf(295);
  const Instant later = kNow + seconds(2);
  std::set<Address> heard;
  for (int host = 1; host < 295; host += 2) {
    directory.RecordHeard(later, NameOf(host), AddressOf(host));
    heard.insert(AddressOf(host));
  }
  std::map<Address, int> used;
  for (std::uint64_t round = 0; round < 60; ++round) {
    for (const BroadcastGroup& group : directory.PlanBroadcast(later, round)) {
      if (!group.members.empty()) {
        CHECK(heard.contains(group.relay));
        ++used[group.relay];
      }
    }
  }
  for (const auto& [relay, rounds] : used) {
    CHECK(rounds < 40);
  }
}

TEST_CASE("hosts have different ranks, the strongest hosts the lowest ones") {
  constexpr int kHosts = 82;
  std::set<std::size_t> ranks;
  for (int own = 0; own < kHosts; ++own) {
    const double strength = own % 4 == 0 ? 0.5 : 0.1;
    PeerDirectory directory(NameOf(own), strength);
    for (int host = 0; host < kHosts; ++host) {
      directory.RecordRegistered(
          NameOf(host),
          {AddressOf(host), "z", host % 4 == 0 ? 0.5 : 0.1, kNow});
    }
    ranks.insert(directory.Rank());
    CHECK((directory.Rank() < 21) == (strength == 0.5));
  }
  CHECK(ranks.size() == kHosts);
}

TEST_CASE("a sample has distinct hosts") {
  const PeerDirectory directory = DirectoryOf(295);
  std::mt19937_64 random(5);
  const auto sample = directory.Sample(24, [&random] {
    return std::uniform_real_distribution<double>(0, 1)(random);
  });
  CHECK(std::set<Address>(sample.begin(), sample.end()).size() == 24);
  CHECK(DirectoryOf(5).Sample(24, [] { return 0.0; }).size() == 4);
}

// The pattern: hosts are replaced under new names for weeks.
TEST_CASE("the directory of a leader is bounded by the hosts that live") {
  PeerDirectory directory(NameOf(0), 0.2);
  Instant now = kNow;
  for (int host = 1; host <= 10000; ++host) {
    now += seconds(1);
    directory.RecordHeard(now, NameOf(host), AddressOf(host));
    directory.Prune(now, true, 60);
  }
  CHECK(directory.peers().size() <= 61);
}

TEST_CASE("a follower keeps silent hosts unless it knows far too many") {
  PeerDirectory directory = DirectoryOf(100);
  directory.Prune(kNow + seconds(300), false, 100);
  CHECK(directory.peers().size() == 99);
  for (int host = 100; host < 10000; ++host) {
    directory.RecordHeard(kNow, NameOf(host), AddressOf(host));
  }
  directory.Prune(kNow + seconds(300), false, 100);
  CHECK(directory.peers().size() <= 232);
}

TEST_CASE("a leader hands over only to a far stronger host in contact") {
  PeerDirectory directory("a", 0.1);
  directory.RecordRegistered("b", {AddressOf(1), "z", 0.15, kNow});
  CHECK_FALSE(directory.HasMuchStronger(kNow));
  directory.RecordRegistered("c", {AddressOf(2), "z", 0.5, kNow});
  CHECK(directory.HasMuchStronger(kNow));
  CHECK_FALSE(directory.HasMuchStronger(kNow + seconds(5)));
}

}  // namespace mustardflow::tests
