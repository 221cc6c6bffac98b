// The other entry hosts that this host knows, and how messages reach them.

#ifndef MUSTARDFLOW_COORDINATION_PEER_DIRECTORY_H_
#define MUSTARDFLOW_COORDINATION_PEER_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "state/document.h"
#include "state/time.h"

namespace mustardflow::coordination {

// Another host that is registered in the store or has sent a message.
struct Peer {
  state::Address address;
  std::string zone;
  // The host's capacity as a leader (state::LeaderCapacity); 0 if not known.
  double strength = 0;
  // When the last message arrived, or when the registration was read.
  state::Instant last_heard{};
};

// Some of the receivers of a broadcast: the sender sends the message to
// `relay`, which passes it on to `members`.
struct BroadcastGroup {
  state::Address relay;
  std::vector<state::Address> members;
};

// Up to this many hosts get the messages of the leader directly.
inline constexpr std::size_t kMaxDirectReceivers = 32;

// Counts and ranks the hosts, and plans broadcasts so that their cost at any
// host grows with the square root of the number of hosts.
class PeerDirectory {
 public:
  // `strength` is the capacity of this host as a leader.
  PeerDirectory(std::string own_name, double strength);

  // The host is registered in the store. Does not change a known host.
  void RecordRegistered(const std::string& name, const Peer& peer);
  // A message of the host has arrived.
  void RecordHeard(state::Instant now,
                   const std::string& name,
                   const state::Address& address);
  // A message has stated properties of the host. An empty zone is ignored.
  void RecordProperties(const std::string& name,
                        const std::string& zone,
                        double strength);

  // The number of hosts, this one included, that were heard recently. The time
  // is long because a host that has lost contact with the others goes on using
  // its share of the limits.
  std::size_t CountHosts(state::Instant now) const;
  // The number of known hosts that lead in preference to this host.
  std::size_t Rank() const;
  // Whether any known host has at least twice the strength of this host, or any
  // that has been heard within the last second.
  bool KnowsMuchStronger() const;
  bool HasMuchStronger(state::Instant now) const;

  // Returns up to `count` hosts, drawn at random. `random` returns uniformly
  // distributed numbers in [0, 1).
  std::vector<state::Address> Sample(
      std::size_t count,
      const std::function<double()>& random) const;

  // Plans a broadcast to all hosts. A group has members of one zone, so that a
  // message passes between two zones once for each group. The plan changes with
  // `round`, so that the loss of a relay costs its group one round only. A
  // relay is a host that has been heard within the last second.
  std::vector<BroadcastGroup> PlanBroadcast(state::Instant now,
                                            std::uint64_t round) const;

  // Forgets hosts that have not been heard for a while. A host that does not
  // lead hears few of the others, so it forgets hosts, the longest silent ones
  // first, only if it knows far more than the `hosts` that the leader counts.
  void Prune(state::Instant now, bool leading, std::size_t hosts);

  const std::map<std::string, Peer>& peers() const { return peers_; }

 private:
  bool IsMuchStronger(const Peer& peer) const;

  const std::string own_name_;
  const double own_strength_;
  // By name; without this host.
  std::map<std::string, Peer> peers_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_PEER_DIRECTORY_H_
