// Backend servers, a store and leaders in one small simulation, with an oracle:
// each key has at most one holder, and the fences of its holders rise.

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

namespace mustardflow::tests {

// How the network and the servers treat orders at present, in percent.
struct OrderFaults {
  // No connection: nothing arrives, and the leader knows.
  int refused = 0;
  // Nothing arrives, and the leader does not know.
  int lost = 0;
  // Carried out, but the answer is lost.
  int answer_lost = 0;
  // No answer; carried out seconds later, its time counting from the arrival.
  int late = 0;
};

class KeyspaceSimulation {
 public:
  static constexpr int kServers = 4;
  // Keys that the oracle watches.
  static constexpr int kWatchedKeys = 24;

  explicit KeyspaceSimulation(std::uint64_t seed);

  void Advance(state::Duration time);
  void SetFaults(const OrderFaults& faults) { faults_ = faults; }

  // The server loses what it holds; it is back under its id with Restart().
  void Kill(int server);
  void Restart(int server);
  // Whether the server's entry lists it, and says that it stays.
  void SetListed(int server, bool listed);
  void SetDraining(int server, bool draining);
  void SetCapacity(int server, double capacity);
  // Cuts the newest leader, or all before it, from the server.
  void DisconnectNewestLeader(int server, bool disconnected);
  // The store confirms writes or not.
  void SetStoreUp(bool up) { store_up_ = up; }
  // A new leader takes over with what the store holds. The former ones go on
  // until their proof of leading has run out, unless `stop_former`.
  void TakeOver(bool stop_former);
  // Much load on the keys near `key`.
  void AddLoad(state::ShardKey key, double requests);
  // Load on one key.
  void AddKeyLoad(state::ShardKey key, double requests);

  // What went wrong first; empty if nothing did.
  const std::string& violation() const { return violation_; }
  // How many watched keys have a holder now.
  int held() const;
  // The server that holds the key; -1 for none.
  int HolderOf(state::ShardKey key) const;
  const coordination::KeyspaceCoordinator& leader() const {
    return *leaders_.back().coordinator;
  }
  state::Instant now() const { return now_; }

 private:
  struct Server {
    bool up = true;
    bool listed = true;
    bool draining = false;
    double capacity = 6;
    // Counts starts and ends; a connection does not outlive one.
    std::int64_t epoch = 1;
    std::int64_t born = 1;
    std::array<std::int64_t, kWatchedKeys> fence_seen{};
    std::array<state::Instant, kWatchedKeys> lease_end{};
  };
  struct Leader {
    std::unique_ptr<coordination::KeyspaceCoordinator> coordinator;
    std::int64_t term = 0;
    // The leader acts until then, if it has been succeeded.
    std::optional<state::Instant> active_until;
    std::array<bool, kServers> disconnected{};
    // The start of each server to which the leader has a connection.
    std::array<std::int64_t, kServers> connected_epoch{};
    bool writing = false;
    state::Instant next_renewal{};
  };

  void Step();
  void RunLeader(std::size_t index);
  void SendOrder(std::size_t leader, const coordination::KeyOrder& order);
  // Carries an order out that reached the server in the life `born`; returns
  // whether it is accepted.
  bool Apply(const coordination::KeyOrder& order,
             state::Instant arrived,
             std::int64_t born);
  void UpdateServerList(Leader* leader);
  void CheckOracle();
  void Schedule(state::Instant when, std::function<void()> event);
  state::Duration RandomDelay(int lowest_ms, int highest_ms);
  bool Chance(int percent);
  static state::ShardKey KeyAt(int index);
  static std::string NameOf(int server);

  std::mt19937_64 random_;
  state::Instant now_;
  std::array<Server, kServers> servers_;
  std::vector<Leader> leaders_;
  state::ServiceRanges stored_;
  bool store_up_ = true;
  OrderFaults faults_;
  std::multimap<state::Instant, std::function<void()>> events_;
  std::string violation_;
  // The highest fence that any server accepted, and that server's life.
  std::array<std::int64_t, kWatchedKeys> highest_fence_{};
  std::array<state::ServerLife, kWatchedKeys> highest_holder_;
};

}  // namespace mustardflow::tests

#endif  // MUSTARDFLOW_TESTS_KEYS_KEYSPACE_SIMULATION_H_
