// Implements how a request passes through hosts, gates and backend servers.

#include "transport/request_runner.h"

#include <algorithm>
#include <utility>

#include "platform/backend_protocol.h"
#include "protocol/peer_protocol.h"
#include "transport/clocks.h"

namespace mustardflow::transport {

using coordination::AttemptOutcome;
using coordination::AttemptReason;
using coordination::GateDecision;
using coordination::GateResult;
using coordination::LedgerDecision;
using coordination::NextStep;
using coordination::RequestLifecycle;

namespace {

// The retry budget of each service: the retries that each request adds to it,
// and the maximum that it holds.
constexpr double kRetriesPerRequest = 0.1;
constexpr double kMaxSavedRetries = 20;
// Number of sampled key hashes in a load report, for each service and reporting
// period.
constexpr std::size_t kLoadSamples = 400;
constexpr state::Duration kPrunePeriod = std::chrono::seconds(1);
// Maximum bytes read from the body of a refusal. A connection with a longer
// body is closed and not reused.
constexpr std::size_t kMaxRefusalBytes = 4096;
// Limits for fetching a ledger export from the previous holder of a range.
constexpr std::size_t kMaxLedgerBytes = 64 << 20;
constexpr state::Duration kLedgerTimeout = std::chrono::seconds(1);
constexpr state::Duration kLedgerRetryDelay = std::chrono::milliseconds(20);

std::int64_t RemainingMs(state::Instant deadline) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Now())
      .count();
}

// Reads a body to its end, or up to `limit` bytes. A connection can be reused
// only after its body has been read to the end.
awaitable<std::string> ReadBody(UpstreamAnswer& answer, std::size_t limit) {
  std::string body(limit, '\0');
  std::size_t filled = 0;
  while (!answer.complete() && filled < limit) {
    const auto read =
        co_await answer.Read(body.data() + filled, limit - filled);
    if (!read) {
      break;
    }
    filled += *read;
  }
  body.resize(filled);
  co_return body;
}

// Returns whether `reason` indicates that servers are overloaded.
bool IsOverload(AttemptReason reason) {
  return reason == AttemptReason::kQueueFull ||
         reason == AttemptReason::kServerShed ||
         reason == AttemptReason::kDeadlinePassed;
}

// Returns the grants that `ack` reports as held, with the predecessors that
// `order` names for the same fences.
std::vector<state::Grant> HeldWithPredecessors(const state::Order& order,
                                               const state::OrderAck& ack) {
  std::vector<state::Grant> held = ack.held;
  if (!order.assignment) {
    return held;
  }
  for (state::Grant& grant : held) {
    for (const state::Grant& ordered : order.assignment->grants) {
      if (ordered.fence == grant.fence) {
        grant.predecessor = ordered.predecessor;
      }
    }
  }
  return held;
}

}  // namespace

state::KeyHash GateDuty(const std::string& server) {
  return state::HashKey("gate/" + server);
}

RequestRunner::Service::Service(state::BootId boot,
                                state::ServerInstant started)
    : grant_registry(boot, started),
      ledger(coordination::LedgerLimits()),
      budget(kRetriesPerRequest, kMaxSavedRetries),
      sampler(kLoadSamples) {}

RequestRunner::RequestRunner(asio::any_io_executor executor,
                             std::string host,
                             Metrics* metrics)
    : executor_(std::move(executor)),
      host_(std::move(host)),
      metrics_(metrics),
      logger_("requests"),
      pool_(executor_),
      client_(executor_, kMaxLedgerBytes),
      random_(std::random_device()()),
      boot_(random_()),
      started_(ServerNow()),
      last_prune_(Now()) {}

void RequestRunner::SetView(std::shared_ptr<const TrafficView> view) {
  view_ = std::move(view);
  for (auto& [name, service] : services_) {
    const protocol::RoutesMessage* routes = RoutesOf(name);
    if (!routes) {
      continue;
    }
    for (const state::ServerStatus& status : routes->servers) {
      const auto gate = service.gates.find(status.name);
      if (gate != service.gates.end()) {
        gate->second.gate.RecordBoot(status.boot);
      }
    }
  }
}

