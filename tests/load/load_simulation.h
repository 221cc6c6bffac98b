// Hosts, backend servers and callers in simulated time: what a load pattern
// does to callers, without any network.

#ifndef MUSTARDFLOW_TESTS_LOAD_LOAD_SIMULATION_H_
#define MUSTARDFLOW_TESTS_LOAD_LOAD_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "coordination/request_flow.h"
#include "coordination/server_pool.h"
#include "state/routing_view.h"

namespace mustardflow::tests {

// Whether the hosts use the product's policies.
enum class Policy {
  // A server at random, no limits, no refusals, no repeats.
  kNone,
  kProduct,
};

struct LoadOptions {
  Policy policy = Policy::kProduct;
  std::uint64_t seed = 1;
  std::size_t hosts = 8;
  std::size_t servers = 12;
  int slots = 6;
  // What a server queues beyond its slots; more is refused.
  int queue = 14;
  // Work of one request, in seconds; drawn between half and one and a half.
  double work = 0.1;
  // How much longer work takes when all slots are taken.
  double full_factor = 1.3;
  // Requests a second in all.
  double rate = 300;
  state::RequestKind kind = state::RequestKind::kIdempotent;
  state::Duration target = std::chrono::milliseconds(400);
  state::Duration deadline = std::chrono::milliseconds(1200);
  // How often a caller comes back after a refusal or, if the request may
  // repeat, any failure.
  int retries = 1;
  // Callers that do not wait as told, and come back this often.
  int abusive_retries = 0;
  // Whether requests carry keys: each server then owns a range of equal width.
  bool keyed = false;
  // The share of requests that ask for one key.
  double hot_share = 0;
  // Callers leave after this time; 0: they stay.
  state::Duration disconnect_after{0};
  state::Duration length = std::chrono::seconds(12);
};

struct LoadResult {
  // Requests of callers, however often they came back.
  int requests = 0;
  int in_target = 0;
  int late = 0;
  int unserved = 0;
  // Attempts of callers that were refused.
  int refusals = 0;
  // Work begun by servers whose answer no caller got, and all work begun.
  int wasted_runs = 0;
  int runs = 0;
  // Requests of which more than one run began.
  int run_twice = 0;
  // Requests that were refused although a run had begun.
  int false_refusals = 0;
  // The longest time that a caller waited for a refusal.
  state::Duration max_refusal_time{0};
  // Time to the answer, of those served, 99th percentile.
  state::Duration p99{0};
  // The most requests of one second at a server that was cold.
  int max_cold_requests = 0;

  // In target counts 1, late a half.
  double score() const;
};

class LoadSimulation {
 public:
  explicit LoadSimulation(LoadOptions options);

  // What happens at a time after the start.
  struct ScheduledChange {
    state::Duration at{0};
    std::function<void(LoadSimulation*)> apply;
  };
  LoadResult Run(const std::vector<ScheduledChange>& changes);

  // Changes, to be used by Run():
  void SetRate(double rate) { options_.rate = rate; }
  // Work on this share of the servers takes `factor` times as long.
  void SetSlow(double share, double factor);
  // This share of the servers fails that part of its requests.
  void SetFailing(double share, double part);
  // This share of the servers runs requests and loses that part of answers.
  void SetLosing(double share, double part);
  // This share of the servers ends, or starts anew and is cold for `warmup`.
  void SetDown(double share);
  void SetUp(state::Duration warmup);

 private:
  struct Server {
    state::ServerRecord record;
    bool up = true;
    double factor = 1;
    double failing = 0;
    double losing = 0;
    state::Instant cold_until{};
    std::vector<state::Instant> cold_arrivals;
    // Requests at work, and those that wait.
    std::map<std::uint64_t, std::uint64_t> running;
    std::list<std::uint64_t> waiting;
  };

  // A sending of a host to a server.
  struct Exchange {
    std::size_t host = 0;
    std::size_t server = 0;
    coordination::RequestId request = 0;
    coordination::AttemptId attempt = 0;
    std::size_t call = 0;
    bool begun = false;
    bool ended = false;
  };

  struct Host {
    state::RoutingView view;
    std::unique_ptr<coordination::ServerPool> pool;
    std::unique_ptr<coordination::RequestFlow> flow;
  };

  // A request of a caller with all its attempts.
  struct Call {
    state::Instant began;
    state::Instant end;
    std::optional<state::ShardKey> key;
    int attempts_left = 0;
    bool abusive = false;
    bool done = false;
    // Runs begun for the present attempt of the caller.
    int runs = 0;
    // The present attempt: its host and id.
    std::size_t host = 0;
    coordination::RequestId request = 0;
    state::Instant attempt_began;
  };

  struct Event {
    state::Instant at;
    std::uint64_t order = 0;
    std::function<void()> apply;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void At(state::Instant at, std::function<void()> apply);
  double Draw() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  void BuildHosts();
  void GiveRecords();
  void Arrive();
  void Attempt(std::size_t call);
  void AttemptWithoutPolicy(std::size_t call);
  void Perform(std::size_t host, const coordination::FlowActions& actions);
  void Send(std::size_t host, const coordination::SendAttempt& send);
  void Reach(std::uint64_t exchange);
  void Begin(std::uint64_t exchange);
  void EndWork(std::uint64_t exchange, std::uint64_t work);
  void Leave(std::uint64_t exchange);
  void Answer(std::uint64_t exchange, coordination::SendResult result);
  void StartWaiting(std::size_t server);
  void FinishRequest(std::size_t host,
                     const coordination::FinishRequest& conclusion);
  void EndAttempt(std::size_t call,
                  coordination::Ending ending,
                  state::Duration retry_after);
  void Crash(Server* server);
  int LoadOf(const Server& server) const;

  LoadOptions options_;
  std::mt19937_64 random_;
  state::Instant now_;
  state::Instant began_;
  state::Instant last_arrival_;
  std::uint64_t last_event_ = 0;
  std::uint64_t last_exchange_ = 0;
  std::uint64_t last_work_ = 0;
  coordination::RequestId last_request_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Server> servers_;
  state::ServiceBounds bounds_;
  std::vector<Host> hosts_;
  std::map<std::uint64_t, Exchange> exchanges_;
  std::vector<Call> calls_;
  std::map<coordination::RequestId, std::size_t> call_of_;
  std::vector<state::Duration> times_;
  LoadResult result_;
};

}  // namespace mustardflow::tests

#endif  // MUSTARDFLOW_TESTS_LOAD_LOAD_SIMULATION_H_
