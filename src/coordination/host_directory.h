// The known entry hosts, which of them are alive, and which of them should
// coordinate a service.

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

// Periods and timeouts of the host directory.
struct DirectoryTiming {
  // The time between two heartbeats to the same host.
  state::Duration heartbeat_period = std::chrono::milliseconds(100);
  // A host counts as dead if no heartbeat has arrived from it for this long.
  state::Duration host_timeout = std::chrono::milliseconds(300);
  // A host that has just started does not campaign for this long, so that it
  // does not replace a coordinator whose heartbeats have not arrived yet.
  state::Duration initial_listen_time = std::chrono::milliseconds(600);
  // Each host waits this much longer before it campaigns than the host ranked
  // before it.
  state::Duration campaign_stagger = std::chrono::milliseconds(150);
  // A dead host that the host list no longer contains is removed this long
  // after its last heartbeat.
  state::Duration unlisted_host_retention = std::chrono::seconds(60);
};

// Keeps the hosts from the platform's host list, which may be outdated, and
// from heartbeats, which alone decide whether a host is alive. All hosts rank
// the live hosts for a service in the same way; if no live host claims to
// coordinate the service, the host ranked first campaigns. Hosts that are
// leaving rank last. Hosts that disagree on which hosts are live may campaign
// late or at the same time; this delays the election but cannot give a key two
// owners.
class HostDirectory {
 public:
  HostDirectory(state::Instant started,
                state::HostEntry self,
                const DirectoryTiming& timing);

  // Adds control addresses to which heartbeats are sent before the host list
  // has been read.
  void AddSeeds(const std::vector<state::Address>& seeds);

  // Replaces the hosts of the platform's host list.
  void SetHostList(state::Instant now,
                   const std::vector<state::HostEntry>& hosts);

  // Records a heartbeat from another host: that the sender is alive, how far it
  // has read the log, its claims, and the addresses of the hosts from which it
  // receives heartbeats. Ignores a heartbeat of this host.
  void RecordHeartbeat(state::Instant now, const state::Heartbeat& heartbeat);

  // Records that this host coordinates the claim's service, or that it no
  // longer coordinates `service`.
  void SetOwnClaim(const state::CoordinatorClaim& claim);
  void DropOwnClaim(const std::string& service);

  void set_leaving(bool leaving) { self_.leaving = leaving; }

  // The control addresses to send heartbeats to: every known host but this one.
  std::vector<state::Address> HeartbeatTargets(state::Instant now);

  // The heartbeat that this host sends. `position` is how far it has read the
  // log.
  state::Heartbeat MakeHeartbeat(state::Instant now,
                                 state::LogOffset position) const;

  // This host and the other live hosts, sorted by name.
  std::vector<state::HostEntry> LiveHosts(state::Instant now) const;
  std::optional<state::HostEntry> FindLive(state::Instant now,
                                           const std::string& name) const;

  // The live host that claims the service under the highest term, if any.
  std::optional<std::string> CoordinatorOf(state::Instant now,
                                           const std::string& service) const;

  // Whether a live host has read the log further than `position`, which is how
  // far this host has read. A host that is behind must not campaign: its set of
  // witnesses may be outdated.
  bool IsBehind(state::Instant now, state::LogOffset position) const;

  // Whether this host should campaign for the service now. If so, its next
  // campaign is due only after another wait that depends on its rank.
  bool ShouldCampaign(state::Instant now, const std::string& service);

  // Whether this host ranks first among the live hosts for `task`, which is any
  // text that all hosts use alike.
  bool RanksFirst(state::Instant now, const std::string& task) const;

 private:
  // Another entry host.
  struct Peer {
    state::HostEntry entry;
    // When the latest heartbeat arrived; empty if none has.
    std::optional<state::Instant> last_heard;
    // Whether the platform's host list contains the host.
    bool listed = false;
    // How far the host has read the log.
    state::LogOffset position = 0;
    std::vector<state::CoordinatorClaim> claims;
  };

  bool IsLive(const Peer& peer, state::Instant now) const;
  std::size_t RankOfSelf(state::Instant now, const std::string& task) const;
  void RemoveStalePeers(state::Instant now);

  const state::Instant started_;
  state::HostEntry self_;
  const DirectoryTiming& timing_;
  // By name. Invariant: does not contain this host.
  std::map<std::string, Peer> peers_;
  // Control addresses, from the seeds or from heartbeats of other hosts, whose
  // host is not among peers_ yet.
  std::set<state::Address> candidate_addresses_;
  // By service.
  std::map<std::string, state::CoordinatorClaim> own_claims_;
  // By service: when this host last began to wait for its turn to campaign. The
  // wait begins when no coordinator is known, and again campaign_stagger after
  // a campaign of this host.
  std::map<std::string, state::Instant> leaderless_since_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_HOST_DIRECTORY_H_
