// Hosts that share what they know of requests which crash servers, in simulated
// time: the flow of each host, the leader's tracker, servers and their entries
// in the store.

#ifndef MUSTARDFLOW_TESTS_REQUESTS_CRASH_SIMULATION_H_
#define MUSTARDFLOW_TESTS_REQUESTS_CRASH_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "coordination/crash_tracker.h"
#include "coordination/request_flow.h"

namespace mustardflow::tests {

class CrashSimulation {
 public:
  using Fingerprint = coordination::RequestFingerprint;

  // How a request ended, and when.
  struct Ending {
    Fingerprint request = 0;
    coordination::FinishRequest end;
    state::Instant sent{};
    state::Instant at{};
  };

  struct Server {
    state::ServerRecord record;
    bool up = true;
    // The attempts at work, by host and attempt.
    struct Work {
      coordination::RequestId request = 0;
      Fingerprint fingerprint = 0;
      state::Instant done_at{};
    };
    std::map<std::pair<std::size_t, coordination::AttemptId>, Work> work;
    // When its entry expires, and when it is back under another id.
    std::optional<state::Instant> entry_ends_at;
    std::optional<state::Instant> back_at;
  };

  CrashSimulation(std::size_t hosts, std::size_t servers);

  // Requests with this fingerprint crash each server that runs them.
  void Poison(Fingerprint request) { poison_.insert(request); }
  void Cure(Fingerprint request) { poison_.erase(request); }
  void SetMaxAttempts(int attempts) { max_attempts_ = attempts; }
  // From now on, all keys are those of one server.
  void UseKeys();
  // The same, and one host sends all requests to that server.
  void UseGate();

  // Sends a request to a random host. Returns the number of its ending.
  std::size_t Ask(Fingerprint request,
                  state::RequestKind kind = state::RequestKind::kIdempotent);
  // Plays `time`, and calls `step` each 20 ms.
  void Run(
      state::Duration time,
      const std::function<void()>& step = [] {});

  // The servers that are up.
  std::vector<std::size_t> Up() const;
  // The server that has a request at work; there must be one.
  std::size_t ServerOf(Fingerprint request) const;
  // The server ends without notice, and is back after three seconds.
  void Crash(std::size_t server);
  // The server reports that it is draining, or its entry is removed.
  void Drain(std::size_t server);
  void RemoveEntry(std::size_t server);
  // All connections to servers are reset.
  void ResetConnections();
  // Another host leads.
  void ChangeLeader();
  // Reports of hosts to the leader are lost, or arrive again.
  void SetReportsLost(bool lost) { reports_lost_ = lost; }

  state::Instant now() const { return now_; }
  const std::vector<Ending>& endings() const { return endings_; }
  const std::vector<state::Instant>& crashes(Fingerprint request) {
    return crashes_[request];
  }
  // How many requests reached a server later than this.
  std::size_t ReachedAfter(Fingerprint request, state::Instant time) const;
  // How many of the requests that were sent after `time` ended so.
  std::size_t Count(Fingerprint request,
                    state::Instant time,
                    coordination::RequestOutcome outcome) const;
  // The number of requests that the hosts refuse.
  std::size_t RefusedCount() const;
  const std::vector<coordination::CrashingRequest>& list() const {
    return list_;
  }
  coordination::CrashTracker& tracker() { return tracker_; }

 private:
  // A request that a host has forwarded to a gate.
  struct Forwarded {
    std::size_t host = 0;
    coordination::RequestId request = 0;
    coordination::AttemptId attempt = 0;
  };

  struct Host {
    state::RoutingView view;
    std::unique_ptr<coordination::ServerPool> pool;
    std::unique_ptr<coordination::RequestFlow> flow;
    // By request: the number of its ending, and where it came from if this
    // host is its gate.
    std::map<coordination::RequestId, std::size_t> endings;
    std::map<coordination::RequestId, Forwarded> forwarded;
    std::map<coordination::RequestId, coordination::RequestTerms> terms;
    state::Instant next_report{};
  };

  void Perform(std::size_t host, const coordination::FlowActions& actions);
  void Forward(std::size_t host, const coordination::SendAttempt& send);
  // Passes the gate's answer on to the host that forwarded the request.
  void ReturnFromGate(const Forwarded& forwarded,
                      const coordination::FinishRequest& end);
  void Deliver(std::size_t host, const coordination::SendAttempt& send);
  void Finish(std::size_t host,
              coordination::AttemptId attempt,
              const Server::Work& work,
              coordination::SendResult result);
  void UpdateEntry(const state::ServerRecord& record);
  void StepServers();
  void StepHosts();
  void StepLeader();
  Server* FindServer(const std::string& id);

  std::mt19937_64 random_{7};
  state::ServiceBounds bounds_;
  state::Instant now_{std::chrono::seconds(100)};
  std::vector<Host> hosts_;
  std::vector<Server> servers_;
  int max_attempts_ = 2;
  bool keyed_ = false;
  std::optional<std::size_t> gate_;
  std::int64_t next_server_ = 0;
  coordination::RequestId next_request_ = 0;
  std::int64_t term_ = 1;
  coordination::CrashTracker tracker_;
  std::vector<coordination::CrashingRequest> list_;
  bool reports_lost_ = false;
  bool heartbeat_due_ = false;
  state::Instant next_heartbeat_{};
  std::set<Fingerprint> poison_;
  std::map<Fingerprint, std::vector<state::Instant>> crashes_;
  // Requests that reached a server, and when first, by ending.
  std::map<std::size_t, state::Instant> reached_;
  std::vector<Ending> endings_;
  // Results that are under way to hosts.
  std::vector<std::function<void()>> results_;
};

}  // namespace mustardflow::tests

#endif  // MUSTARDFLOW_TESTS_REQUESTS_CRASH_SIMULATION_H_
