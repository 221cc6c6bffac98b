// Many hosts that elect a leader, in simulated time and without a network.

#ifndef MUSTARDFLOW_TESTS_HOSTS_ELECTION_SIMULATION_H_
#define MUSTARDFLOW_TESTS_HOSTS_ELECTION_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "coordination/leader_election.h"
#include "coordination/peer_directory.h"

namespace mustardflow::tests {

// Connects the elections of all hosts to a simulated store and to one another.
// A fifth of the hosts has five times the strength of the others.
class ElectionSimulation {
 public:
  // Hosts start at random within 0.3 s of each other and register. `bootstrap`:
  // the store is empty; otherwise it holds a term of an earlier life.
  ElectionSimulation(int hosts, bool bootstrap, std::uint64_t seed);

  void SetStoreUp(bool up) { store_up_ = up; }
  // Runs for `time`.
  void Advance(state::Duration time);
  // Ends the process of the present leader for good.
  void KillLeader();
  // Ends the processes of all hosts and starts them again.
  void RestartAll();
  // The store comes back from a copy that is `age` old, in the next era.
  // Before, SetEras() must have been called.
  void LoseRecords(state::Duration age);
  // The store names its era in its answers, which from now on take some time
  // after the store has done what they confirm.
  void SetEras() { era_ = 1; }
  // Whether a term was won twice, or one below those that a host knew that
  // was alive when it was won.
  bool repeated_term() const { return repeated_term_; }

  // The terms that were won, and the claims that were sent.
  int terms() const { return terms_; }
  int claims() const { return claims_; }
  // The present leader; nullopt if there is none, or more than one.
  std::optional<int> leader() const;
  bool IsStrong(int host) const { return host % 5 == 0; }
  // When the present leader won its term, since the start.
  state::Duration leader_since() const { return leader_since_; }

 private:
  struct Host {
    std::string name;
    std::unique_ptr<coordination::PeerDirectory> peers;
    std::unique_ptr<coordination::LeaderElection> election;
    state::Instant start{};
    bool alive = true;
    bool registered = false;
    // The highest era of the store that the host knows.
    std::int64_t era = 0;
    // The number of its process.
    int life = 0;
    state::Instant next_heartbeat{};
  };

  using Event = std::function<void()>;

  void Schedule(state::Duration delay, Event event);
  // A message between hosts takes 2 to 12 ms.
  state::Duration MessageDelay();
  // A call to the store takes 6 to 30 ms.
  state::Duration StoreDelay();
  void Tick(int host);
  void Register(int host);
  void Perform(int host, const coordination::ElectionAction& action);
  void Query(int host);
  void Append(int host,
              std::int64_t term,
              std::int64_t era,
              std::optional<std::int64_t> at);
  void StartProcess(int host, bool bootstrap);
  // Runs `event` if the host's process is still the same.
  void Deliver(int host, state::Duration delay, Event event);
  // How long an answer of the store is under way.
  state::Duration AnswerDelay();
  // Tells the election of the host the highest era that it knows.
  void HandleEra(int host, std::int64_t era);
  void RecordWonTerm(int host, std::int64_t term);
  void SendHeartbeats(int host);

  std::mt19937_64 random_;
  std::vector<Host> hosts_;
  state::Instant now_{std::chrono::seconds(1000)};
  std::multimap<state::Instant, Event> events_;
  coordination::LedgerHead ledger_;
  std::int64_t era_ = 0;
  // What the ledger was from a time on.
  std::vector<std::pair<state::Instant, coordination::LedgerHead>> copies_;
  std::set<std::int64_t> won_terms_;
  bool repeated_term_ = false;
  std::vector<int> registered_hosts_;
  bool store_up_ = true;
  int terms_ = 0;
  int claims_ = 0;
  state::Duration leader_since_{0};
};

}  // namespace mustardflow::tests

#endif  // MUSTARDFLOW_TESTS_HOSTS_ELECTION_SIMULATION_H_
