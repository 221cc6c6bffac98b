// Decides liveness by heartbeats and ranks hosts by rendezvous hashing.

#include "coordination/host_directory.h"

#include <algorithm>
#include <utility>

#include "state/key_range.h"

namespace mustardflow::coordination {

using state::Address;
using state::HostEntry;
using state::Instant;

HostDirectory::HostDirectory(Instant started,
                             HostEntry self,
                             const DirectoryTiming& timing)
    : started_(started), self_(std::move(self)), timing_(timing) {}

void HostDirectory::AddSeeds(const std::vector<Address>& seeds) {
  candidate_addresses_.insert(seeds.begin(), seeds.end());
  candidate_addresses_.erase(self_.control);
}

void HostDirectory::SetHostList(Instant now,
                                const std::vector<HostEntry>& hosts) {
  for (auto& [name, peer] : peers_) {
    peer.listed = false;
  }
  for (const HostEntry& host : hosts) {
    if (host.name == self_.name) {
      continue;
    }
    Peer& peer = peers_[host.name];
    peer.listed = true;
    // The heartbeats of a live host are more recent than the host list.
    if (!IsLive(peer, now)) {
      peer.entry = host;
    }
  }
  RemoveStalePeers(now);
}

void HostDirectory::RecordHeartbeat(Instant now,
                                    const state::Heartbeat& heartbeat) {
  if (heartbeat.host.name == self_.name) {
    return;
  }
  Peer& peer = peers_[heartbeat.host.name];
  peer.entry = heartbeat.host;
  peer.last_heard = now;
  peer.position = heartbeat.position;
  peer.claims = heartbeat.claims;
  candidate_addresses_.erase(heartbeat.host.control);
  for (const Address& address : heartbeat.heard) {
    const bool known =
        address == self_.control ||
        std::any_of(peers_.begin(), peers_.end(), [&](const auto& each) {
          return each.second.entry.control == address;
        });
    if (!known) {
      candidate_addresses_.insert(address);
    }
  }
}

void HostDirectory::SetOwnClaim(const state::CoordinatorClaim& claim) {
  own_claims_[claim.service] = claim;
}

void HostDirectory::DropOwnClaim(const std::string& service) {
  own_claims_.erase(service);
}

std::vector<Address> HostDirectory::HeartbeatTargets(Instant now) {
  RemoveStalePeers(now);
  std::vector<Address> targets(candidate_addresses_.begin(),
                               candidate_addresses_.end());
  // Each candidate gets one heartbeat. A live host becomes a peer when its own
  // heartbeat arrives; until then other hosts report its address again.
  candidate_addresses_.clear();
  for (const auto& [name, peer] : peers_) {
    targets.push_back(peer.entry.control);
  }
  return targets;
}

state::Heartbeat HostDirectory::MakeHeartbeat(Instant now,
                                              state::LogOffset position) const {
  state::Heartbeat heartbeat;
  heartbeat.host = self_;
  heartbeat.position = position;
  for (const auto& [service, claim] : own_claims_) {
    heartbeat.claims.push_back(claim);
  }
  for (const auto& [name, peer] : peers_) {
    if (IsLive(peer, now)) {
      heartbeat.heard.push_back(peer.entry.control);
    }
  }
  return heartbeat;
}

std::vector<HostEntry> HostDirectory::LiveHosts(Instant now) const {
  std::vector<HostEntry> live = {self_};
  for (const auto& [name, peer] : peers_) {
    if (IsLive(peer, now)) {
      live.push_back(peer.entry);
    }
  }
  std::sort(live.begin(), live.end(),
            [](const HostEntry& left, const HostEntry& right) {
              return left.name < right.name;
            });
  return live;
}

std::optional<HostEntry> HostDirectory::FindLive(
    Instant now,
    const std::string& name) const {
  if (name == self_.name) {
    return self_;
  }
  const auto found = peers_.find(name);
  if (found == peers_.end() || !IsLive(found->second, now)) {
    return std::nullopt;
  }
  return found->second.entry;
}

std::optional<std::string> HostDirectory::CoordinatorOf(
    Instant now,
    const std::string& service) const {
  std::optional<std::string> coordinator;
  state::Term highest;
  const auto own = own_claims_.find(service);
  if (own != own_claims_.end()) {
    coordinator = self_.name;
    highest = own->second.term;
  }
  for (const auto& [name, peer] : peers_) {
    if (!IsLive(peer, now)) {
      continue;
    }
    for (const state::CoordinatorClaim& claim : peer.claims) {
      if (claim.service == service && claim.term > highest) {
        coordinator = name;
        highest = claim.term;
      }
    }
  }
  return coordinator;
}

bool HostDirectory::IsBehind(Instant now, state::LogOffset position) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& each) {
    return IsLive(each.second, now) && each.second.position > position;
  });
}

bool HostDirectory::ShouldCampaign(Instant now, const std::string& service) {
  const bool recently_started = now - started_ < timing_.initial_listen_time;
  if (recently_started || CoordinatorOf(now, service)) {
    leaderless_since_.erase(service);
    return false;
  }
  const Instant since =
      leaderless_since_.try_emplace(service, now).first->second;
  const auto rank = static_cast<std::int64_t>(RankOfSelf(now, service));
  if (now - since < rank * timing_.campaign_stagger) {
    return false;
  }
  // The next campaign of this host waits for campaign_stagger, and then again
  // for the time that depends on the rank.
  leaderless_since_[service] = now + timing_.campaign_stagger;
  return true;
}

bool HostDirectory::RanksFirst(Instant now, const std::string& task) const {
  return RankOfSelf(now, task) == 0;
}

bool HostDirectory::IsLive(const Peer& peer, Instant now) const {
  return peer.last_heard && now - *peer.last_heard <= timing_.host_timeout;
}

std::size_t HostDirectory::RankOfSelf(Instant now,
                                      const std::string& task) const {
  const auto weight = [&](const HostEntry& host) {
    return std::pair(!host.leaving, state::HashKey(host.name + "/" + task));
  };
  const auto own = weight(self_);
  std::size_t rank = 0;
  for (const HostEntry& host : LiveHosts(now)) {
    rank += weight(host) > own ? 1 : 0;
  }
  return rank;
}

void HostDirectory::RemoveStalePeers(Instant now) {
  std::erase_if(peers_, [&](const auto& each) {
    const Peer& peer = each.second;
    const bool expired =
        !peer.last_heard ||
        now - *peer.last_heard > timing_.unlisted_host_retention;
    return !peer.listed && expired;
  });
}

}  // namespace mustardflow::coordination
