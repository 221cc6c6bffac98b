// Routes the requests of callers: selects the backend server for each request,
// decides on retries and determines the outcome.
//
// Performs no I/O: the code that uses this class passes in events and times,
// and carries out the returned actions.

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
#include "coordination/crash_report.h"
#include "coordination/crash_watch.h"
#include "coordination/late_window.h"
#include "coordination/priority_windows.h"
#include "coordination/request_admission.h"
#include "coordination/retry_budget.h"
#include "coordination/server_pool.h"
#include "state/host_profile.h"
#include "state/routing_view.h"

namespace mustardflow::coordination {

// The reason in the log and in the metrics of a request that is refused because
// it crashes servers.
inline constexpr std::string_view kCrashesServersReason = "crashes-servers";

// Identifies a request until it ends.
using RequestId = std::uint64_t;
// Identifies an attempt; unique across all requests.
using AttemptId = std::uint64_t;

// The properties of a request and its time limits.
struct RequestTerms {
  state::RequestKind kind = state::RequestKind::kNonIdempotent;
  std::string service;
  // Set only for keyed services.
  std::optional<state::ShardKey> key;
  state::Duration target_latency{0};
  int max_attempts = 1;
  // That of the organisation or else of the route; 0 is the most urgent.
  // Nullopt if it is not known.
  std::optional<int> priority;
  // The name of the route; empty if it is not known.
  std::string route;
  // Whether the body of the request or of its response is large, so that
  // another zone costs more.
  bool large = false;
  // Another host has forwarded the request to this host, which is the gate of
  // the server that owns the key.
  bool forwarded = false;
  // What makes the request the same when it comes again. Nullopt if a host of
  // an earlier version has forwarded it.
  std::optional<RequestFingerprint> fingerprint;
  // The forwarding host sends the refused request as a trial.
  bool trial = false;
  state::Instant received;
  // The deadline of the final response.
  state::Instant end;
};

// The result of one attempt.
enum class SendResult {
  // No connection was established, so nothing was sent.
  kNotConnected,
  // The connection closed before the response was complete.
  kLost,
  // The server states that it has not run the request: it does not own the
  // key, or it refuses the request.
  kNotOwner,
  kRefused,
  // The server responded: with success, or with a failure of its own.
  kAnswered,
  kFailed,
  // The response is not that of the server or gate, so it cannot be passed on.
  // The request may have been run.
  kUntrusted,
  // Reported by the gate that the request was forwarded to: not run; not run
  // because the gate cannot read the request; may have been run; may have been
  // run and the deadline has passed.
  kGateRefused,
  kGateRejected,
  kGateUnknown,
  kGateTimedOut,
};

// Sends the request to `server`, or to the host with the address `gate` if that
// is set.
struct SendAttempt {
  RequestId request = 0;
  AttemptId attempt = 0;
  state::ServerRecord server;
  std::optional<state::Address> gate;
  // Use only a connection that the server is not about to close for idleness.
  // Set for requests that must not be retried: if such a connection closed
  // during the attempt, the outcome would remain unknown.
  bool fresh_connection_only = false;
  // The expected latency; 0 for an attempt at a gate.
  state::Duration expected{0};
  // Whether the refused request is sent as a trial.
  bool trial = false;
};

// Cancels an attempt whose result is no longer needed, and closes its
// connection.
struct AbortAttempt {
  RequestId request = 0;
  AttemptId attempt = 0;
};

// How a request ends for its caller.
enum class RequestOutcome {
  // The response of the attempt that has just ended is passed on.
  kAnswered,
  kFailed,
  // The request has not been run and will not be.
  kRefused,
  // The request may have been run.
  kUnknown,
  // The request may have been run, and its deadline has passed.
  kTimedOut,
  // The caller has disconnected.
  kCancelled,
};

// Where a request in progress is.
enum class RequestPlace {
  // It has ended or is not known.
  kEnded,
  // It waits on this host; there is no attempt.
  kWaiting,
  // The connection to a server or gate is being established.
  kConnecting,
  // It was sent to a gate, which may not have sent it on.
  kAtGate,
  // It was sent to a server.
  kAtServer,
};

std::string_view RequestPlaceName(RequestPlace place);

// Reports the outcome of a request. RequestFlow has dropped the request.
struct FinishRequest {
  RequestId request = 0;
  RequestOutcome outcome = RequestOutcome::kRefused;
  std::string_view reason;
  // For kRefused: how long the caller should wait before it retries.
  state::Duration retry_after{0};
  // The number of attempts that were sent.
  int sends = 0;
  // The id of the server of the last attempt, or, if it was for the sake of a
  // server that the request was refused, of that server; "none" or empty if
  // unknown.
  std::string server;
};

// Logs an event of a request that is still in progress.
struct ReportAttempt {
  RequestId request = 0;
  // The name of the event in the log.
  std::string_view event;
  std::string server;
  // The time since the attempt was sent.
  state::Duration age{0};
  // The latency that was expected when the attempt was sent.
  state::Duration expected{0};
};

using FlowAction =
    std::variant<SendAttempt, AbortAttempt, FinishRequest, ReportAttempt>;
using FlowActions = std::vector<FlowAction>;

// Tracks all requests of this host from arrival to outcome: selects servers or
// gates, retries and hedges within the retry budget, and refuses requests that
// cannot be answered in time.
//
// The gate of a server is the host that sends all requests for this server; it
// can therefore enforce the limits of the server. Other hosts forward their
// requests to the gate, or send them directly to the server if the gate fails.
class RequestFlow {
 public:
  // `random` returns uniformly distributed numbers in [0, 1).
  RequestFlow(const state::RoutingView& view,
              ServerPool& pool,
              const state::ServiceBounds& bounds,
              std::function<double()> random);

