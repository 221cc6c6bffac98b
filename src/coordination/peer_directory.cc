// Ranks of hosts, samples, and groups for broadcasts.

#include "coordination/peer_directory.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace mustardflow::coordination {

using state::Address;
using state::Duration;
using state::Instant;

namespace {

// A host that has not been heard for this long is not counted.
constexpr Duration kPeerExpiry = std::chrono::seconds(60);
// Hosts report to the leader each 0.4 s. A host that has missed two reports is
// not used as a relay.
constexpr Duration kResponsiveTime = std::chrono::seconds(1);
// A leader hands over to a host with at least this multiple of its strength.
constexpr double kMuchStrongerFactor = 2;
// Limits the size of a message that names the members of a group.
constexpr std::size_t kMaxGroupMembers = 18;
// A follower keeps this many more hosts than twice the number that the leader
// counts.
constexpr std::size_t kSpareFollowerPeers = 32;

// Orders hosts of equal strength in the same way at all hosts, but unlike their
// names, which may follow the zones.
std::uint64_t Tiebreaker(const std::string& name) {
  return XXH3_64bits(name.data(), name.size());
}

// The known peers of one zone, and the strength that a relay should have.
struct ZonePeers {
  std::vector<const Peer*> peers;
  double min_relay_strength = 0;
};

bool IsResponsive(Instant now, const Peer& peer) {
  return now - peer.last_heard <= kResponsiveTime;
}

// The lower median of the strengths of the responsive peers.
double MedianStrength(Instant now, const std::vector<const Peer*>& peers) {
  std::vector<double> strengths;
  for (const Peer* peer : peers) {
    if (IsResponsive(now, *peer)) {
      strengths.push_back(peer->strength);
    }
  }
  if (strengths.empty()) {
    return 0;
  }
  const auto middle =
      strengths.begin() + static_cast<std::ptrdiff_t>(strengths.size() - 1) / 2;
  std::nth_element(strengths.begin(), middle, strengths.end());
  return *middle;
}

// Appends one group of the peers from `begin` to `end`. Without a usable relay,
// each peer gets the message directly.
void AppendGroup(Instant now,
                 const ZonePeers& zone,
                 std::size_t begin,
                 std::size_t end,
                 std::vector<BroadcastGroup>* groups) {
  const Peer* relay = nullptr;
  for (std::size_t i = begin; i < end && relay == nullptr; ++i) {
    const Peer* peer = zone.peers[i];
    if (IsResponsive(now, *peer) && peer->strength >= zone.min_relay_strength) {
      relay = peer;
    }
  }
  if (relay == nullptr) {
    for (std::size_t i = begin; i < end; ++i) {
      groups->push_back({zone.peers[i]->address, {}});
    }
    return;
  }
  BroadcastGroup group;
  group.relay = relay->address;
  for (std::size_t i = begin; i < end; ++i) {
    if (zone.peers[i] != relay) {
      group.members.push_back(zone.peers[i]->address);
    }
  }
  groups->push_back(std::move(group));
}

}  // namespace

PeerDirectory::PeerDirectory(std::string own_name, double strength)
    : own_name_(std::move(own_name)), own_strength_(strength) {}

void PeerDirectory::RecordRegistered(const std::string& name,
                                     const Peer& peer) {
  if (name != own_name_) {
    peers_.try_emplace(name, peer);
  }
}

void PeerDirectory::RecordHeard(Instant now,
                                const std::string& name,
                                const Address& address) {
  if (name != own_name_) {
    Peer& peer = peers_[name];
    peer.address = address;
    peer.last_heard = now;
  }
}

void PeerDirectory::RecordProperties(const std::string& name,
                                     const std::string& zone,
                                     double strength) {
  const auto found = peers_.find(name);
  if (found == peers_.end()) {
    return;
  }
  found->second.strength = strength;
  if (!zone.empty()) {
    found->second.zone = zone;
  }
}

std::size_t PeerDirectory::CountHosts(Instant now) const {
  return 1 + static_cast<std::size_t>(std::count_if(
                 peers_.begin(), peers_.end(), [now](const auto& entry) {
                   return now - entry.second.last_heard < kPeerExpiry;
                 }));
}

std::size_t PeerDirectory::Rank() const {
  const auto own = std::pair(own_strength_, Tiebreaker(own_name_));
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&own](const auto& entry) {
        return std::pair(entry.second.strength, Tiebreaker(entry.first)) > own;
      }));
}

bool PeerDirectory::IsMuchStronger(const Peer& peer) const {
  return peer.strength >= kMuchStrongerFactor * own_strength_;
}

bool PeerDirectory::KnowsMuchStronger() const {
  return std::any_of(peers_.begin(), peers_.end(), [this](const auto& entry) {
    return IsMuchStronger(entry.second);
  });
}

bool PeerDirectory::HasMuchStronger(Instant now) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return IsResponsive(now, entry.second) && IsMuchStronger(entry.second);
  });
}

std::vector<Address> PeerDirectory::Sample(
    std::size_t count,
    const std::function<double()>& random) const {
  std::vector<Address> addresses;
  for (const auto& [name, peer] : peers_) {
    addresses.push_back(peer.address);
  }
  count = std::min(count, addresses.size());
  for (std::size_t i = 0; i < count; ++i) {
    const auto offset = static_cast<std::size_t>(
        random() * static_cast<double>(addresses.size() - i));
    std::swap(addresses[i], addresses[i + offset]);
  }
  addresses.resize(count);
  return addresses;
}

std::vector<BroadcastGroup> PeerDirectory::PlanBroadcast(
    Instant now,
    std::uint64_t round) const {
  std::vector<BroadcastGroup> groups;
  if (peers_.size() <= kMaxDirectReceivers) {
    for (const auto& [name, peer] : peers_) {
      groups.push_back({peer.address, {}});
    }
    return groups;
  }
  const auto size = std::min(
      kMaxGroupMembers, static_cast<std::size_t>(std::ceil(
                            std::sqrt(static_cast<double>(peers_.size())))));
  std::map<std::string, ZonePeers> zones;
  for (const auto& [name, peer] : peers_) {
    zones[peer.zone].peers.push_back(&peer);
  }
  for (auto& [name, zone] : zones) {
    zone.min_relay_strength = MedianStrength(now, zone.peers);
    std::rotate(zone.peers.begin(),
                zone.peers.begin() +
                    static_cast<std::ptrdiff_t>(round % zone.peers.size()),
                zone.peers.end());
    for (std::size_t begin = 0; begin < zone.peers.size(); begin += size) {
      AppendGroup(now, zone, begin, std::min(begin + size, zone.peers.size()),
                  &groups);
    }
  }
  return groups;
}

void PeerDirectory::Prune(Instant now, bool leading, std::size_t hosts) {
  const std::size_t kept = 2 * hosts + kSpareFollowerPeers;
  if (!leading && peers_.size() <= kept) {
    return;
  }
  std::vector<std::pair<Instant, std::string>> silent;
  for (const auto& [name, peer] : peers_) {
    if (now - peer.last_heard >= kPeerExpiry) {
      silent.emplace_back(peer.last_heard, name);
    }
  }
  std::sort(silent.begin(), silent.end());
  for (const auto& [heard, name] : silent) {
    if (!leading && peers_.size() <= kept) {
      break;
    }
    peers_.erase(name);
  }
}

}  // namespace mustardflow::coordination