state::OrderAck RequestRunner::ApplyOrder(const state::Order& order) {
  Service& service = ServiceOf(order.service);
  const state::OrderAck ack = service.grant_registry.Apply(order, ServerNow());
  if (ack.accepted && order.assignment) {
    LogRangesWithoutPredecessor(order);
  }
  for (coordination::LedgerTransfer& transfer :
       service.ledger.SetGrants(HeldWithPredecessors(order, ack), WallNow())) {
    asio::co_spawn(executor_, FetchLedger(order.service, std::move(transfer)),
                   asio::detached);
  }
  for (auto& [name, gate] : service.gates) {
    if (gate.gate.waiting() > 0 && !HoldsDuty(order.service, GateDuty(name))) {
      Dispatch(gate, gate.gate.RefuseAll());
    }
  }
  return ack;
}

awaitable<void> RequestRunner::FetchLedger(
    std::string service,
    coordination::LedgerTransfer transfer) {
  const std::string prefix = HostMemberName("");
  const std::string host = transfer.predecessor.member.substr(prefix.size());
  const state::Instant end = Now() + kLedgerTimeout;
  std::optional<coordination::LedgerExport> ledger_export;
  while (!ledger_export && Now() < end) {
    const std::string target = protocol::FormatLedgerExportTarget(
        {service, transfer.range, transfer.predecessor.boot});
    const auto address = PeerAddress(host);
    if (address) {
      const auto reply = co_await client_.Send(*address, http::verb::get,
                                               target, "", kLedgerTimeout);
      if (reply && reply.value().ok()) {
        ledger_export = protocol::DecodeLedgerExport(reply.value().body);
      }
    }
    // Retries, because a host that has just started may not know the addresses
    // of its peers yet.
    if (!ledger_export) {
      co_await WaitUntil(Now() + kLedgerRetryDelay);
    }
  }
  coordination::RequestLedger& ledger = ServiceOf(service).ledger;
  if (ledger_export) {
    ledger.Import(transfer, std::move(*ledger_export));
  } else {
    logger_.Warning("The request ledger of " + service + " at " + host +
                    " could not be fetched; request ids that were issued "
                    "before now are refused.");
    ledger.AbandonTransfer(transfer);
  }
}

void RequestRunner::LogRangesWithoutPredecessor(const state::Order& order) {
  const auto without_predecessor = std::count_if(
      order.assignment->grants.begin(), order.assignment->grants.end(),
      [](const state::Grant& grant) {
        return !grant.continued && grant.predecessor.member.empty();
      });
  if (without_predecessor > 0) {
    logger_.Info("The host takes over " + std::to_string(without_predecessor) +
                 " ranges of " + order.service +
                 " without a predecessor; request ids that were issued before "
                 "now are refused.");
  }
}

std::optional<state::Address> RequestRunner::PeerAddress(
    const std::string& host) const {
  if (!view_) {
    return std::nullopt;
  }
  const auto entry = view_->hosts.find(host);
  if (entry == view_->hosts.end()) {
    return std::nullopt;
  }
  return entry->second.peers;
}

std::optional<coordination::LedgerExport> RequestRunner::ExportLedger(
    const protocol::LedgerExportQuery& query) {
  if (query.boot != boot_) {
    return std::nullopt;
  }
  return ServiceOf(query.service).ledger.Export(query.range);
}

std::map<std::string, coordination::LoadReport> RequestRunner::TakeLoad() {
  std::map<std::string, coordination::LoadReport> reports;
  for (auto& [name, service] : services_) {
    coordination::LoadReport report = service.sampler.Take();
    if (report.requests > 0) {
      reports[name] = std::move(report);
    }
  }
  return reports;
}

void RequestRunner::Tick() {
  pool_.Tick();
  for (auto& [service_name, service] : services_) {
    for (auto& [name, gate] : service.gates) {
      if (gate.gate.waiting() > 0) {
        Dispatch(gate, gate.gate.Tick(Now()));
      }
    }
  }
  if (Now() - last_prune_ < kPrunePeriod) {
    return;
  }
  last_prune_ = Now();
  for (auto& [name, service] : services_) {
    service.ledger.Prune(WallNow());
  }
}

