// A discrete event simulation of callers, hosts and backend servers. It
// measures what callers experience under a load pattern, without any network.

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

// The routing policy of the simulated hosts.
enum class Policy {
  // A random server for each request; no limits, refusals or retries by hosts.
  kNone,
  // RequestFlow and ServerPool.
  kProduct,
};

// The parameters of one simulation.
struct LoadOptions {
  Policy policy = Policy::kProduct;
  std::uint64_t seed = 1;
  std::size_t hosts = 8;
  std::size_t servers = 12;
  int slots = 6;
  // The number of requests that a server queues when its slots are taken. It
  // refuses further requests.
  int queue = 14;
  // The mean execution time of a request in seconds. Actual times are uniformly
  // distributed between half and one and a half times the mean.
  double mean_execution_seconds = 0.1;
  // The factor by which execution times grow when all slots are taken.
  double full_factor = 1.3;
  // New requests per second of all callers together.
  double rate = 300;
  state::RequestKind kind = state::RequestKind::kIdempotent;
  state::Duration target = std::chrono::milliseconds(400);
  state::Duration deadline = std::chrono::milliseconds(1200);
  // The maximum number of retries of a caller after a refusal or, if the
  // request is idempotent, after any failure.
  int retries = 1;
  // If above 0, half of the callers retry up to this many times and ignore the
  // requested retry delay.
  int abusive_retries = 0;
  // Whether requests carry keys. Each server then owns a key range of equal
  // width.
  bool keyed = false;
  // The fraction of requests for one hot key.
  double hot_share = 0;
  // Callers disconnect when they have waited for this time; 0: never.
  state::Duration disconnect_after{0};
  // The time during which new requests arrive.
  state::Duration length = std::chrono::seconds(12);
};

// The measurements of one simulation.
struct LoadResult {
  // Requests of callers; retries are not counted.
  int requests = 0;
  // Requests answered within the target latency, answered later, and never
  // answered.
  int in_target = 0;
  int late = 0;
  int unserved = 0;
  // Refusals, including those of retries.
  int refusals = 0;
  // Executions whose response no caller received, and all executions that were
  // started.
  int wasted_runs = 0;
  int runs = 0;
  // Attempts of callers for which more than one execution was started.
  int run_twice = 0;
  // Attempts of callers that were refused although an execution had been
  // started.
  int false_refusals = 0;
  // The longest time that a caller waited for a refusal.
  state::Duration max_refusal_time{0};
  // The longest time for which a server worked on a request, or began to, after
  // its caller had disconnected.
  state::Duration max_work_after_disconnect{0};
  // The 99th percentile of the time until a response, of all answered requests.
  state::Duration p99{0};
  // The maximum number of requests per second at a cold server.
  int max_cold_requests = 0;

  // The average value of a request: 1 if answered within the target latency,
  // 0.5 if answered late, 0 otherwise.
  double score() const;
};

// Simulates one load pattern. Run() may be called once.
class LoadSimulation {
 public:
  explicit LoadSimulation(LoadOptions options);

  // A change of the load or of the servers, at a time after the start.
  struct ScheduledChange {
    state::Duration at{0};
    std::function<void(LoadSimulation*)> apply;
  };
  LoadResult Run(const std::vector<ScheduledChange>& changes);

  // The following functions are called by the changes passed to Run().

  void SetRate(double rate) { options_.rate = rate; }
  // Multiplies the execution times on this share of the servers by `factor`.
  void SetSlow(double share, double factor);
  // Makes this share of the servers respond to `fraction` of their requests
  // with a failure.
  void SetFailing(double share, double fraction);
  // Makes this share of the servers refuse `fraction` of their requests,
  // however busy they are.
  void SetShedding(double share, double fraction);
  // Makes this share of the servers lose `fraction` of their responses after
  // they have run the requests.
  void SetLosing(double share, double fraction);
  // Crashes this share of the servers. The hosts remove these servers
  // 600 ms later.
  void SetDown(double share);
  // Restarts all crashed servers, which are then cold for `warmup`.
  void SetUp(state::Duration warmup);