  // Sets the address on which this host accepts requests as a gate.
  void SetOwnGate(state::Address address) { own_gate_ = std::move(address); }

  // From now on, the priority, target latency and work of a request decide
  // whether it is sent, waits at this host or is refused. Requires
  // ServerPool::EstimateByKind().
  void AdmitByPriority() { admission_.emplace(); }

  // Accepts a request of a caller or of another host.
  FlowActions Start(state::Instant now, RequestId id, RequestTerms terms);

  // The connection for the attempt is established, so the request may reach the
  // server.
  void HandleConnected(RequestId id, AttemptId attempt);
  // The attempt has ended. `retry_after` is the delay that a gate asked for.
  FlowActions HandleResult(state::Instant now,
                           RequestId id,
                           AttemptId attempt,
                           SendResult result,
                           std::optional<state::Duration> retry_after = {});
  // The caller has disconnected.
  FlowActions HandleCallerDisconnect(state::Instant now, RequestId id);
  // Where the request is; kEnded if it is not in progress.
  RequestPlace PlaceOf(RequestId id) const;
  // The ownership table has changed.
  FlowActions HandleTableChange(state::Instant now);
  // The service bounds have changed, and with them the retry budgets.
  void HandleBoundsChange() { budgets_.clear(); }
  // Ends all requests before the process exits: as kTimedOut if they may have
  // been run, otherwise as kRefused.
  FlowActions EndAll(state::Instant now);
  // Handles expired timeouts. Must be called about every 20 ms.
  FlowActions Tick(state::Instant now);

  // What this host knows of requests that crash servers.
  CrashWatch& crash_watch() { return crash_watch_; }

  // The number of requests that wait until their key has an owner.
  std::size_t waiting_for_owner() const;
  // The number of requests that wait at this host for capacity.
  std::size_t waiting_for_capacity() const {
    return admission_ ? admission_->waiting() : 0;
  }
  // The number of retries and hedges that the retry budgets have allowed since
  // the start.
  std::uint64_t retries() const { return retries_; }
  // The lowest remaining retry budget of all services, in retries.
  double retries_left() const;
  // The number of requests that were refused because they crash servers.
  std::uint64_t crashing_refused() const { return crashing_refused_; }
  // The number of servers, services and gates with a recent refusal, request or
  // failure.
  std::size_t tracked_peers() const {
    return acceptance_rates_.size() + blocked_gates_.size();
  }