awaitable<RunResult> RequestRunner::RunForCaller(RoutedRequest& request) {
  if (request.key) {
    ServiceOf(request.service)
        .sampler.Record(state::HashKey(*request.key), random_());
  }
  if (request.id && !request.idempotent) {
    co_return co_await RunWithLedger(request);
  }
  RunResult result;
  result.attempt = co_await RunLifecycle(request);
  co_return result;
}

// Runs a request at the host whose ledger is responsible for its id. Looks the
// host up again for each attempt, since the duty may move to another host.
awaitable<RunResult> RequestRunner::RunWithLedger(RoutedRequest& request) {
  RequestLifecycle lifecycle(false, request.deadline,
                             &ServiceOf(request.service).budget);
  NextStep step = lifecycle.Begin(Now());
  while (true) {
    if (const auto* wait = std::get_if<coordination::WaitForRoute>(&step)) {
      co_await WaitUntil(wait->until);
      step = lifecycle.HandleWaitElapsed(Now());
      continue;
    }
    if (const auto* failure = std::get_if<coordination::ReportFailure>(&step)) {
      co_return RunResult{Failed(failure->end, failure->reason), std::nullopt};
    }
    RunResult result = co_await TryLedger(request);
    if (result.stored) {
      co_return result;
    }
    step = lifecycle.HandleAttemptEnd(Now(), result.attempt.end,
                                      result.attempt.reason);
    if (std::holds_alternative<coordination::ReturnAnswer>(step)) {
      co_return result;
    }
  }
}

awaitable<RunResult> RequestRunner::TryLedger(RoutedRequest& request) {
  const std::string host = DutyHolder(request.service, request.id->hash());
  if (host == host_) {
    co_return co_await RunInLedger(request);
  }
  RunResult result;
  if (host.empty()) {
    result.attempt = Failed(AttemptOutcome::kNotRun, AttemptReason::kNoRoute);
  } else {
    result.attempt =
        co_await Forward(request, host, protocol::kLedgerDuty, nullptr);
  }
  co_return result;
}

awaitable<RunResult> RequestRunner::RunInLedger(RoutedRequest& request) {
  const state::KeyHash duty = request.id->hash();
  if (!HoldsDuty(request.service, duty)) {
    co_return RunResult{
        Failed(AttemptOutcome::kNotRun, AttemptReason::kDutyMoved),
        std::nullopt};
  }
  Service& service = ServiceOf(request.service);
  switch (service.ledger.Begin(*request.id, WallNow())) {
    case LedgerDecision::kRun:
      break;
    case LedgerDecision::kInProgress:
      co_return RunResult{
          Failed(AttemptOutcome::kUnknown, AttemptReason::kDuplicateInProgress),
          std::nullopt};
    case LedgerDecision::kAnswered:
      co_return RunResult{AttemptResult{AttemptOutcome::kAnswered,
                                        AttemptReason::kNone, nullptr},
                          *service.ledger.FindAnswer(*request.id)};
    case LedgerDecision::kWait:
      co_return RunResult{
          Failed(AttemptOutcome::kNotRun, AttemptReason::kDutyMoved),
          std::nullopt};
    case LedgerDecision::kMayHaveRun:
    case LedgerDecision::kEarlierUnknown:
    case LedgerDecision::kCreatedInFuture:
      co_return RunResult{
          Failed(AttemptOutcome::kUnknown, AttemptReason::kEarlierUnknown),
          std::nullopt};
  }
  service.grant_registry.BeginWork(duty);
  AttemptResult attempt = co_await RunLifecycle(request);
  RunResult result =
      co_await FinishInLedger(service, request, std::move(attempt));
  service.grant_registry.EndWork(duty);
  co_return result;
}

awaitable<RunResult> RequestRunner::FinishInLedger(Service& service,
                                                   RoutedRequest& request,
                                                   AttemptResult result) {
  if (result.end == AttemptOutcome::kNotRun) {
    service.ledger.FinishNotRun(*request.id);
    co_return RunResult{std::move(result), std::nullopt};
  }
  const std::size_t limit = coordination::LedgerLimits().max_stored_body_bytes;
  const auto length =
      result.answer ? result.answer->content_length() : std::nullopt;
  if (!length || *length > limit) {
    service.ledger.FinishUnknown(*request.id);
    co_return RunResult{std::move(result), std::nullopt};
  }
  coordination::StoredAnswer stored;
  stored.status = static_cast<int>(result.answer->header().result_int());
  stored.content_type =
      std::string(result.answer->header()[http::field::content_type]);
  stored.body = co_await ReadBody(*result.answer, limit + 1);
  if (!result.answer->complete()) {
    service.ledger.FinishUnknown(*request.id);
    co_return RunResult{
        Failed(AttemptOutcome::kUnknown, AttemptReason::kConnectionBroken),
        std::nullopt};
  }
  result.answer.reset();
  service.ledger.FinishAnswered(*request.id, stored);
  co_return RunResult{std::move(result), std::move(stored)};
}

