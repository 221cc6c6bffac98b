// Which entry hosts there are, and which of them should coordinate a service.

#ifndef MUSTARDFLOW_COORDINATION_HOST_DIRECTORY_H_
#define MUSTARDFLOW_COORDINATION_HOST_DIRECTORY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "state/host_entry.h"
#include "state/time.h"

namespace mustardflow::coordination {

struct DirectoryTiming {
  // The time between two heartbeats to the same host.
  state::Duration heartbeat_period = std::chrono::milliseconds(100);
  // A host that has not been heard for this long counts as dead.
  state::Duration host_timeout = std::chrono::milliseconds(300);
  // A host that has just started listens for this long before it campaigns, so
  // that it does not depose a coordinator whom it has not heard yet.
  state::Duration initial_listen_time = std::chrono::milliseconds(600);
  // How much longer each host waits than the host ranked before it until it
  // campaigns.
  state::Duration campaign_stagger = std::chrono::milliseconds(150);
  // A dead host that the host list no longer names is forgotten after this.
  state::Duration unlisted_host_retention = std::chrono::seconds(60);
};

// Knows hosts from the platform's host list, which lags, and from heartbeats,
// which decide who is alive. Every host ranks the live hosts for each service
// in the same way and the first in rank campaigns when no coordinator is heard.
// A wrong choice costs time, never a promise.
class HostDirectory {
 public:
  HostDirectory(state::Instant started,
                state::HostEntry self,
                const DirectoryTiming& timing);

  // Learns control addresses of hosts to ask before the host list answers.
  void AddSeeds(const std::vector<state::Address>& seeds);

  // Replaces what the host list says.
  void SetHostList(state::Instant now,
                   const std::vector<state::HostEntry>& hosts);

  // Learns of a heartbeat, its sender's claims and the hosts that it hears.
  void RecordHeartbeat(state::Instant now, const state::Heartbeat& heartbeat);

  // Notes whether this host coordinates the service itself.
  void SetOwnClaim(const state::CoordinatorClaim& claim);
  void DropOwnClaim(const std::string& service);

  void set_leaving(bool leaving) { self_.leaving = leaving; }

  // Where to send heartbeats: every known host but this one.
  std::vector<state::Address> HeartbeatTargets(state::Instant now);

  // The heartbeat that this host sends.
  state::Heartbeat MakeHeartbeat(state::Instant now,
                                 state::LogOffset position) const;

  // This host and the hosts heard lately, by name.
  std::vector<state::HostEntry> LiveHosts(state::Instant now) const;
  std::optional<state::HostEntry> FindLive(state::Instant now,
                                           const std::string& name) const;

  // The host that coordinates the service, as far as it is known.
  std::optional<std::string> CoordinatorOf(state::Instant now,
                                           const std::string& service) const;

  // Whether a live host has read the log further than `position`. A host that
  // is behind must not campaign: its set of witnesses may be outdated.
  bool IsBehind(state::Instant now, state::LogOffset position) const;

  // Whether this host should campaign for the service now.
  bool ShouldCampaign(state::Instant now, const std::string& service);

  // Whether this host is the first in rank among the live hosts for `task`.
  bool RanksFirst(state::Instant now, const std::string& task) const;

 private:
  struct Peer {
    state::HostEntry entry;
    std::optional<state::Instant> last_heard;
    bool listed = false;
    state::LogOffset position = 0;
    std::vector<state::CoordinatorClaim> claims;
  };

  bool IsLive(const Peer& peer, state::Instant now) const;
  std::size_t RankOfSelf(state::Instant now, const std::string& task) const;
  void ForgetOld(state::Instant now);

  const state::Instant started_;
  state::HostEntry self_;
  const DirectoryTiming& timing_;
  // By name. Invariant: does not contain this host.
  std::map<std::string, Peer> peers_;
  // Control addresses that other hosts hear and this one does not know yet.
  std::set<state::Address> rumoured_;
  std::map<std::string, state::CoordinatorClaim> own_claims_;
  // Since when no coordinator of the service has been heard.
  std::map<std::string, state::Instant> leaderless_since_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_HOST_DIRECTORY_H_