 private:
  // An attempt in progress.
  struct Attempt {
    AttemptId id = 0;
    state::ServerIncarnation server;
    // Set if the attempt was sent to the gate of `server`.
    std::optional<state::Address> gate;
    state::Instant sent;
    state::Duration expected{0};
    // The part of `expected` that is not the wait for a slot; 0 if unknown.
    state::Duration own{0};
    bool connected = false;
  };

  // The state of one service on this host.
  struct ServiceState {
    // Attempts in progress that this host sent directly to servers.
    std::size_t in_flight = 0;
    LateWindow window;
    // Used instead of `window` if requests are admitted by priority.
    PriorityWindows priority_windows;
  };

  // A request in progress.
  struct Request {
    RequestId id = 0;
    RequestTerms terms;
    // The caller has disconnected. Only an attempt at a server of a request
    // that must not be retried continues.
    bool caller_disconnected = false;
    // Ids of servers that are excluded from further attempts.
    std::set<std::string> tried;
    std::list<Attempt> attempts;
    // Attempts that were sent, less those that got no connection.
    int sends = 0;
    int failed_connections = 0;
    // The request is sent as a trial, although it is refused otherwise.
    bool trial = false;
    // Attempts that were recorded in crash_watch_ as unanswered.
    int unanswered = 0;
    // Whether the request has been counted in the retry budget.
    bool deposited = false;
    // Whether the request has been counted as an arrival by admission_.
    bool counted = false;
    // Further attempts go directly to servers, because a gate failed.
    bool bypasses_gates = false;
    // Whether an attempt may have been run.
    bool may_have_run = false;
    // The server whose failure response is passed on unless a later attempt
    // succeeds.
    std::optional<std::string> failed_server;
    // When the request began to wait for an owner of its key.
    std::optional<state::Instant> waiting_since;
    // Set when the server that the ownership table lists as the owner of the
    // key responds that it is not the owner: term and revision of that table.
    // The request then waits for another table.
    std::optional<std::pair<std::int64_t, std::int64_t>> stale_table;
  };

  // Each of the following functions may end the request, which invalidates
  // `request`.
  void TrySend(state::Instant now, Request* request, FlowActions* actions);
  // Whether the request is refused because it crashes servers. Makes it a trial
  // if one is open.
  bool IsRefusedForCrashes(state::Instant now, Request* request) const;
  // If the request is a trial of this host, records that it is sent.
  void RecordTrialSend(state::Instant now, const Request& request);
  // Records how the request ended at a server that has not answered it.
  void RecordUnanswered(state::Instant now,
                        Request* request,
                        const Attempt& attempt,
                        CrashWatch::End end);
  // Sends the request to `choice`, or ends it if there is none. `by` is the key
  // in acceptance_rates_.
  void SendOrRefuse(state::Instant now,
                    Request* request,
                    const std::string& by,
                    const std::variant<ServerChoice, NoServerReason>& choice,
                    FlowActions* actions);
  // Puts the request into the queue `queue` of admission_.
  // Whether the limits on concurrent requests to the service, which has no
  // keys, permit another one.
  bool HasRoom(const RequestTerms& terms);
  // The request as the admission decisions see it.
  admission::RequestFigures FiguresOf(state::Instant now,
                                      const RequestTerms& terms) const;
  // Reports the end of an attempt to the windows of the service, which has no
  // keys.
  void RecordWait(state::Instant now,
                  const Request& request,
                  const Attempt& attempt,
                  ServerResult result);
  void EnterQueue(state::Instant now,
                  Request* request,
                  const std::string& queue);
  // Decides on the first request of a queue, which may be sent to `choice`.
  void Admit(state::Instant now,
             Request* request,
             const std::string& by,
             const std::variant<ServerChoice, NoServerReason>& choice,
             FlowActions* actions);
  // Sends or refuses waiting requests whose servers may have capacity.
  void DispatchWaiting(state::Instant now, FlowActions* actions);
  void RefuseWaiting(state::Instant now,
                     RequestId id,
                     std::string_view reason,
                     FlowActions* actions);
  // HandleResult() without dispatching waiting requests.
  FlowActions EndAttempt(state::Instant now,
                         RequestId id,
                         AttemptId attempt,
                         SendResult result,
                         std::optional<state::Duration> retry_after);
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
  // Refuses a request for lack of capacity. `by`, the key in acceptance_rates_,
  // is the server id for a keyed service, otherwise the name of the service.
  void RefuseBusy(state::Instant now,
                  Request* request,
                  const std::string& by,
                  std::string_view reason,
                  FlowActions* actions);
  // Ends the request as kRefused, or as kUnknown if it may have been run.
  // `server` is the id of the server for whose sake it is refused, if there is
  // one.
  void Refuse(state::Instant now,
              Request* request,
              std::string_view reason,
              state::Duration retry_after,
              FlowActions* actions,
              const std::string& server = "");
  // Ends a request that may have been run: as kFailed if a server has responded
  // with a failure, otherwise as `outcome`.
  void EndWithoutSuccess(state::Instant now,
                         Request* request,
                         RequestOutcome outcome,
                         std::string_view reason,
                         std::string server,
                         FlowActions* actions);
  void End(state::Instant now,
           Request* request,
           FinishRequest conclusion,
           FlowActions* actions);