awaitable<AttemptResult> RequestRunner::RunLifecycle(RoutedRequest& request) {
  Service& service = ServiceOf(request.service);
  RequestLifecycle lifecycle(request.idempotent, request.deadline,
                             &service.budget);
  NextStep step = lifecycle.Begin(Now());
  bool first = true;
  while (true) {
    if (const auto* wait = std::get_if<coordination::WaitForRoute>(&step)) {
      co_await WaitUntil(wait->until);
      step = lifecycle.HandleWaitElapsed(Now());
      continue;
    }
    if (const auto* failure = std::get_if<coordination::ReportFailure>(&step)) {
      co_return Failed(failure->end, failure->reason);
    }
    const auto target = Choose(request);
    if (!target) {
      step = lifecycle.HandleNoRoute(Now());
      continue;
    }
    if (!first) {
      metrics_->CountRetry(request.service);
    }
    first = false;
    // Not written as a conditional expression, because the compiler mishandles
    // co_await in conditional expressions.
    AttemptResult result;
    if (request.idempotent && !request.key) {
      result = co_await AttemptWithHedge(request, *target);
    } else {
      result = co_await AttemptAndRecord(request, *target);
    }
    step = lifecycle.HandleAttemptEnd(Now(), result.end, result.reason);
    if (std::holds_alternative<coordination::ReturnAnswer>(step)) {
      co_return result;
    }
  }
}

struct RequestRunner::HedgedAttempts {
  explicit HedgedAttempts(const asio::any_io_executor& executor)
      : timer(executor) {}

  // Cancelled when an attempt has ended, to resume the waiting request.
  asio::steady_timer timer;
  AttemptResult result;
  // Number of attempts that have not ended.
  int running = 0;
  // Whether the result is final. Attempts that still run are then cancelled.
  bool finished = false;
};

// Runs an attempt. Starts a second attempt at another server if the first one
// has no answer after the hedge delay of its class and the hedge budget allows
// it.
awaitable<AttemptResult> RequestRunner::AttemptWithHedge(RoutedRequest& request,
                                                         const Target& target) {
  Service& service = ServiceOf(request.service);
  const auto hedged = std::make_shared<HedgedAttempts>(executor_);
  const state::Instant started = Now();
  StartHedgedAttempt(hedged, request, target);
  // The attempt may have ended already, because it was refused.
  if (hedged->running > 0) {
    hedged->timer.expires_after(service.hedges.Delay(request.class_name));
    co_await hedged->timer.async_wait(kNoThrow);
  }
  if (!hedged->finished && hedged->running > 0) {
    const auto second = Choose(request);
    if (second && second->server != target.server &&
        service.hedges.Withdraw()) {
      metrics_->CountHedge(request.service);
      StartHedgedAttempt(hedged, request, *second);
    }
  }
  while (!hedged->finished && hedged->running > 0) {
    hedged->timer.expires_at(asio::steady_timer::time_point::max());
    co_await hedged->timer.async_wait(kNoThrow);
  }
  hedged->finished = true;
  service.hedges.RecordDuration(request.class_name, Now() - started);
  co_return std::move(hedged->result);
}

void RequestRunner::StartHedgedAttempt(
    const std::shared_ptr<HedgedAttempts>& hedged,
    const RoutedRequest& request,
    const Target& target) {
  ++hedged->running;
  RoutedRequest copy = request;
  copy.is_cancelled = [hedged] { return hedged->finished; };
  asio::co_spawn(executor_, RunHedgedAttempt(hedged, std::move(copy), target),
                 asio::detached);
}

