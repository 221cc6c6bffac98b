// Runs requests: finds the host and the server in charge, and gets the answer.

#ifndef MUSTARDFLOW_TRANSPORT_REQUEST_RUNNER_H_
#define MUSTARDFLOW_TRANSPORT_REQUEST_RUNNER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coordination/hedge_policy.h"
#include "coordination/load_sampler.h"
#include "coordination/request_ledger.h"
#include "coordination/request_lifecycle.h"
#include "coordination/retry_budget.h"
#include "coordination/server_gate.h"
#include "coordination/server_picker.h"
#include "protocol/ledger_codec.h"
#include "state/grant_registry.h"
#include "transport/asio.h"
#include "transport/http_client.h"
#include "transport/logging.h"
#include "transport/metrics.h"
#include "transport/traffic_view.h"
#include "transport/upstream.h"

namespace mustardflow::transport {

// A request with all that routing needs to know.
struct RoutedRequest {
  std::string service;
  std::string class_name;
  bool idempotent = false;
  std::optional<std::string> key;
  std::optional<coordination::RequestId> id;
  state::Instant arrived;
  state::Instant deadline;
  // The request as it came, without connection and internal fields.
  UpstreamRequest message;
  // Tells that another attempt has made this one pointless. May be empty.
  UpstreamPool::CancelPredicate is_cancelled;

  bool IsCancelled() const { return is_cancelled && is_cancelled(); }
};

// What is to be told to the caller.
struct RunResult {
  AttemptResult attempt;
  // Set instead of attempt.answer if the answer is repeated from memory.
  std::optional<coordination::StoredAnswer> stored;
};

// Holds this host's duties: the gates of backend servers and the ledger of
// request ids, as far as they are granted. To be used from one thread.
class RequestRunner {
 public:
  RequestRunner(asio::any_io_executor executor,
                std::string host,
                Metrics* metrics);

  void SetView(std::shared_ptr<const TrafficView> view);
  const TrafficView* view() const { return view_.get(); }

  // Applies an order to this host's duties.
  state::OrderAck ApplyOrder(const state::Order& order);

  // Runs a caller's request, wherever its duties lie.
  awaitable<RunResult> RunForCaller(RoutedRequest& request);

  // Runs a forwarded request whose id this host is to remember.
  awaitable<RunResult> RunInLedger(RoutedRequest& request);

  // Runs a forwarded request through the gate of `server`.
  awaitable<AttemptResult> RunInGate(RoutedRequest& request,
                                     const std::string& server,
                                     state::Fence fence);

  // The memory of a range that this run of the host has given up; nothing if
  // another run is asked for.
  std::optional<coordination::LedgerExport> ExportLedger(
      const protocol::LedgerExportQuery& query);

  // What callers asked for since the last call, by service.
  std::map<std::string, coordination::LoadReport> TakeLoad();

  // Expires waiting requests and old ids.
  void Tick();

 private:
  // A request that waits for its gate's decision.
  struct Waiter {
    explicit Waiter(const asio::any_io_executor& executor) : timer(executor) {}
    asio::steady_timer timer;
    std::optional<coordination::GateDecision> decision;
  };

  struct Gate {
    explicit Gate(int slots) : gate(slots) {}
    coordination::ServerGate gate;
    std::map<coordination::GateTicket, std::shared_ptr<Waiter>> waiters;
  };

  // The duties and memories that belong to one service.
  struct Service {
    Service(state::BootId boot, state::ServerInstant started);
    state::GrantRegistry grant_registry;
    coordination::RequestLedger ledger;
    coordination::RetryBudget budget;
    coordination::ServerPicker picker;
    coordination::HedgePolicy hedges;
    coordination::LoadSampler sampler;
    std::map<std::string, Gate> gates;
  };

  // The server chosen for an attempt.
  struct Target {
    std::string server;
    state::Fence fence;
  };

  // Two attempts of one request, of which the first to be answered counts.
  struct HedgedAttempts;

  awaitable<AttemptResult> RunLifecycle(RoutedRequest& request);
  awaitable<AttemptResult> AttemptWithHedge(RoutedRequest& request,
                                            const Target& target);
  void StartHedgedAttempt(const std::shared_ptr<HedgedAttempts>& hedged,
                          const RoutedRequest& request,
                          const Target& target);
  awaitable<void> RunHedgedAttempt(std::shared_ptr<HedgedAttempts> hedged,
                                   RoutedRequest request,
                                   Target target);
  awaitable<AttemptResult> AttemptAndRecord(RoutedRequest& request,
                                            const Target& target);
  awaitable<AttemptResult> Attempt(RoutedRequest& request,
                                   const Target& target);
  awaitable<AttemptResult> Forward(RoutedRequest& request,
                                   const std::string& host,
                                   std::string_view duty,
                                   const Target* target);
  awaitable<RunResult> RunWithLedger(RoutedRequest& request);
  awaitable<RunResult> TryLedger(RoutedRequest& request);
  awaitable<RunResult> FinishInLedger(Service& service,
                                      RoutedRequest& request,
                                      AttemptResult result);
  awaitable<coordination::GateDecision> EnterGate(Gate& gate,
                                                  RoutedRequest& request,
                                                  coordination::GateTicket);
  awaitable<AttemptResult> Execute(RoutedRequest& request,
                                   const state::ServerEntry& server,
                                   state::Fence fence);
  awaitable<void> WaitUntil(state::Instant until);
  awaitable<void> FetchLedger(std::string service,
                              coordination::LedgerTransfer transfer);

  Service& ServiceOf(const std::string& name);
  Gate& GateOf(Service& service, const state::ServerEntry& server);
  void Dispatch(Gate& gate,
                const std::vector<coordination::GateDecision>& decisions);
  const protocol::RoutesMessage* RoutesOf(const std::string& service) const;
  const state::ServerEntry* FindServer(const std::string& service,
                                       const std::string& server) const;
  // Says in the log that ids from before now are refused.
  void LogRangesWithoutPredecessor(const state::Order& order);
  std::optional<state::Address> PeerAddress(const std::string& host) const;
  std::optional<Target> Choose(RoutedRequest& request);
  std::vector<std::string> Candidates(const std::string& service) const;
  // The host that has a duty; empty if none is known.
  std::string DutyHolder(const std::string& service, state::KeyHash duty) const;
  bool HoldsDuty(const std::string& service, state::KeyHash duty);

  const asio::any_io_executor executor_;
  const std::string host_;
  Metrics* const metrics_;
  const Logger logger_;
  UpstreamPool pool_;
  HttpClient client_;
  std::shared_ptr<const TrafficView> view_;
  std::mt19937_64 random_;
  const state::BootId boot_;
  const state::ServerInstant started_;
  std::map<std::string, Service> services_;
  coordination::GateTicket next_ticket_ = 1;
  state::Instant last_prune_;
};

// The routing duty of holding the queue in front of a backend server.
state::KeyHash GateDuty(const std::string& server);

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_REQUEST_RUNNER_H_