  void Send(state::Instant now,
            Request* request,
            const ServerChoice& choice,
            FlowActions* actions);
  // Reports the end of an attempt to the pool and, for services without keys,
  // to the LateWindow of the service.
  void RecordEnd(state::Instant now,
                 const Request& request,
                 const Attempt& attempt,
                 ServerResult result);
  // The gate that the request has to go through, or nullopt if this host sends
  // the request directly to `server`.
  std::optional<state::Address> GateFor(
      state::Instant now,
      const Request& request,
      const state::ServerIncarnation& server) const;
  void SendToGate(state::Instant now,
                  Request* request,
                  const state::ServerIncarnation& server,
                  const state::Address& gate,
                  FlowActions* actions);
  void HandleGateAnswer(state::Instant now,
                        Request* request,
                        const Attempt& attempt,
                        SendResult result,
                        std::optional<state::Duration> retry_after,
                        FlowActions* actions);
  // Drops what has been recorded of servers and gates that are not in use any
  // more.
  void Prune(state::Instant now);
  Request* Find(RequestId id);
  // Whether the request's limit of attempts and the retry budget allow a retry.
  bool CanRetry(const Request& request);
  // Returns whether the request may be sent now. Counts the send if it is a
  // retry.
  bool WithdrawRetry(const Request& request);
  RetryBudget& Budget(const std::string& service);
  // The highest expected latency, from `now`, at which the request is sent.
  state::Duration MaxExpectedLatency(state::Instant now,
                                     const Request& request) const;

  const state::RoutingView& view_;
  ServerPool& pool_;
  const state::ServiceBounds& bounds_;
  const std::function<double()> random_;
  std::optional<state::Address> own_gate_;
  // Gates that failed, and until when they are bypassed.
  std::map<state::Address, state::Instant> blocked_gates_;
  AttemptId last_attempt_ = 0;
  std::map<RequestId, Request> requests_;
  // By service name. Cleared when the number of hosts changes, because each
  // host's budget depends on it.
  std::map<std::string, RetryBudget> budgets_;
  // The number of hosts that budgets_ was computed for.
  std::size_t budget_hosts_ = 0;
  std::map<std::string, ServiceState> services_;
  // The rates at which requests are accepted, by server id for keyed services
  // and by service name for all others.
  std::map<std::string, AcceptanceRate> acceptance_rates_;
  // Set if requests are admitted by priority.
  std::optional<RequestAdmission> admission_;
  std::uint64_t retries_ = 0;
  CrashWatch crash_watch_;
  std::uint64_t crashing_refused_ = 0;
  state::Instant next_prune_{};
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_REQUEST_FLOW_H_