awaitable<void> RequestRunner::RunHedgedAttempt(
    std::shared_ptr<HedgedAttempts> hedged,
    RoutedRequest request,
    Target target) {
  AttemptResult result = co_await AttemptAndRecord(request, target);
  --hedged->running;
  if (hedged->finished) {
    co_return;
  }
  hedged->finished = result.end == AttemptOutcome::kAnswered;
  // The outcome kUnknown takes precedence over kNotRun: if either attempt may
  // have been run, the request may have been run.
  const bool has_lower_precedence =
      hedged->result.end == AttemptOutcome::kUnknown &&
      result.end == AttemptOutcome::kNotRun;
  if (!has_lower_precedence) {
    hedged->result = std::move(result);
  }
  hedged->timer.cancel();
}

awaitable<AttemptResult> RequestRunner::AttemptAndRecord(RoutedRequest& request,
                                                         const Target& target) {
  coordination::ServerPicker& picker = ServiceOf(request.service).picker;
  const state::Instant sent = Now();
  picker.RecordSent(sent, target.server);
  AttemptResult result = co_await Attempt(request, target);
  if (IsOverload(result.reason)) {
    ServiceOf(request.service).hedges.RecordRefusal();
  }
  const bool failed =
      result.end != AttemptOutcome::kAnswered && !request.IsCancelled();
  picker.RecordDone(Now(), target.server, sent, failed);
  co_return result;
}

awaitable<AttemptResult> RequestRunner::Attempt(RoutedRequest& request,
                                                const Target& target) {
  const std::string host = DutyHolder(request.service, GateDuty(target.server));
  if (host.empty()) {
    co_return Failed(AttemptOutcome::kNotRun, AttemptReason::kNoRoute);
  }
  if (host == host_) {
    co_return co_await RunInGate(request, target.server, target.fence);
  }
  co_return co_await Forward(request, host, protocol::kGateDuty, &target);
}

awaitable<AttemptResult> RequestRunner::Forward(RoutedRequest& request,
                                                const std::string& host,
                                                std::string_view duty,
                                                const Target* target) {
  const auto address = PeerAddress(host);
  if (!address) {
    co_return Failed(AttemptOutcome::kNotRun, AttemptReason::kNoRoute);
  }
  const std::int64_t remaining = RemainingMs(request.deadline);
  if (remaining <= 0) {
    co_return Failed(AttemptOutcome::kNotRun, AttemptReason::kDeadlinePassed);
  }
  UpstreamRequest message = request.message;
  message.set(protocol::kDutyField, duty);
  message.set(protocol::kServiceField, request.service);
  message.set(protocol::kClassField, request.class_name);
  message.set(protocol::kDeadlineField, std::to_string(remaining));
  if (request.key) {
    message.set(protocol::kKeyField, *request.key);
  }
  if (target) {
    message.set(protocol::kServerField, target->server);
    message.set(platform::kFenceField, platform::FormatFence(target->fence));
  }
  const auto use =
      request.idempotent ? ConnectionUse::kReuse : ConnectionUse::kFresh;
  // A host that has lost the duty may be paused and never answer. An idempotent
  // request is then cancelled, so that it can be sent to the new holder of the
  // duty.
  const state::KeyHash duty_hash =
      target ? GateDuty(target->server)
             : (request.id ? request.id->hash() : state::KeyHash());
  UpstreamPool::CancelPredicate is_cancelled;
  if (request.idempotent) {
    is_cancelled = [this, &request, host, duty_hash] {
      const std::string holder = DutyHolder(request.service, duty_hash);
      return request.IsCancelled() || (!holder.empty() && holder != host);
    };
  }
  AttemptResult result = co_await pool_.Exchange(
      *address, message, request.deadline, use, std::move(is_cancelled));
  if (result.end != AttemptOutcome::kAnswered) {
    co_return result;
  }
  const auto& header = result.answer->header();
  const std::string outcome(header[protocol::kOutcomeField]);
  const AttemptReason reason = coordination::AttemptReasonFromName(
      std::string(header[protocol::kReasonField]));
  if (outcome == AttemptOutcomeName(AttemptOutcome::kAnswered)) {
    co_return result;
  }
  co_await ReadBody(*result.answer, kMaxRefusalBytes);
  if (outcome == AttemptOutcomeName(AttemptOutcome::kNotRun)) {
    co_return Failed(AttemptOutcome::kNotRun, reason);
  }
  if (outcome == AttemptOutcomeName(AttemptOutcome::kUnknown)) {
    co_return Failed(AttemptOutcome::kUnknown, reason);
  }
  co_return Failed(AttemptOutcome::kUnknown, AttemptReason::kBadAnswer);
}

