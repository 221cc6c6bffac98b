// Decides what becomes of each caller's request: to which backend server it
// goes, whether it goes again, and how it ends.
//
// Free of input and output: events and times come in, actions come out.

#ifndef MUSTARDFLOW_COORDINATION_REQUEST_FLOW_H_
#define MUSTARDFLOW_COORDINATION_REQUEST_FLOW_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "coordination/acceptance_rate.h"
#include "coordination/late_window.h"
#include "coordination/retry_budget.h"
#include "coordination/server_pool.h"
#include "state/host_profile.h"
#include "state/routing_view.h"

namespace mustardflow::coordination {

// Identifies a request until it has ended.
using RequestId = std::uint64_t;
// Identifies a sending among those of all requests.
using AttemptId = std::uint64_t;

// What a request asks for, and within which times.
struct RequestTerms {
  state::RequestKind kind = state::RequestKind::kNonIdempotent;
  std::string service;
  // Set for keyed services.
  std::optional<state::ShardKey> key;
  state::Duration target_latency{0};
  int max_attempts = 1;
  // Another host sends it, since this host is the gate of the key's server.
  bool forwarded = false;
  state::Instant received;
  // When the final answer is due.
  state::Instant end;
};

// How the sending to a server has ended.
enum class SendResult {
  // No connection was made, so nothing has been sent.
  kNotConnected,
  // The connection ended before a whole answer.
  kLost,
  // The server tells that it has not run the request,
  kNotOwner,
  kRefused,
  kMalformed,
  // The server's own answer: a usual one, and a failure of its own.
  kAnswered,
  kFailed,
  // An answer that cannot be passed on; the request may have been run.
  kUntrusted,
  // What the gate says, if the request was sent there: not run, perhaps run,
  // perhaps run and out of time.
  kGateRefused,
  kGateUnknown,
  kGateTimedOut,
};

// Sends the request to `server`, or to the host that is its gate.
struct SendAttempt {
  RequestId request = 0;
  AttemptId attempt = 0;
  state::ServerRecord server;
  std::optional<state::Address> gate;
  // Only on a connection that the server does not close at this moment.
  bool only_fresh = false;
  state::Duration expected{0};
};

// Ends the connection of an attempt; no result is wanted.
struct AbortAttempt {
  RequestId request = 0;
  AttemptId attempt = 0;
};

enum class Ending {
  // The answer of the attempt that has just ended is passed on.
  kAnswered,
  kFailed,
  // The server found the request malformed.
  kMalformed,
  // Not run, and never will be.
  kRefused,
  // May have been run.
  kUnknown,
  // May have been run; the time is over.
  kTimedOut,
  // The caller has left.
  kCancelled,
};

// The request has ended; it is not known any more.
struct FinishRequest {
  RequestId request = 0;
  Ending ending = Ending::kRefused;
  std::string_view reason;
  // For kRefused: when the caller may come back.
  state::Duration retry_after{0};
  // Requests sent to servers.
  int sends = 0;
  // The server of the last attempt that was under way, if any was.
  std::string server;
};

// Something happened to a request that goes on.
struct ReportAttempt {
  RequestId request = 0;
  // A word of the log's table of events.
  std::string_view event;
  std::string server;
  // Since the attempt was sent.
  state::Duration age{0};
  // The time that was expected for the attempt.
  state::Duration expected{0};
};

using FlowAction =
    std::variant<SendAttempt, AbortAttempt, FinishRequest, ReportAttempt>;
using FlowActions = std::vector<FlowAction>;

class RequestFlow {
 public:
  // `random` returns numbers in [0, 1).
  RequestFlow(const state::RoutingView& view,
              ServerPool& pool,
              const state::ServiceBounds& bounds,
              std::function<double()> random);

  // The address where this host takes requests as a gate.
  void SetOwnGate(state::Address address) { own_gate_ = std::move(address); }

  FlowActions Start(state::Instant now, RequestId id, RequestTerms terms);

  // A connection for the attempt stands; the request is at the server.
  void HandleConnected(RequestId id, AttemptId attempt);
  FlowActions HandleResult(state::Instant now,
                           RequestId id,
                           AttemptId attempt,
                           SendResult result,
                           std::optional<state::Duration> retry_after = {});
  // The caller has left.
  FlowActions HandleCallerDisconnect(state::Instant now, RequestId id);
  // The ownership table has changed.
  FlowActions HandleTableChange(state::Instant now);
  // The bounds have changed.
  void HandleBoundsChange() { budgets_.clear(); }
  // The process is about to exit: ends all requests with what is known of them.
  FlowActions EndAll(state::Instant now);
  // Handles what is due; call about every 20 ms.
  FlowActions Tick(state::Instant now);

