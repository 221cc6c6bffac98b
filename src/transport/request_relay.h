// Forwards requests of callers and of other hosts to backend servers.

#ifndef MUSTARDFLOW_TRANSPORT_REQUEST_RELAY_H_
#define MUSTARDFLOW_TRANSPORT_REQUEST_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "admission/connection_limits.h"
#include "admission/organisation_limits.h"
#include "coordination/load_sampler.h"
#include "coordination/request_flow.h"
#include "coordination/server_pool.h"
#include "coordination/traffic_split.h"
#include "state/host_profile.h"
#include "state/routing_view.h"
#include "transport/asio.h"
#include "transport/body_buffer.h"
#include "transport/entry_metrics.h"
#include "transport/event_log.h"
#include "transport/memory_account.h"
#include "transport/request_parser.h"
#include "transport/server_links.h"

namespace mustardflow::transport {

// A request that has been read in full.
struct CallerMessage : http::request<BufferedBody> {
  // The fields that are not among those of the base, which cannot hold them.
  // Invariant: hosts interpret none of them; see IsInterpreted().
  LongFields long_fields;
  // The IP address of the caller; empty if it is not known.
  std::string caller;
};

// The final answer to a caller.
struct CallerAnswer {
  int status = 503;
  std::string reason;
  // End-to-end header fields only: no hop-by-hop fields, no Content-Length.
  std::vector<std::pair<std::string, std::string>> fields;
  BodyBuffer body;
};

// Who made the final answer to a request.
enum class AnswerOrigin {
  kHost,
  kServer,
  // A server, but the answer lacks its signature.
  kUnsigned,
};

// The kind of peer that sent a request to this host.
enum class RequestSource {
  kCaller,
  // Another host, which forwards the request because this host is the gate of
  // the server that owns the request's key.
  kHost,
};

// Classifies each request by its route, executes the actions that RequestFlow
// decides on, and passes the final answer on. Not thread-safe: all calls come
// from the thread that runs the io_context.
class RequestRelay {
 public:
  using AnswerHandler = std::function<void(CallerAnswer)>;
  using RequestId = coordination::RequestId;

  RequestRelay(asio::io_context& context,
               const state::HostProfile& profile,
               const state::RoutingView& view,
               coordination::ServerPool& pool,
               std::function<double()> random,
               EventLog& log,
               EntryMetrics& metrics);

  // Starts a request that has been received in full. `handler` is called once
  // with the answer, possibly before Start() returns, unless Cancel() is called
  // first.
  RequestId Start(CallerMessage message,
                  RequestSource source,
                  AnswerHandler handler);

  // Sets the address where this host, as a gate, receives requests of other
  // hosts.
  void SetOwnGate(state::Address address) {
    flow_.SetOwnGate(std::move(address));
  }

  // Cancels a request whose caller has disconnected. Its handler is not called
  // any more. An attempt at a server that must not be retried runs to its end.
  void Cancel(RequestId id);

  // Reports a request that is dropped unread because its caller has left.
  void ReportUnread(const CallerMessage& message, RequestSource source);

  // Handles retries, hedges and deadlines that are due and closes connections
  // that have been idle for too long. Call about every 20 ms.
  void Tick(state::Instant now);

  // Call when the service bounds in the host profile have changed.
  void HandleBoundsChange() { flow_.HandleBoundsChange(); }

  // Call when the ownership table has changed.
  void HandleTableChange(state::Instant now);

  // The host stops; the signal came at `since`. From now on, requests that
  // cannot end within the grace period are refused.
  void BeginStop(state::Instant since) { stopping_since_ = since; }

  // Ends all requests, each with what is known of its outcome. Call before the
  // process exits.
  void EndAll();

  // Whether this host knows that it has the newest configuration, and all of
  // it. Only then can it tell that a request is not allowed.
  bool ConfigConfirmed() const;
  // The answer to a request that a newer configuration might allow.
  static CallerAnswer UnconfirmedAnswer();
  // The answer to a request for which the host has no memory.
  static CallerAnswer NoMemoryAnswer();