awaitable<AttemptResult> RequestRunner::RunInGate(RoutedRequest& request,
                                                  const std::string& server,
                                                  state::Fence fence) {
  const state::KeyHash duty = GateDuty(server);
  if (!HoldsDuty(request.service, duty)) {
    co_return Failed(AttemptOutcome::kNotRun, AttemptReason::kDutyMoved);
  }
  const auto view = view_;
  const state::ServerEntry* entry = FindServer(request.service, server);
  if (!entry) {
    co_return Failed(AttemptOutcome::kNotRun, AttemptReason::kNoRoute);
  }
  Gate& gate = GateOf(ServiceOf(request.service), *entry);
  const coordination::GateTicket ticket = next_ticket_++;
  const GateDecision decision = co_await EnterGate(gate, request, ticket);
  if (decision.kind == GateDecision::Kind::kRefuse) {
    co_return Failed(AttemptOutcome::kNotRun, decision.reason);
  }
  if (request.IsCancelled() || !HoldsDuty(request.service, duty)) {
    Dispatch(gate, gate.gate.HandleDone(Now(), ticket, GateResult::kFailed,
                                        state::Duration(0)));
    co_return Failed(AttemptOutcome::kNotRun, AttemptReason::kDutyMoved);
  }
  const state::Instant sent = Now();
  AttemptResult result = co_await Execute(request, *entry, fence);
  if (result.end == AttemptOutcome::kAnswered) {
    result.answer->OnClose([this, &gate, ticket, sent](bool complete) {
      const auto kind = complete ? GateResult::kCompleted : GateResult::kFailed;
      Dispatch(gate, gate.gate.HandleDone(Now(), ticket, kind, Now() - sent));
    });
    co_return result;
  }
  const auto kind = result.reason == AttemptReason::kServerShed
                        ? GateResult::kShed
                        : GateResult::kFailed;
  Dispatch(gate, gate.gate.HandleDone(Now(), ticket, kind, Now() - sent));
  co_return result;
}

awaitable<GateDecision> RequestRunner::EnterGate(
    Gate& gate,
    RoutedRequest& request,
    coordination::GateTicket ticket) {
  const auto waiter = std::make_shared<Waiter>(executor_);
  waiter->timer.expires_at(asio::steady_timer::time_point::max());
  gate.waiters[ticket] = waiter;
  Dispatch(gate, gate.gate.Submit(Now(), ticket, request.class_name,
                                  request.deadline));
  while (!waiter->decision) {
    co_await waiter->timer.async_wait(kNoThrow);
  }
  co_return *waiter->decision;
}

void RequestRunner::Dispatch(Gate& gate,
                             const std::vector<GateDecision>& decisions) {
  for (const GateDecision& decision : decisions) {
    const auto found = gate.waiters.find(decision.ticket);
    if (found == gate.waiters.end()) {
      continue;
    }
    found->second->decision = decision;
    found->second->timer.cancel();
    gate.waiters.erase(found);
  }
}

awaitable<AttemptResult> RequestRunner::Execute(
    RoutedRequest& request,
    const state::ServerEntry& server,
    state::Fence fence) {
  const std::int64_t remaining = RemainingMs(request.deadline);
  if (remaining <= 0) {
    co_return Failed(AttemptOutcome::kNotRun, AttemptReason::kDeadlinePassed);
  }
  UpstreamRequest message = request.message;
  const std::string exchange = std::to_string(random_());
  message.set(platform::kExchangeField, exchange);
  message.set(platform::kDeadlineField, std::to_string(remaining));
  if (request.key) {
    message.set(platform::kKeyField, *request.key);
    message.set(platform::kFenceField, platform::FormatFence(fence));
  }
  const auto use =
      request.idempotent ? ConnectionUse::kReuse : ConnectionUse::kFresh;
  AttemptResult result = co_await pool_.Exchange(
      server.address, message, request.deadline, use, request.is_cancelled);
  if (result.end != AttemptOutcome::kAnswered) {
    co_return result;
  }
  const auto& header = result.answer->header();
  const std::string echoed(header[platform::kExchangeField]);
  if (!echoed.empty() && echoed != exchange) {
    co_return Failed(AttemptOutcome::kUnknown, AttemptReason::kBadAnswer);
  }
  const auto not_run = header.find(platform::kNotRunField);
  if (not_run == header.end()) {
    co_return result;
  }
  const AttemptReason reason =
      platform::ReasonFromNotRun(std::string(not_run->value()));
  co_await ReadBody(*result.answer, kMaxRefusalBytes);
  co_return Failed(AttemptOutcome::kNotRun, reason);
}