  std::size_t waiting_for_owner() const;
  std::uint64_t retries() const { return retries_; }
  // The least that is left of a service's repeats.
  double retries_left() const;

 private:
  struct Attempt {
    AttemptId id = 0;
    state::ServerLife server;
    // Set if the request was sent there.
    std::optional<state::Address> gate;
    state::Instant sent;
    state::Duration expected{0};
    bool connected = false;
  };

  // What this host knows of a service's requests.
  struct ServiceState {
    // Attempts at servers.
    std::size_t under_way = 0;
    LateWindow window;
  };

  struct Request {
    RequestId id = 0;
    RequestTerms terms;
    // The caller has left; attempts that may not repeat go on.
    bool caller_disconnected = false;
    std::set<std::string> tried;
    std::list<Attempt> attempts;
    // Requests sent to servers, whether answered or not.
    int sends = 0;
    int failed_connections = 0;
    // Whether it has been counted for the budget of repeats.
    bool deposited = false;
    // Goes to servers itself from now on: a gate could not be reached.
    bool avoids_gates = false;
    // Whether an attempt may have been run.
    bool may_have_run = false;
    // Waiting for the key's owner since then.
    std::optional<state::Instant> waiting_since;
    // The table that showed the owner who turned out not to be one.
    std::optional<std::pair<std::int64_t, std::int64_t>> stale_table;
  };

  // Each of these may end the request, which is then gone.
  void TrySend(state::Instant now, Request* request, FlowActions* actions);
  void WaitForOwner(state::Instant now, Request* request, FlowActions* actions);
  void HandleNotRun(state::Instant now,
                    Request* request,
                    const Attempt& attempt,
                    SendResult result,
                    FlowActions* actions);
  void HandleFailed(state::Instant now,
                    Request* request,
                    const Attempt& attempt,
                    FlowActions* actions);
  void HandleLost(state::Instant now, Request* request, FlowActions* actions);
  void HandleNotConnected(state::Instant now,
                          Request* request,
                          FlowActions* actions);
  void TickRequest(state::Instant now, Request* request, FlowActions* actions);
  void Hedge(state::Instant now, Request* request, FlowActions* actions);
  void HandleDeadline(state::Instant now,
                      Request* request,
                      FlowActions* actions);
  // The server, or the service whose servers, cannot take the request.
  void RefuseBusy(state::Instant now,
                  Request* request,
                  const std::string& by,
                  std::string_view reason,
                  FlowActions* actions);
  // Ends with "not run", or with "unknown" if it may have been.
  void Refuse(state::Instant now,
              Request* request,
              std::string_view reason,
              state::Duration retry_after,
              FlowActions* actions);
  void End(state::Instant now,
           Request* request,
           FinishRequest conclusion,
           FlowActions* actions);

  void Send(state::Instant now,
            Request* request,
            const ServerChoice& choice,
            FlowActions* actions);
  // An attempt has ended.
  void RecordEnd(state::Instant now,
                 const Request& request,
                 const Attempt& attempt,
                 ServerResult result);
  // The gate that the request for this server has to go to, if any.
  std::optional<state::Address> GateFor(state::Instant now,
                                        const Request& request,
                                        const state::ServerLife& server) const;
  void SendToGate(state::Instant now,
                  Request* request,
                  const state::ServerLife& server,
                  const state::Address& gate,
                  FlowActions* actions);
  void HandleGateAnswer(state::Instant now,
                        Request* request,
                        const Attempt& attempt,
                        SendResult result,
                        std::optional<state::Duration> retry_after,
                        FlowActions* actions);
  Request* Find(RequestId id);
  bool WithdrawRetry(const Request& request);
  RetryBudget& Budget(const std::string& service);
  state::Duration MaxExpectedLatency(state::Instant now,
                                     const Request& request) const;

  const state::RoutingView& view_;
  ServerPool& pool_;
  const state::ServiceBounds& bounds_;
  const std::function<double()> random_;
  std::optional<state::Address> own_gate_;
  // Gates that could not be reached are avoided until then.
  std::map<state::Address, state::Instant> blocked_gates_;
  AttemptId last_attempt_ = 0;
  std::map<RequestId, Request> requests_;
  // Per service; made anew when the number of hosts changes.
  std::map<std::string, RetryBudget> budgets_;
  std::size_t budget_hosts_ = 0;
  std::map<std::string, ServiceState> services_;
  // By id of a server of a keyed service, and by name of another service.
  std::map<std::string, AcceptanceRate> accepted_;
  std::uint64_t retries_ = 0;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_REQUEST_FLOW_H_