  // Counts the answer to a request that was rejected before it was complete.
  // `reason` is the event in the log.
  void CountRejection(RequestSource source,
                      int status,
                      std::string_view reason);

  admission::OrganisationLimits& organisation_limits() {
    return organisation_limits_;
  }
  coordination::CrashWatch& crash_watch() { return flow_.crash_watch(); }
  // The account from which all bodies and answers of the process draw.
  const MemoryAccountPtr& memory() const { return memory_; }
  const admission::ConnectionLimits& connection_limits() const {
    return connection_limits_;
  }

  std::size_t active() const { return requests_.size(); }
  // Sets the metrics that are derived from the state of the relay.
  void SetMetrics(state::Instant now);

  // Returns for each keyed service the number of requests since the last call
  // and a sample of their shard keys.
  std::map<std::string, coordination::LoadReport> TakeLoad();

 private:
  // A request that has not ended yet.
  struct Request {
    RequestId id = 0;
    CallerMessage message;
    // Null once the caller has disconnected.
    AnswerHandler handler;
    // The X-Attempt-Id that the sender gave the request. All attempts of the
    // relay carry it unchanged; servers repeat it in their answers.
    std::string attempt_id;
    RequestSource source = RequestSource::kCaller;
    // The configuration in force when the request arrived.
    std::shared_ptr<const state::RoutingConfig> config;
    // Null for requests of other hosts, and if no route matches.
    const state::Route* route = nullptr;
    coordination::RequestTerms terms;
    // Whether a key and a name of an organisation that the sender gave are not
    // passed on.
    bool drop_credentials = false;
    // The name of the organisation whose key the request has; empty if none.
    std::string organisation;
    // Whether that organisation has a limit.
    bool limited = false;
    // Whether the request has been admitted and no server has it yet.
    bool has_unused_admission = false;
    // The connection of each attempt under way.
    std::map<coordination::AttemptId, std::shared_ptr<ServerConnection>>
        connections;
    UsedConnections used_connections;
    // The latest answer of a server or gate that may be passed on.
    ServerAnswer answer;
    // The server that sent `answer`; nullopt for the answer of a gate.
    std::optional<state::ServerIncarnation> answered_by;
    // The status of the latest response, for the log; 0 before the first.
    int last_status = 0;
  };

  using RequestPtr = std::shared_ptr<Request>;

  // How a request ended, for the metrics.
  struct Ending {
    // A value of the metrics' outcome label.
    std::string_view outcome;
    AnswerOrigin origin = AnswerOrigin::kHost;
    // Why this host made the answer; empty if a server made it.
    std::string_view reason;
  };