awaitable<void> RequestRunner::WaitUntil(state::Instant until) {
  asio::steady_timer timer(executor_);
  timer.expires_after(until - Now());
  co_await timer.async_wait(kNoThrow);
}

RequestRunner::Service& RequestRunner::ServiceOf(const std::string& name) {
  return services_.try_emplace(name, boot_, started_).first->second;
}

RequestRunner::Gate& RequestRunner::GateOf(Service& service,
                                           const state::ServerEntry& server) {
  const auto [position, inserted] =
      service.gates.try_emplace(server.name, server.slots);
  Gate& gate = position->second;
  gate.gate.SetSlots(server.slots);
  return gate;
}

const protocol::RoutesMessage* RequestRunner::RoutesOf(
    const std::string& service) const {
  if (!view_) {
    return nullptr;
  }
  const auto found = view_->routes.find(service);
  return found == view_->routes.end() ? nullptr : found->second.get();
}

const state::ServerEntry* RequestRunner::FindServer(
    const std::string& service,
    const std::string& server) const {
  if (!view_ || !view_->config) {
    return nullptr;
  }
  const auto found = view_->config->services.find(service);
  if (found == view_->config->services.end()) {
    return nullptr;
  }
  // A server that is no longer in the document may still be handing its keys
  // off.
  for (const auto* servers :
       {&found->second.document.servers, &found->second.established_servers}) {
    const auto entry =
        std::find_if(servers->begin(), servers->end(),
                     [&](const auto& each) { return each.name == server; });
    if (entry != servers->end()) {
      return &*entry;
    }
  }
  return nullptr;
}

std::optional<RequestRunner::Target> RequestRunner::Choose(
    RoutedRequest& request) {
  const protocol::RoutesMessage* routes = RoutesOf(request.service);
  if (!routes || routes->routes.keys.empty()) {
    return std::nullopt;
  }
  if (request.key) {
    const state::SliceView slice =
        routes->routes.keys.Find(state::HashKey(*request.key));
    if (slice.server.empty()) {
      return std::nullopt;
    }
    return Target{std::string(slice.server), slice.fence};
  }
  const auto server =
      ServiceOf(request.service)
          .picker.Pick(Now(), Candidates(request.service), random_());
  if (!server) {
    return std::nullopt;
  }
  return Target{*server, state::Fence()};
}

// Returns the servers that answer their coordinator and whose zone is in
// service.
std::vector<std::string> RequestRunner::Candidates(
    const std::string& service) const {
  std::vector<std::string> candidates;
  for (const state::ServerStatus& status : RoutesOf(service)->servers) {
    const state::ServerEntry* entry = FindServer(service, status.name);
    if (!entry || !status.answering) {
      continue;
    }
    const auto zone = view_->config->zones.find(entry->zone);
    if (zone == view_->config->zones.end() || zone->second.in_service) {
      candidates.push_back(status.name);
    }
  }
  return candidates;
}

std::string RequestRunner::DutyHolder(const std::string& service,
                                      state::KeyHash duty) const {
  const protocol::RoutesMessage* routes = RoutesOf(service);
  if (!routes || routes->routes.routing.empty()) {
    return {};
  }
  const std::string member(routes->routes.routing.Find(duty).server);
  const std::string prefix = HostMemberName("");
  return member.empty() ? member : member.substr(prefix.size());
}

bool RequestRunner::HoldsDuty(const std::string& service, state::KeyHash duty) {
  return ServiceOf(service)
      .grant_registry.AcceptingFence(duty, ServerNow())
      .has_value();
}

}  // namespace mustardflow::transport
