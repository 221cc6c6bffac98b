// A simulation of backend servers, a store, hosts and leaders. Its oracle
// checks that each key has at most one holder, that its last holder's work has
// ended before another gets it, and that the fences of its holders rise.

#ifndef MUSTARDFLOW_TESTS_KEYS_KEYSPACE_SIMULATION_H_
#define MUSTARDFLOW_TESTS_KEYS_KEYSPACE_SIMULATION_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "coordination/keyspace_coordinator.h"
#include "coordination/lead_proof.h"

namespace mustardflow::tests {

// The faults of the network and the servers, each as the percentage of orders
// that it affects.
struct OrderFaults {
  // The connection is refused: the order does not arrive, and the leader knows
  // it.
  int refused = 0;
  // The order does not arrive, and the leader does not know it.
  int lost = 0;
  // The order is carried out, but its answer is lost.
  int answer_lost = 0;
  // A grant gets no answer and is carried out seconds later. Its lease counts
  // from its arrival.
  int late = 0;
};

// Runs coordinators against simulated servers and a simulated store.
class KeyspaceSimulation {
 public:
  static constexpr int kServers = 4;
  // The number of keys that the oracle checks.
  static constexpr int kWatchedKeys = 24;
  // The number of hosts. The leader of each term runs on the next of them.
  static constexpr std::size_t kHosts = 7;

  explicit KeyspaceSimulation(std::uint64_t seed);

  void Advance(state::Duration time);
  void SetFaults(const OrderFaults& faults) { faults_ = faults; }

  // Stops the server, which loses its leases and fences. Restart() starts it
  // again under the same id.
  void Kill(int server);
  void Restart(int server);
  // Sets whether the server is in the list that leaders get, and whether it is
  // marked there as leaving.
  void SetListed(int server, bool listed);
  void SetDraining(int server, bool draining);
  void SetCapacity(int server, double capacity);
  // Disconnects the newest leader from the server, or connects it again.
  void DisconnectNewestLeader(int server, bool disconnected);
  // A turn of the newest leader's loop takes this long: its timers run, but
  // what it writes leaves only at the end. It may read a message before or
  // after the end.
  void StallNewestLeader(state::Duration time);
  // The same for all leaders that have been succeeded and still grant.
  void StallFormerLeaders(state::Duration time);
  // Sets whether the hosts receive the heartbeats of the newest leader.
  void SetNewestLeaderHeard(bool heard) { leaders_.back().heard = heard; }
  // Sets the percentage of heartbeats and reports that are lost.
  void SetMessageLoss(int percent) { message_loss_ = percent; }
  // Sets whether the store confirms writes.
  void SetStoreUp(bool up) { store_up_ = up; }
  // A new leader takes over with the ranges in the store. Former leaders
  // continue as long as they have a proof, or stop at once if `stop_former`.
  // First waits until the present turn of the newest leader ends within
  // kMaxTurnTime.
  void TakeOver(bool stop_former);
  // Adds `requests`, spread over 50 keys: each seventh key from `key` on.
  void AddLoad(state::ShardKey key, double requests);
  // Adds `requests` for one key.
  void AddKeyLoad(state::ShardKey key, double requests);

  // The first violation that the oracle found; empty if none.
  const std::string& violation() const { return violation_; }
  // The number of watched keys that have a holder now.
  int held() const;
  // The server that holds the nearest watched key at or below `key`; -1 for
  // none.
  int HolderOf(state::ShardKey key) const;
  const coordination::KeyspaceCoordinator& leader() const {
    return *leaders_.back().coordinator;
  }
  state::Instant now() const { return now_; }

 private:
  // A simulated backend server.
  struct Server {
    bool up = true;
    bool listed = true;
    bool draining = false;
    double capacity = 6;
    // Counts the stops of the server. A connection ends when this count
    // changes.
    std::int64_t epoch = 1;
    std::int64_t start_time_ms = 1;
    // By watched key: the highest fence accepted, and the end of the lease.
    std::array<std::int64_t, kWatchedKeys> fence_seen{};
    std::array<state::Instant, kWatchedKeys> lease_end{};
    // The same as if the key had not been released.
    std::array<state::Instant, kWatchedKeys> full_lease_end{};
    // By watched key: when the requests that the server runs end.
    std::array<state::Instant, kWatchedKeys> work_end{};
  };
  // A leader, present or former.
  struct Leader {
    std::unique_ptr<coordination::KeyspaceCoordinator> coordinator;
    coordination::LeadershipProof proof;
    std::int64_t term = 0;
    bool stopped = false;
    bool heard = true;
    std::array<bool, kServers> disconnected{};
    // By server: the epoch of the server to which the leader's connection was
    // opened; 0 for no connection.
    std::array<std::int64_t, kServers> connected_epoch{};
    bool writing = false;
    state::Instant next_renewal{};
    state::Instant next_heartbeat{};
    // When the leader reads the list of servers next.
    state::Instant next_list{};
    // What the leader writes before this moment leaves at this moment.
    state::Instant stalled_until{};
  };

  // A host follows the highest term that it has heard of, unless it leads.
  struct Host {
    // The index of the leader.
    std::size_t leader = 0;
    // The number of the last heartbeat received.
    std::int64_t heartbeat = 0;
    state::Instant next_report{};
  };

  void Step();
  void RunLeader(std::size_t index);
  void WriteRecord(std::size_t index);
  void RenewTerm(std::size_t index);
  void SendHeartbeat(std::size_t index);
  void SendReport(std::size_t host);
  // Whether the host runs a leader that has not stopped.
  bool Leads(std::size_t host) const;
  // Delivers a message to the leader, within its turn or at the turn's end.
  void Receive(std::size_t leader, std::function<void()> message);
  void SendOrder(std::size_t leader, const coordination::KeyOrder& order);
  // Carries out an order that reached the incarnation `start_time_ms` of the
  // server. Returns whether the server accepts the order.
  bool Apply(const coordination::KeyOrder& order,
             state::Instant arrived,
             std::int64_t start_time_ms);
  void UpdateServerList(Leader* leader);
  // Begins a request on one key at one server, if that holds the key.
  void BeginWork();
  // When the server's requests on the keys of the order end; now if it has
  // none.
  state::Instant WorkEnd(const coordination::KeyOrder& order) const;
  void CheckWork(int key, const Server& receiver);
  void CheckOracle();
  void Schedule(state::Instant when, std::function<void()> event);
  state::Duration RandomDelay(int min_ms, int max_ms);
  bool Chance(int percent);
  static state::ShardKey KeyAt(int index);
  static std::string NameOf(int server);

  std::mt19937_64 random_;
  state::Instant now_;
  std::array<Server, kServers> servers_;
  std::vector<Leader> leaders_;
  std::array<Host, kHosts> hosts_;
  int message_loss_ = 0;
  state::ServiceRanges stored_;
  bool store_up_ = true;
  OrderFaults faults_;
  std::multimap<state::Instant, std::function<void()>> events_;
  std::string violation_;
  // By watched key: the highest fence that any server accepted for it, and the
  // incarnation of that server.
  std::array<std::int64_t, kWatchedKeys> highest_fence_{};
  std::array<state::ServerIncarnation, kWatchedKeys> highest_holder_;
};

}  // namespace mustardflow::tests

#endif  // MUSTARDFLOW_TESTS_KEYS_KEYSPACE_SIMULATION_H_
