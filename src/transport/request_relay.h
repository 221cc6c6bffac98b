// Relays callers' requests to backend servers.

#ifndef MUSTARDFLOW_TRANSPORT_REQUEST_RELAY_H_
#define MUSTARDFLOW_TRANSPORT_REQUEST_RELAY_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/load_sampler.h"
#include "coordination/retry_budget.h"
#include "coordination/server_pool.h"
#include "state/host_profile.h"
#include "state/ownership_table.h"
#include "state/routing_config.h"
#include "transport/asio.h"
#include "transport/entry_metrics.h"
#include "transport/event_log.h"
#include "transport/server_links.h"

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

// What the host knows at present. Owned by the host; read by the relay.
struct RelayView {
  std::shared_ptr<const state::RoutingConfig> config;
  state::OwnershipTable table;
  std::size_t hosts = 1;
};

class RequestRelay {
 public:
  using AnswerHandler = std::function<void(CallerAnswer)>;
  // Identifies a request until it is answered or abandoned.
  using RequestId = std::uint64_t;

  RequestRelay(asio::io_context& context,
               const state::HostProfile& profile,
               const RelayView& view,
               coordination::ServerPool& pool,
               std::function<double()> random,
               EventLog& log,
               EntryMetrics& metrics);

  // Takes a whole request. `handler` is called once, perhaps at once, unless
  // Abandon() comes first.
  RequestId Start(CallerMessage message, AnswerHandler handler);

  // The caller has left.
  void Abandon(RequestId id);

  // Handles what is due; call about every 20 ms.
  void Tick(state::Instant now);

  // The bounds in the profile have changed.
  void HandleBoundsChange() { budgets_.clear(); }

  // The ownership table has changed.
  void HandleTableChange(state::Instant now);

  std::size_t active() const { return requests_.size(); }
  // Sets the values that this part knows.
  void SetMetrics(state::Instant now);

  // What was asked of each keyed service since the last call.
  std::map<std::string, coordination::LoadReport> TakeLoad();

 private:
  struct Attempt {
    state::ServerRecord server;
    std::shared_ptr<ServerLink> link;
    state::Instant sent;
    state::Duration expected{0};
  };

  struct Request {
    RequestId id = 0;
    CallerMessage message;
    AnswerHandler handler;
    // Null once the caller has left; attempts of requests that may not repeat
    // go on.
    bool abandoned = false;
    std::string attempt_id;
    std::shared_ptr<const state::RoutingConfig> config;
    const state::Route* route = nullptr;
    std::string service;
    // Set for keyed services.
    std::optional<state::ShardKey> key;
    state::Instant received;
    // When the final answer is due.
    state::Instant end;
    std::set<std::string> tried;
    std::list<Attempt> attempts;
    // Requests sent to servers, whether answered or not.
    int sends = 0;
    int failed_connections = 0;
    // Whether an attempt may have been run.
    bool may_have_run = false;
    // Waiting for the key's owner since then.
    std::optional<state::Instant> waiting_since;
    // The table that showed the owner who turned out not to be one.
    std::optional<std::pair<std::int64_t, std::int64_t>> refuted_table;
  };

  using RequestPtr = std::shared_ptr<Request>;

  // Fills in route, service, key and times; answers the request if it cannot.
  bool Classify(const RequestPtr& request);
  std::string PickService(const state::Route& route);
  void TrySend(const RequestPtr& request);
  void SendTo(const RequestPtr& request,
              const coordination::ServerChoice& choice);
  std::string RequestBytes(const Request& request,
                           const state::ServerRecord& server) const;
  void HandleEnd(const RequestPtr& request,
                 std::list<Attempt>::iterator attempt,
                 LinkEnd end,
                 ServerAnswer answer);
  void HandleAnswer(const RequestPtr& request,
                    const Attempt& attempt,
                    ServerAnswer answer);
  void HandleNotRun(const RequestPtr& request,
                    const Attempt& attempt,
                    int status);
  void HandleLost(const RequestPtr& request);
  void HandleUnreachable(const RequestPtr& request);
  void WaitForOwner(const RequestPtr& request);
  void Hedge(const RequestPtr& request);
  void AbortAttempts(const RequestPtr& request);
  bool WithdrawRepeat(const Request& request);
  coordination::RetryBudget& Budget(const std::string& service);
  state::Duration LongestExpected(const Request& request) const;

  // Ends with "not run", or with "unknown" if it may have been.
  void Refuse(const RequestPtr& request,
              std::string_view reason,
              state::Duration retry_after);
  void FailUnknown(const RequestPtr& request, std::string_view reason);
  void HandleDeadline(const RequestPtr& request);
  // Ends the request; `outcome` is one of the words of EntryMetrics.
  void Finish(const RequestPtr& request,
              std::string_view outcome,
              CallerAnswer answer);
  void LogEnd(const Request& request,
              std::string_view event,
              std::string_view reason);

  const state::HostProfile& profile_;
  const RelayView& view_;
  coordination::ServerPool& pool_;
  const std::function<double()> random_;
  EventLog& log_;
  EntryMetrics& metrics_;
  ServerLinks links_;
  RequestId last_id_ = 0;
  std::map<RequestId, RequestPtr> requests_;
  // Per service; made anew when the number of hosts changes.
  std::map<std::string, coordination::RetryBudget> budgets_;
  std::size_t budget_hosts_ = 0;
  std::map<std::string, coordination::LoadSampler> samplers_;
  // Per route: the credit of each service of a split.
  std::map<std::string, std::map<std::string, double>> split_credit_;
  std::uint64_t repeats_ = 0;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_REQUEST_RELAY_H_
