// Relays callers' requests to backend servers.

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

#include "coordination/load_sampler.h"
#include "coordination/request_flow.h"
#include "coordination/server_pool.h"
#include "coordination/traffic_split.h"
#include "state/host_profile.h"
#include "state/routing_view.h"
#include "transport/asio.h"
#include "transport/entry_metrics.h"
#include "transport/event_log.h"
#include "transport/server_connection_pool.h"

namespace mustardflow::transport {

using CallerMessage = http::request<http::string_body>;

// The final answer to a caller.
struct CallerAnswer {
  int status = 503;
  std::string reason;
  // Header fields but for those that concern the connection and the length.
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
};

// Who sends requests to this host.
enum class RequestSource {
  kCaller,
  // Another host: this one is the gate of the key's server.
  kHost,
};

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

  // Takes a whole request. `handler` is called once, perhaps at once, unless
  // Abandon() comes first.
  RequestId Start(CallerMessage message,
                  RequestSource source,
                  AnswerHandler handler);

  // The address where this host takes requests of other hosts.
  void SetOwnGate(state::Address address) {
    flow_.SetOwnGate(std::move(address));
  }

  // The caller has left.
  void Cancel(RequestId id);

  // Handles what is due; call about every 20 ms.
  void Tick(state::Instant now);

  // The bounds in the profile have changed.
  void HandleBoundsChange() { flow_.HandleBoundsChange(); }

  // The ownership table has changed.
  void HandleTableChange(state::Instant now);

  // Ends all requests: the process is about to exit.
  void EndAll();

  std::size_t active() const { return requests_.size(); }
  // Sets the values that this part knows.
  void SetMetrics(state::Instant now);

  // What was asked of each keyed service since the last call.
  std::map<std::string, coordination::LoadReport> TakeLoad();

 private:
  struct Request {
    RequestId id = 0;
    CallerMessage message;
    // Null once the caller has left.
    AnswerHandler handler;
    std::string attempt_id;
    RequestSource source = RequestSource::kCaller;
    std::shared_ptr<const state::RoutingConfig> config;
    // Null for requests of other hosts, and if no route matches.
    const state::Route* route = nullptr;
    coordination::RequestTerms terms;
    std::map<coordination::AttemptId, std::shared_ptr<ServerConnection>> links;
    // The answer that has come last, until it is passed on.
    ServerAnswer answer;
  };

  using RequestPtr = std::shared_ptr<Request>;

  // Fills in route and terms; answers the request if it cannot.
  bool Classify(const RequestPtr& request);
  // The same from the fields of another host.
  bool ClassifyForwarded(const RequestPtr& request);
  std::optional<state::ShardKey> KeyOf(const Request& request) const;
  void Perform(const coordination::FlowActions& actions);
  void Send(const coordination::SendAttempt& send);
  void Abort(const coordination::AbortAttempt& abort);
  void EndRequest(const coordination::FinishRequest& conclusion);
  void LogAttempt(const coordination::ReportAttempt& note);
  std::string RequestBytes(const Request& request,
                           const coordination::SendAttempt& send) const;
  void HandleExchangeResult(RequestId id,
                            coordination::AttemptId attempt,
                            const state::ServerIncarnation& peer,
                            bool is_gate,
                            ExchangeResult end,
                            ServerAnswer answer);
  // What a gate's answer means.
  static coordination::SendResult InterpretGateAnswer(
      const ServerAnswer& answer);
  coordination::SendResult InterpretServerAnswer(
      const state::ServerIncarnation& server,
      const ServerAnswer& answer);
  // Tells the flow which of the request's connections stand by now.
  void RecordConnections(const Request& request);
  // Ends a request that has not come to the flow.
  void RejectRequest(const RequestPtr& request,
                     std::string_view event,
                     std::string_view reason,
                     CallerAnswer answer);
  // `outcome` is one of the words of EntryMetrics.
  void Finish(const RequestPtr& request,
              std::string_view outcome,
              CallerAnswer answer);
  RequestPtr Find(RequestId id) const;
  void LogEnd(const Request& request,
              std::string_view event,
              std::string_view reason,
              int sends);

  const state::RoutingView& view_;
  coordination::ServerPool& pool_;
  const std::function<double()> random_;
  EventLog& log_;
  EntryMetrics& metrics_;
  ServerConnectionPool server_connections_;
  // To other hosts, each in place of a server whose id is its address.
  ServerConnectionPool gate_connections_;
  coordination::RequestFlow flow_;
  coordination::TrafficSplit split_;
  RequestId last_id_ = 0;
  std::map<RequestId, RequestPtr> requests_;
  std::map<std::string, coordination::LoadSampler> samplers_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_REQUEST_RELAY_H_
