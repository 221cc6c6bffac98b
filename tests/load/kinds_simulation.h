// A discrete event simulation of kinds of requests that compete for two
// services, one with a gate for each server and one without keys.

#ifndef MUSTARDFLOW_TESTS_LOAD_KINDS_SIMULATION_H_
#define MUSTARDFLOW_TESTS_LOAD_KINDS_SIMULATION_H_

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "coordination/request_flow.h"
#include "coordination/server_pool.h"
#include "state/routing_view.h"

namespace mustardflow::tests {

inline constexpr std::size_t kKindCount = 4;

// The parameters of one simulation.
struct KindsOptions {
  // Whether hosts admit requests by priority.
  bool by_priority = false;
  std::uint64_t seed = 1;
  std::size_t hosts = 64;
  // Servers of the keyed service and of the one without keys.
  std::size_t keyed_servers = 80;
  std::size_t open_servers = 62;
  // The demand as a fraction of the mean capacity of each service.
  double load = 0.8;
  // From second 2 to second 7, the demand of this kind is multiplied.
  std::optional<std::size_t> burst_kind;
  double burst_factor = 1;
  // This number of keys gets 0.4 of the keyed requests; 0: no hot keys.
  int hot_keys = 0;
  state::Duration length = std::chrono::seconds(9);
};

// What the callers of one kind experienced.
struct KindResult {
  int requests = 0;
  int in_target = 0;
  int late = 0;
  // Calls that ended with a refusal, and refusals of single attempts.
  int refused = 0;
  int refusals = 0;
  int refused_twice = 0;

  double Fraction(int count) const {
    return requests == 0 ? 0 : static_cast<double>(count) / requests;
  }
};

using KindResults = std::array<KindResult, kKindCount>;

// The name of the kind; kinds are listed from the most to the least urgent.
const char* KindName(std::size_t kind);

// Simulates one pattern. Run() may be called once.
class KindsSimulation {
 public:
  explicit KindsSimulation(const KindsOptions& options);

  KindResults Run();

 private:
  struct Server {
    state::ServerRecord record;
    // The execution time relative to the usual one, for good and at present.
    double relative_time = 1;
    double slowness = 1;
    // Attempts in execution and in the queue.
    std::map<std::uint64_t, bool> running;
    std::list<std::uint64_t> waiting;
  };

  // An attempt of a host at a server, or at the gate of a server.
  struct Exchange {
    std::size_t host = 0;
    coordination::RequestId request = 0;
    coordination::AttemptId attempt = 0;
    std::size_t server = 0;
    std::size_t call = 0;
    bool ended = false;
    // Set for an attempt at a gate: the request there.
    std::optional<std::pair<std::size_t, coordination::RequestId>> at_gate;
  };

  struct Host {
    state::RoutingView view;
    std::unique_ptr<coordination::ServerPool> pool;
    std::unique_ptr<coordination::RequestFlow> flow;
  };

  struct Call {
    std::size_t kind = 0;
    std::string service;
    std::optional<state::ShardKey> key;
    state::Instant start;
    state::Instant end;
    bool retried = false;
    bool done = false;
  };

  // A request at a host: of a caller, or forwarded by another host.
  struct HostRequest {
    std::size_t call = 0;
    std::optional<std::uint64_t> forwarded_by;
  };

  struct Event {
    state::Instant at;
    std::uint64_t order = 0;
    std::function<void()> apply;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void Schedule(state::Instant at, std::function<void()> apply);
  double RandomFraction() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  void BuildServers();
  void BuildHosts();
  void ChangeSlowServers();
  void Arrive(std::size_t kind);
  void StartCall(std::size_t call);
  coordination::RequestTerms TermsOf(const Call& call) const;
  void Perform(std::size_t host, const coordination::FlowActions& actions);
  void Send(std::size_t host, const coordination::SendAttempt& send);
  void ArriveAtGate(std::uint64_t exchange, std::size_t gate);
  void ArriveAtServer(std::uint64_t exchange);
  void Execute(std::uint64_t exchange);
  void Respond(std::uint64_t exchange, coordination::SendResult result);
  void StartQueued(Server* server);
  void Cancel(std::uint64_t exchange);
  void Finish(const coordination::FinishRequest& conclusion);
  void EndCall(std::size_t call,
               coordination::RequestOutcome outcome,
               state::Duration retry_after);
  // Requests per second of the kind.
  double Rate(std::size_t kind) const;

  const KindsOptions options_;
  std::mt19937_64 random_;
  state::Instant now_;
  const state::Instant start_;
  std::uint64_t last_event_ = 0;
  std::uint64_t last_exchange_ = 0;
  coordination::RequestId last_request_ = 0;
  std::priority_queue<Event> events_;
  state::ServiceBounds bounds_;
  std::vector<Server> servers_;
  std::map<std::string, std::size_t> server_index_;
  std::vector<Host> hosts_;
  std::vector<state::ShardKey> hot_keys_;
  std::map<std::uint64_t, Exchange> exchanges_;
  std::map<std::pair<std::size_t, coordination::AttemptId>, std::uint64_t>
      exchange_of_attempt_;
  std::vector<Call> calls_;
  std::map<coordination::RequestId, HostRequest> requests_;
  KindResults results_;
};

}  // namespace mustardflow::tests

#endif  // MUSTARDFLOW_TESTS_LOAD_KINDS_SIMULATION_H_