  // Sets the route and the terms of the request. If that is impossible, rejects
  // the request and returns false.
  bool Classify(const RequestPtr& request);
  // Sets the organisation of the request. If its route needs a key and the
  // request has none that is known, rejects it and returns false.
  bool CheckCredential(const RequestPtr& request);
  // Rejects the request and returns false if its organisation is over its
  // limit.
  bool CheckLimit(const RequestPtr& request);
  // Counts an attempt that may reach a server. All but the first are charged to
  // the organisation in addition to the admission.
  void CountAttempt(Request* request);
  // Returns an attempt that has not reached a server.
  void ReturnAttempt(Request* request);
  // Settles the admission of a request that ends.
  void SettleAdmission(Request* request, coordination::RequestOutcome outcome);
  // Ends a request that the configuration does not allow: for good, or, if this
  // host cannot rule out a newer configuration, with a time to come back.
  void RejectByConfig(const RequestPtr& request,
                      std::string_view event,
                      std::string_view reason,
                      CallerAnswer answer);
  // Sets the service of the request, and its shard key if the service is keyed.
  // If none of the route's services can take the request, rejects it and
  // returns false.
  bool ChooseService(const RequestPtr& request);
  // Rejects the request and returns false if the host stops too soon for it.
  // Otherwise ensures that it ends before the host does.
  bool CheckStop(const RequestPtr& request);
  // Rejects the request and returns false if no connection to a server can be
  // opened for it.
  bool CheckConnections(const RequestPtr& request);
  // Rejects the request and returns false if it has no X-Attempt-Id. Every
  // server refuses such a request, and its answer could not be matched.
  bool CheckAttemptId(const RequestPtr& request);
  // Sets the terms from the header fields that the forwarding host added. If
  // one is missing or invalid, rejects the request and returns false.
  bool ClassifyForwarded(const RequestPtr& request);
  // Returns the shard key in the request's header, if it is present and valid.
  std::optional<state::ShardKey> KeyOf(const Request& request) const;
  void Perform(const coordination::FlowActions& actions);
  void Send(const coordination::SendAttempt& send);
  void Abort(const coordination::AbortAttempt& abort);
  void EndRequest(const coordination::FinishRequest& conclusion);
  void LogAttempt(const coordination::ReportAttempt& report);
  // Serializes the head of the request for one attempt.
  std::string RequestHead(const Request& request,
                          const coordination::SendAttempt& send) const;
  void HandleExchangeResult(RequestId id,
                            coordination::AttemptId attempt,
                            const state::ServerIncarnation& peer,
                            bool is_gate,
                            state::Instant sent,
                            ExchangeResult exchange_result,
                            ServerAnswer answer);
  // Records what the server announces about itself in its answer, to a request
  // that was sent at `sent`. Logs it if it is new. `by_gate` tells whether a
  // gate passed the answer on.
  void RecordAnnouncement(const Request& request,
                          const state::ServerIncarnation& server,
                          state::Instant sent,
                          const ServerAnswer& answer,
                          bool by_gate);
  // Derives the result of an attempt from the outcome that the gate reports.
  static coordination::SendResult InterpretGateAnswer(
      const ServerAnswer& answer);
  // Derives the result of an attempt from the server's answer, which arrived at
  // `now`. Records the load that the answer reports in the server pool.
  coordination::SendResult InterpretServerAnswer(
      state::Instant now,
      const state::ServerIncarnation& server,
      const ServerAnswer& answer);
  // Tells the flow which attempts of the request have an established
  // connection.
  void RecordConnections(const Request& request);
  // Logs and answers a request that is rejected before it reaches the flow.
  void RejectRequest(const RequestPtr& request,
                     std::string_view event,
                     std::string_view reason,
                     CallerAnswer answer);
  // Counts the request in the metrics, removes it and calls its handler.
  void Finish(const RequestPtr& request,
              const Ending& ending,
              CallerAnswer answer);
  // Returns who made the latest answer of a server or gate.
  static AnswerOrigin OriginOf(const ServerAnswer& answer);
  RequestPtr Find(RequestId id) const;
  // Names the request in an answer of this host's own.
  static void AddAttemptId(const Request& request, CallerAnswer* answer);
  void LogEnd(const Request& request,
              std::string_view event,
              std::string_view reason,
              int status,
              int sends,
              std::string_view server);

  const state::HostProfile& profile_;
  const state::RoutingView& view_;
  coordination::ServerPool& pool_;
  const std::function<double()> random_;
  EventLog& log_;
  EntryMetrics& metrics_;
  const MemoryAccountPtr memory_;
  const admission::ConnectionLimits connection_limits_;
  // The number of open connections to servers and gates.
  const std::shared_ptr<std::size_t> open_connections_;
  ServerConnectionPool server_connections_;
  // Connections to gates. The pool is keyed by the incarnation of a server; for
  // a gate, the id of this incarnation is the gate's address and its start time
  // is 0.
  ServerConnectionPool gate_connections_;
  coordination::RequestFlow flow_;
  admission::OrganisationLimits organisation_limits_;
  coordination::TrafficSplit split_;
  RequestId last_id_ = 0;
  std::optional<state::Instant> stopping_since_;
  std::map<RequestId, RequestPtr> requests_;
  // By name of a keyed service.
  std::map<std::string, coordination::LoadSampler> samplers_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_REQUEST_RELAY_H_