 private:
  // A simulated backend server.
  struct Server {
    state::ServerRecord record;
    bool up = true;
    // The factor that SetSlow() applies to execution times.
    double factor = 1;
    double failing_fraction = 0;
    double losing_fraction = 0;
    double shedding_fraction = 0;
    state::Instant cold_until{};
    std::vector<state::Instant> cold_arrivals;
    // Requests in execution: the id of the execution, by exchange id.
    std::map<std::uint64_t, std::uint64_t> running;
    // The exchange ids of queued requests, in the order of arrival.
    std::list<std::uint64_t> waiting;
  };

  // One attempt of a host at a server.
  struct Exchange {
    std::size_t host = 0;
    std::size_t server = 0;
    coordination::RequestId request = 0;
    coordination::AttemptId attempt = 0;
    std::size_t call = 0;
    bool started = false;
    bool ended = false;
  };

  // A simulated host.
  struct Host {
    state::RoutingView view;
    std::unique_ptr<coordination::ServerPool> pool;
    std::unique_ptr<coordination::RequestFlow> flow;
  };

  // A request of a caller with all its retries.
  struct Call {
    state::Instant start;
    state::Instant end;
    std::optional<state::ShardKey> key;
    int attempts_left = 0;
    bool abusive = false;
    bool done = false;
    // Executions started for the current attempt of the caller.
    int runs = 0;
    // When the caller disconnected.
    std::optional<state::Instant> left_at;
    // The current attempt: its host, request id and start time.
    std::size_t host = 0;
    coordination::RequestId request = 0;
    state::Instant attempt_start;
  };

  // Ordered by time, then by creation; operator< is inverted because
  // std::priority_queue returns the largest element first.
  struct Event {
    state::Instant at;
    std::uint64_t order = 0;
    std::function<void()> apply;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  // Schedules `apply`.
  void Schedule(state::Instant at, std::function<void()> apply);
  // A uniformly distributed random number in [0, 1).
  double RandomFraction() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  // A server has stopped working on a request of this call.
  void RecordWorkEnd(const Call& call);
  void BuildHosts();
  // Passes the current server records to all hosts.
  void UpdatePools();
  // A new request arrives; schedules the next arrival.
  void Arrive();
  // The caller sends the request to a random host.
  void StartAttempt(std::size_t call);
  void StartAttemptWithoutPolicy(std::size_t call);
  void Perform(std::size_t host, const coordination::FlowActions& actions);
  void Send(std::size_t host, const coordination::SendAttempt& send);
  // The request arrives at its server, which executes, queues or refuses it.
  void ArriveAtServer(std::uint64_t exchange);
  void StartExecution(std::uint64_t exchange);
  void EndExecution(std::uint64_t exchange, std::uint64_t execution);
  // The host closes the connection, and the server drops the request.
  void CancelExchange(std::uint64_t exchange);
  void Respond(std::uint64_t exchange, coordination::SendResult result);
  // Executes queued requests while slots are free.
  void StartQueued(std::size_t server);
  void FinishRequest(std::size_t host,
                     const coordination::FinishRequest& conclusion);
  // The caller's attempt ends; schedules a retry if the caller makes one.
  void EndAttempt(std::size_t call,
                  coordination::RequestOutcome outcome,
                  state::Duration retry_after);
  void Crash(Server* server);
  // The requests in execution and in the queue.
  int Load(const Server& server) const;

  LoadOptions options_;
  std::mt19937_64 random_;
  state::Instant now_;
  state::Instant start_;
  state::Instant last_arrival_;
  std::uint64_t last_event_ = 0;
  std::uint64_t last_exchange_ = 0;
  std::uint64_t last_execution_ = 0;
  coordination::RequestId last_request_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Server> servers_;
  state::ServiceBounds bounds_;
  std::vector<Host> hosts_;
  std::map<std::uint64_t, Exchange> exchanges_;
  std::vector<Call> calls_;
  // The index in calls_ of each open attempt.
  std::map<coordination::RequestId, std::size_t> call_index_;
  // The times until the response of all answered requests.
  std::vector<state::Duration> response_times_;
  LoadResult result_;
};

}  // namespace mustardflow::tests

#endif  // MUSTARDFLOW_TESTS_LOAD_LOAD_SIMULATION_H_
