// Runs requests: finds the responsible host and backend server, and obtains the
// answer.

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

// A request with the data that routing needs.
struct RoutedRequest {
  std::string service;
  std::string class_name;
  bool idempotent = false;
  std::optional<std::string> key;
  std::optional<coordination::RequestId> id;
  state::Instant arrived;
  state::Instant deadline;
  // The HTTP request as received, without connection-specific and internal
  // header fields.
  UpstreamRequest message;
  // Returns true once another attempt has finished the request, so that this
  // attempt is cancelled. May be empty.
  UpstreamPool::CancelPredicate is_cancelled;

  bool IsCancelled() const { return is_cancelled && is_cancelled(); }
};

// The result of a request, to be written to the caller.
struct RunResult {
  AttemptResult attempt;
  // Set instead of attempt.answer if the answer comes from the ledger and not
  // from a connection.
  std::optional<coordination::StoredAnswer> stored;
};

// Performs the routing duties that are granted to this host: the gates of
// backend servers, and the ledger of request ids. Must be used from one thread.
class RequestRunner {
 public:
  RequestRunner(asio::any_io_executor executor,
                std::string host,
                Metrics* metrics);

  void SetView(std::shared_ptr<const TrafficView> view);
  const TrafficView* view() const { return view_.get(); }

  // Applies an order to this host's duties.
  state::OrderAck ApplyOrder(const state::Order& order);

  // Runs a caller's request. Forwards it if another host holds its duties.
  awaitable<RunResult> RunForCaller(RoutedRequest& request);

  // Runs a request whose id belongs to the ledger of this host. The request may
  // have been forwarded by another host.
  awaitable<RunResult> RunInLedger(RoutedRequest& request);

  // Runs a request through the gate of `server` at this host. The request may
  // have been forwarded by another host.
  awaitable<AttemptResult> RunInGate(RoutedRequest& request,
                                     const std::string& server,
                                     state::Fence fence);

  // Returns the ledger entries of a range that this incarnation of the host has
  // released, or nothing if `query` names another incarnation.
  std::optional<coordination::LedgerExport> ExportLedger(
      const protocol::LedgerExportQuery& query);

  // Returns the load of callers' requests since the last call, by service.
  std::map<std::string, coordination::LoadReport> TakeLoad();

  // Cancels exchanges whose answer is no longer needed, expires requests that
  // wait in a gate, and prunes old ids from the ledgers.
  void Tick();

 private:
  // A request that waits for the decision of its gate. `timer` is cancelled to
  // resume the request when `decision` is set.
  struct Waiter {
    explicit Waiter(const asio::any_io_executor& executor) : timer(executor) {}
    asio::steady_timer timer;
    std::optional<coordination::GateDecision> decision;
  };

  // The gate of one backend server, with the requests that wait in it.
  struct Gate {
    explicit Gate(int slots) : gate(slots) {}
    coordination::ServerGate gate;
    std::map<coordination::GateTicket, std::shared_ptr<Waiter>> waiters;
  };

  // The state of one service: granted duties, ledger, retry and hedge budgets,
  // load statistics and gates.
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

  // The state that the hedged attempts of one request share. The first attempt
  // that is answered gives the result.
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
  // Logs how many ranges `order` grants without a predecessor. Request ids that
  // were issued before now are refused in these ranges.
  void LogRangesWithoutPredecessor(const state::Order& order);
  std::optional<state::Address> PeerAddress(const std::string& host) const;
  std::optional<Target> Choose(RoutedRequest& request);
  std::vector<std::string> Candidates(const std::string& service) const;
  // Returns the host that holds a duty, or an empty text if none is known.
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

// Returns the hash under which the duty of being the gate of a backend server
// is assigned to hosts.
state::KeyHash GateDuty(const std::string& server);

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_REQUEST_RUNNER_H_
