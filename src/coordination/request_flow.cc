// Processes each request from its arrival to its outcome.

#include "coordination/request_flow.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace mustardflow::coordination {

using state::Duration;
using state::Instant;

namespace {

// An attempt to connect times out after this time. A round trip to the farthest
// zone takes a tenth of it.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);
// A request is refused after this many failed connections.
constexpr int kMaxFailedConnections = 3;
// How long a request waits until its key has an owner: the default, or this
// fraction of the target latency if that is longer, but at most a third of the
// time until the deadline. The default covers a planned move of keys with short
// requests. Where the target latency is high, requests take longer, and so does
// the drain of the moving keys.
constexpr Duration kDefaultOwnerWait = std::chrono::milliseconds(400);
constexpr double kOwnerWaitTargetFraction = 0.5;
// The fractions of the retry bounds that the hosts use. The rest is a margin:
// the bounds also hold over sliding time windows, and a new host is not counted
// at once.
constexpr double kUsedRetryRatioFraction = 0.8;
constexpr double kUsedRetrySlackFraction = 0.8;
// A gate whose connection failed, or that did not answer as one, is bypassed
// for this time. The leader assigns the servers of a lost host to other gates
// within two seconds.
constexpr Duration kGateBlockTime = std::chrono::seconds(1);
// The retry delay of refused callers if there is no better estimate, and the
// retry delay if there is no server or the key has no owner.
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(250);
constexpr Duration kNoServerRetryAfter = std::chrono::milliseconds(500);
// The longest retry delay while the owner of the key wants no requests: during
// a long pause, the key moves to another server within about this time.
constexpr Duration kMaxPauseRetryAfter = std::chrono::seconds(1);
// Refuse() reduces the delay by up to a quarter; callers come back only after
// the pause.
constexpr double kPauseMargin = 4.0 / 3;
// The retry delay if the server refuses at random: a later attempt is no more
// likely to succeed than one at once.
constexpr Duration kRandomRefusalRetryAfter = std::chrono::milliseconds(50);
// A request is refused if its expected latency exceeds this multiple of the
// target latency. The factor is above 1 because a late response still has some
// value. A higher factor would let queues fill up, which delays every request.
constexpr double kMaxTargetFactor = 1.4;
// A request is refused if its expected latency exceeds this multiple of the
// time left until the deadline. The factor is above 1 because the actual
// latency is between half and twice the expected one.
constexpr double kMaxDeadlineFactor = 1.6;
// A request that may be retried is hedged, that is, sent to a second server
// while the first attempt is in progress, after this multiple of the expected
// latency, but not before the minimum delay.
constexpr double kHedgeDelayFactor = 3.0;
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(60);
// Late responses reduce the LateWindow limits of a service, added up over all
// hosts, to no less than this fraction of the service's slots.
constexpr double kMinSlotFraction = 0.6;
constexpr Duration kPruneInterval = std::chrono::seconds(5);
// Where requests are admitted by priority, the expected latency does not limit
// the selection of a server.
constexpr Duration kUnlimitedLatency = std::chrono::minutes(10);
// The priority of requests whose priority is not known: that of a route without
// one.
constexpr int kDefaultPriority = 0;
// How many attempts of one request count as evidence that it crashes servers.
// A request that is retried beside one that crashes servers may follow it from
// server to server.
constexpr int kMaxUnansweredAttempts = 2;
// An attempt is started only if at least this time is left until the
// deadline.
constexpr Duration kMinSendTime = std::chrono::milliseconds(15);

Duration Scale(Duration span, double factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(span.count()) * factor));
}

// Maps the result of an attempt to the result that ServerPool records.
ServerResult ResultForPool(SendResult result) {
  switch (result) {
    case SendResult::kNotConnected:
      return ServerResult::kUnreachable;
    case SendResult::kLost:
      return ServerResult::kBroken;
    case SendResult::kNotOwner:
      return ServerResult::kCancelled;
    case SendResult::kRefused:
      return ServerResult::kRefused;
    case SendResult::kAnswered:
      return ServerResult::kAnswered;
    case SendResult::kFailed:
    case SendResult::kUntrusted:
    case SendResult::kGateRefused:
    case SendResult::kGateRejected:
    case SendResult::kGateUnknown:
    case SendResult::kGateTimedOut:
      break;
  }
  return ServerResult::kFailed;
}

int PriorityOf(const RequestTerms& terms) {
  return terms.priority.value_or(kDefaultPriority);
}

// The event that is logged for the result; empty if none is.
std::string_view EventFor(SendResult result) {
  switch (result) {
    case SendResult::kNotConnected:
      return "attempt-unreachable";
    case SendResult::kLost:
      return "attempt-lost";
    case SendResult::kUntrusted:
      return "attempt-untrusted";
    case SendResult::kNotOwner:
    case SendResult::kRefused:
      return "attempt-not-run";
    case SendResult::kGateRejected:
      return "gate-rejected";
    case SendResult::kGateUnknown:
      return "gate-unknown";
    case SendResult::kGateRefused:
    case SendResult::kGateTimedOut:
    case SendResult::kAnswered:
    case SendResult::kFailed:
      break;
  }
  return "";
}

// Indexed by RequestPlace.
constexpr std::array<std::string_view, 5> kPlaceNames = {
    "ended", "waiting", "connecting", "at-gate", "at-server"};

}  // namespace

std::string_view RequestPlaceName(RequestPlace place) {
  return kPlaceNames[static_cast<std::size_t>(place)];
}

RequestFlow::RequestFlow(const state::RoutingView& view,
                         ServerPool& pool,
                         const state::ServiceBounds& bounds,
                         std::function<double()> random)
    : view_(view),
      pool_(pool),
      bounds_(bounds),
      random_(std::move(random)),
      crash_watch_(pool) {}

FlowActions RequestFlow::Start(Instant now, RequestId id, RequestTerms terms) {
  FlowActions actions;
  Request& request = requests_[id];
  request.id = id;
  request.terms = std::move(terms);
  TrySend(now, &request, &actions);
  DispatchWaiting(now, &actions);
  return actions;
}

RequestFlow::Request* RequestFlow::Find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

Duration RequestFlow::MaxExpectedLatency(Instant now,
                                         const Request& request) const {
  if (admission_) {
    return kUnlimitedLatency;
  }
  const Duration left = request.terms.end - now - kMinSendTime;
  return std::min(Scale(left, kMaxDeadlineFactor),
                  Scale(request.terms.target_latency, kMaxTargetFactor));
}

std::optional<state::Address> RequestFlow::GateFor(
    Instant now,
    const Request& request,
    const state::ServerIncarnation& server) const {
  const auto gate = view_.table.gates.find(server.id);
  if (request.terms.forwarded || request.bypasses_gates ||
      gate == view_.table.gates.end() || gate->second == own_gate_) {
    return std::nullopt;
  }
  const auto blocked = blocked_gates_.find(gate->second);
  if (blocked != blocked_gates_.end() && now < blocked->second) {
    return std::nullopt;
  }
  return gate->second;
}

void RequestFlow::SendToGate(Instant now,
                             Request* request,
                             const state::ServerIncarnation& server,
                             const state::Address& gate,
                             FlowActions* actions) {
  request->waiting_since.reset();
  if (admission_) {
    // A request that waits is refused at the end of its wait, which would be
    // false once a gate has it.
    admission_->Leave(request->id);
  }
  Attempt attempt;
  attempt.id = ++last_attempt_;
  attempt.server = server;
  attempt.gate = gate;
  attempt.sent = now;
  ++request->sends;
  request->attempts.push_back(attempt);
  RecordTrialSend(now, *request);
  SendAttempt send;
  send.request = request->id;
  send.attempt = attempt.id;
  send.server.incarnation = server;
  send.gate = gate;
  send.fresh_connection_only = !state::MayRetry(request->terms.kind);
  send.trial = request->trial;
  actions->emplace_back(std::move(send));
}

void RequestFlow::HandleGateAnswer(Instant now,
                                   Request* request,
                                   const Attempt& attempt,
                                   SendResult result,
                                   std::optional<Duration> retry_after,
                                   FlowActions* actions) {
  const RequestId id = request->id;
  const std::string& server = attempt.server.id;
  switch (result) {
    case SendResult::kNotConnected:
    case SendResult::kLost:
    case SendResult::kUntrusted:
      blocked_gates_[*attempt.gate] = now + kGateBlockTime;
      request->bypasses_gates = true;
      if (result == SendResult::kNotConnected) {
        HandleNotConnected(now, request, actions);
      } else {
        request->may_have_run = true;
        HandleLost(now, request, actions);
      }
      return;
    case SendResult::kAnswered:
      End(now, request,
          {id, RequestOutcome::kAnswered, "", Duration(0), 0, server}, actions);
      return;
    case SendResult::kFailed:
      End(now, request,
          {id, RequestOutcome::kFailed, "", Duration(0), 0, server}, actions);
      return;
    case SendResult::kGateRefused:
      Refuse(now, request, "gate", retry_after.value_or(kDefaultRetryAfter),
             actions, server);
      return;
    case SendResult::kGateRejected:
      // As without a connection: the gate has sent nothing to the server.
      request->bypasses_gates = true;
      HandleNotConnected(now, request, actions);
      return;
    case SendResult::kGateTimedOut:
      request->may_have_run = true;
      End(now, request,
          {id, RequestOutcome::kTimedOut, "", Duration(0), 0, server}, actions);
      return;
    case SendResult::kGateUnknown:
    case SendResult::kNotOwner:
    case SendResult::kRefused:
      break;
  }
  request->may_have_run = true;
  End(now, request,
      {id, RequestOutcome::kUnknown, "gate", Duration(0), 0, server}, actions);
}

void RequestFlow::TrySend(Instant now, Request* request, FlowActions* actions) {
  const RequestTerms& terms = request->terms;
  if (now + kMinSendTime >= terms.end) {
    HandleDeadline(now, request, actions);
    return;
  }
  if (IsRefusedForCrashes(now, request)) {
    crashing_refused_ += request->may_have_run ? 0 : 1;
    Refuse(
        now, request, kCrashesServersReason,
        Scale(crash_watch_.RetryAfter(now, *terms.fingerprint), kPauseMargin),
        actions);
    return;
  }
  std::variant<ServerChoice, NoServerReason> choice =
      NoServerReason::kLateWindow;
  std::string by = terms.service;
  const Duration max_expected = MaxExpectedLatency(now, *request);
  if (terms.key) {
    const auto ranges = view_.table.services.find(terms.service);
    const state::OwnedRange* range =
        ranges == view_.table.services.end()
            ? nullptr
            : state::FindRange(ranges->second, *terms.key);
    const std::pair table(view_.table.term, view_.table.revision);
    if (range == nullptr || !range->serving || request->stale_table == table) {
      WaitForOwner(now, request, actions);
      return;
    }
    if (const auto gate = GateFor(now, *request, range->holder)) {
      if (WithdrawRetry(*request)) {
        SendToGate(now, request, range->holder, *gate, actions);
      } else {
        Refuse(now, request, "retry-budget", kDefaultRetryAfter, actions);
      }
      return;
    }
    by = range->holder.id;
    if (admission_ && !admission_->IsWaiting(request->id)) {
      EnterQueue(now, request, by);
      return;
    }
    choice = pool_.Check(now, range->holder, max_expected, terms.route);
  } else if (admission_ && !admission_->IsWaiting(request->id)) {
    EnterQueue(now, request, by);
    return;
  } else if (HasRoom(terms)) {
    choice = pool_.Choose(now, {terms.service, &request->tried, max_expected,
                                terms.large, terms.route});
  }
  if (admission_) {
    Admit(now, request, by, choice, actions);
  } else {
    SendOrRefuse(now, request, by, choice, actions);
  }
}

bool RequestFlow::IsRefusedForCrashes(Instant now, Request* request) const {
  const RequestTerms& terms = request->terms;
  if (!terms.fingerprint || !crash_watch_.IsRefused(now, *terms.fingerprint)) {
    return false;
  }
  // A trial has one attempt, or another one if no server got the first. The
  // forwarding host has recorded its trial.
  const bool goes_on = request->trial && request->failed_connections > 0;
  request->trial = request->sends == 0 &&
                   (goes_on || terms.trial ||
                    crash_watch_.IsTrialOpen(now, *terms.fingerprint));
  return !request->trial;
}

void RequestFlow::RecordTrialSend(Instant now, const Request& request) {
  if (request.trial && request.sends == 1 && request.failed_connections == 0 &&
      !request.terms.forwarded) {
    crash_watch_.RecordTrial(now, *request.terms.fingerprint);
  }
}

void RequestFlow::RecordUnanswered(Instant now,
                                   Request* request,
                                   const Attempt& attempt,
                                   CrashWatch::End end) {
  if (request->terms.fingerprint && !attempt.gate &&
      request->unanswered < kMaxUnansweredAttempts) {
    ++request->unanswered;
    crash_watch_.RecordUnanswered(now, *request->terms.fingerprint,
                                  attempt.server, end);
  }
}

bool RequestFlow::HasRoom(const RequestTerms& terms) {
  const ServiceState& service = services_[terms.service];
  return admission_ ? service.priority_windows.HasRoom(PriorityOf(terms))
                    : service.window.HasRoom(service.in_flight);
}

admission::RequestFigures RequestFlow::FiguresOf(
    Instant now,
    const RequestTerms& terms) const {
  return {
      terms.route,          PriorityOf(terms),
      terms.received,       terms.end,
      terms.target_latency, pool_.KindWork(now, terms.service, terms.route)};
}

void RequestFlow::EnterQueue(Instant now,
                             Request* request,
                             const std::string& queue) {
  request->waiting_since.reset();
  const bool is_new = !std::exchange(request->counted, true);
  admission_->Enter(now, request->id, queue, FiguresOf(now, request->terms),
                    is_new);
}

void RequestFlow::RefuseWaiting(Instant now,
                                RequestId id,
                                std::string_view reason,
                                FlowActions* actions) {
  if (Request* request = Find(id)) {
    const RequestTerms& terms = request->terms;
    std::string by = terms.service;
    if (terms.key) {
      const auto ranges = view_.table.services.find(terms.service);
      const state::OwnedRange* range =
          ranges == view_.table.services.end()
              ? nullptr
              : state::FindRange(ranges->second, *terms.key);
      by = range == nullptr ? "none" : range->holder.id;
    }
    RefuseBusy(now, request, by, reason, actions);
  }
}

void RequestFlow::Admit(
    Instant now,
    Request* request,
    const std::string& by,
    const std::variant<ServerChoice, NoServerReason>& choice,
    FlowActions* actions) {
  const RequestId id = request->id;
  const auto* found = std::get_if<ServerChoice>(&choice);
  if (found == nullptr) {
    const NoServerReason reason = std::get<NoServerReason>(choice);
    const bool is_final = reason == NoServerReason::kNoServer ||
                          reason == NoServerReason::kPaused;
    if (is_final ||
        admission_->Decide(now, id, nullptr) == admission::Decision::kRefuse) {
      admission_->Leave(id);
      SendOrRefuse(now, request, by, choice, actions);
    }
    return;
  }
  switch (admission_->Decide(now, id, &*found->outlook)) {
    case admission::Decision::kSend:
      admission_->LeaveToServer(now, id);
      SendOrRefuse(now, request, by, choice, actions);
      return;
    case admission::Decision::kWait:
      return;
    case admission::Decision::kRefuse:
      RefuseBusy(now, request, by, "shortage-late", actions);
      return;
  }
}

void RequestFlow::DispatchWaiting(Instant now, FlowActions* actions) {
  if (!admission_) {
    return;
  }
  for (const RequestId id : admission_->TakeEvicted()) {
    RefuseWaiting(now, id, "shortage-queue", actions);
  }
  while (const auto queue = admission_->TakeReady()) {
    for (auto first = admission_->First(*queue); first;) {
      TrySend(now, Find(*first), actions);
      const auto next = admission_->First(*queue);
      first = next == first ? std::nullopt : next;
    }
    for (const RequestId id : admission_->TakeHopeless(now, *queue)) {
      RefuseWaiting(now, id, "shortage-forecast", actions);
    }
  }
}

void RequestFlow::SendOrRefuse(
    Instant now,
    Request* request,
    const std::string& by,
    const std::variant<ServerChoice, NoServerReason>& choice,
    FlowActions* actions) {
  const RequestTerms& terms = request->terms;
  if (const auto* found = std::get_if<ServerChoice>(&choice)) {
    request->waiting_since.reset();
    if (WithdrawRetry(*request)) {
      Send(now, request, *found, actions);
    } else {
      Refuse(now, request, "retry-budget", kDefaultRetryAfter, actions);
    }
    return;
  }
  const NoServerReason reason = std::get<NoServerReason>(choice);
  const bool busy = reason != NoServerReason::kNoServer;
  if (terms.key && !busy) {
    WaitForOwner(now, request, actions);
    return;
  }
  if (!request->attempts.empty()) {
    return;
  }
  if (terms.key && reason == NoServerReason::kPaused) {
    Refuse(now, request, ReasonName(reason),
           std::min(Scale(pool_.PauseLeft(now, by), kPauseMargin),
                    kMaxPauseRetryAfter),
           actions, by);
  } else if (busy) {
    RefuseBusy(now, request, by, ReasonName(reason), actions);
  } else {
    Refuse(now, request, ReasonName(reason), kNoServerRetryAfter, actions);
  }
}

void RequestFlow::WaitForOwner(Instant now,
                               Request* request,
                               FlowActions* actions) {
  if (admission_) {
    admission_->Leave(request->id);
  }
  if (!request->waiting_since) {
    request->waiting_since = now;
  }
  const Duration left = request->terms.end - *request->waiting_since;
  const Duration default_wait =
      std::max(kDefaultOwnerWait,
               Scale(request->terms.target_latency, kOwnerWaitTargetFraction));
  const Duration max_wait = std::min(default_wait, left / 3);
  if (now - *request->waiting_since >= max_wait) {
    Refuse(now, request, "no-owner", kNoServerRetryAfter, actions);
  }
}

void RequestFlow::Send(Instant now,
                       Request* request,
                       const ServerChoice& choice,
                       FlowActions* actions) {
  Attempt attempt;
  attempt.id = ++last_attempt_;
  attempt.server = choice.record.incarnation;
  attempt.sent = now;
  attempt.expected = choice.expected;
  if (choice.outlook) {
    attempt.own = choice.outlook->own;
  }
  ++request->sends;
  if (!request->deposited) {
    request->deposited = true;
    Budget(request->terms.service).Deposit();
  }
  ServiceState& service = services_[request->terms.service];
  ++service.in_flight;
  if (admission_ && !request->terms.key) {
    service.priority_windows.RecordSent(PriorityOf(request->terms));
  }
  acceptance_rates_[request->terms.key ? choice.record.incarnation.id
                                       : request->terms.service]
      .RecordAccepted(now);
  pool_.RecordSent(now, choice.record.incarnation, request->terms.route,
                   choice.probe);
  request->attempts.push_back(attempt);
  RecordTrialSend(now, *request);
  actions->emplace_back(SendAttempt{
      request->id, attempt.id, choice.record, std::nullopt,
      !state::MayRetry(request->terms.kind), choice.expected, request->trial});
}

void RequestFlow::HandleConnected(RequestId id, AttemptId attempt) {
  if (Request* request = Find(id)) {
    for (Attempt& candidate : request->attempts) {
      candidate.connected = candidate.connected || candidate.id == attempt;
    }
  }
}

FlowActions RequestFlow::HandleResult(Instant now,
                                      RequestId id,
                                      AttemptId attempt_id,
                                      SendResult result,
                                      std::optional<Duration> retry_after) {
  FlowActions actions = EndAttempt(now, id, attempt_id, result, retry_after);
  DispatchWaiting(now, &actions);
  return actions;
}

FlowActions RequestFlow::EndAttempt(Instant now,
                                    RequestId id,
                                    AttemptId attempt_id,
                                    SendResult result,
                                    std::optional<Duration> retry_after) {
  FlowActions actions;
  Request* request = Find(id);
  if (request == nullptr) {
    return actions;
  }
  const auto position = std::find_if(
      request->attempts.begin(), request->attempts.end(),
      [attempt_id](const Attempt& a) { return a.id == attempt_id; });
  if (position == request->attempts.end()) {
    return actions;
  }
  const Attempt attempt = *position;
  request->attempts.erase(position);
  const bool answered =
      result == SendResult::kAnswered || result == SendResult::kFailed;
  if (answered && request->terms.fingerprint) {
    crash_watch_.RecordAnswered(now, *request->terms.fingerprint);
  } else if (result == SendResult::kLost) {
    RecordUnanswered(now, request, attempt, CrashWatch::End::kLost);
  }
  if (attempt.gate) {
    const std::string_view event = EventFor(result);
    if (!event.empty()) {
      actions.emplace_back(ReportAttempt{id, event, attempt.server.id,
                                         now - attempt.sent, attempt.expected});
    }
    HandleGateAnswer(now, request, attempt, result, retry_after, &actions);
    return actions;
  }
  RecordEnd(now, *request, attempt, ResultForPool(result));
  const std::string_view event = EventFor(result);
  if (!event.empty()) {
    actions.emplace_back(ReportAttempt{id, event, attempt.server.id,
                                       now - attempt.sent, attempt.expected});
  }
  switch (result) {
    case SendResult::kNotConnected:
      request->tried.insert(attempt.server.id);
      HandleNotConnected(now, request, &actions);
      break;
    case SendResult::kLost:
    case SendResult::kUntrusted:
      request->tried.insert(attempt.server.id);
      request->may_have_run = true;
      HandleLost(now, request, &actions);
      break;
    case SendResult::kNotOwner:
    case SendResult::kRefused:
      HandleNotRun(now, request, attempt, result, &actions);
      break;
    case SendResult::kAnswered:
      End(now, request, {id, RequestOutcome::kAnswered, "", Duration(0), 0, ""},
          &actions);
      break;
    case SendResult::kFailed:
      HandleFailed(now, request, attempt, &actions);
      break;
    case SendResult::kGateRefused:
    case SendResult::kGateRejected:
    case SendResult::kGateUnknown:
    case SendResult::kGateTimedOut:
      // Only gates return these results. From a server, each of them counts as
      // a lost connection.
      request->may_have_run = true;
      HandleLost(now, request, &actions);
      break;
  }
  return actions;
}

void RequestFlow::HandleFailed(Instant now,
                               Request* request,
                               const Attempt& attempt,
                               FlowActions* actions) {
  request->may_have_run = true;
  request->failed_server = attempt.server.id;
  const RequestTerms& terms = request->terms;
  if (!request->attempts.empty()) {
    // The other attempt of a hedged request may still succeed.
    return;
  }
  if (!request->caller_disconnected && state::MayRetry(terms.kind) &&
      !terms.key && request->sends < terms.max_attempts &&
      terms.end - now > attempt.expected + kMinSendTime && CanRetry(*request)) {
    request->tried.insert(attempt.server.id);
    TrySend(now, request, actions);
    return;
  }
  EndWithoutSuccess(now, request, RequestOutcome::kFailed, "",
                    attempt.server.id, actions);
}

void RequestFlow::HandleNotRun(Instant now,
                               Request* request,
                               const Attempt& attempt,
                               SendResult result,
                               FlowActions* actions) {
  const RequestTerms& terms = request->terms;
  if (!request->attempts.empty()) {
    return;
  }
  if (request->caller_disconnected) {
    End(now, request,
        {request->id, RequestOutcome::kCancelled, "", Duration(0), 0, ""},
        actions);
    return;
  }
  const bool not_owner = result == SendResult::kNotOwner;
  const bool at_random = !not_owner && pool_.RefusedAtRandom(attempt.server);
  // A keyed request cannot go to another server.
  const bool full = terms.key && !not_owner && !at_random;
  if (full) {
    RefuseBusy(now, request, attempt.server.id, "owner-full", actions);
    return;
  }
  if (!CanRetry(*request)) {
    if (at_random) {
      Refuse(now, request, "server-refused", kRandomRefusalRetryAfter, actions);
    } else {
      RefuseBusy(now, request, terms.key ? attempt.server.id : terms.service,
                 "server-refused", actions);
    }
    return;
  }
  if (terms.key && not_owner) {
    request->stale_table = std::pair(view_.table.term, view_.table.revision);
    WaitForOwner(now, request, actions);
    return;
  }
  if (!terms.key) {
    request->tried.insert(attempt.server.id);
  }
  TrySend(now, request, actions);
}

// The last attempt may have been run, and its result is unknown.
void RequestFlow::HandleLost(Instant now,
                             Request* request,
                             FlowActions* actions) {
  if (!request->attempts.empty()) {
    return;
  }
  if (request->caller_disconnected) {
    End(now, request,
        {request->id, RequestOutcome::kCancelled, "", Duration(0), 0, ""},
        actions);
    return;
  }
  if (state::MayRetry(request->terms.kind) &&
      request->sends < request->terms.max_attempts && CanRetry(*request)) {
    TrySend(now, request, actions);
    return;
  }
  EndWithoutSuccess(now, request, RequestOutcome::kUnknown, "attempt-lost", "",
                    actions);
}

void RequestFlow::HandleNotConnected(Instant now,
                                     Request* request,
                                     FlowActions* actions) {
  --request->sends;
  ++request->failed_connections;
  if (request->sends > 0) {
    Budget(request->terms.service).Refund();
    --retries_;
  }
  if (!request->attempts.empty()) {
    return;
  }
  if (request->caller_disconnected) {
    End(now, request,
        {request->id, RequestOutcome::kCancelled, "", Duration(0), 0, ""},
        actions);
    return;
  }
  if (request->failed_connections >= kMaxFailedConnections) {
    Refuse(now, request, "unreachable", kDefaultRetryAfter, actions);
    return;
  }
  TrySend(now, request, actions);
}

FlowActions RequestFlow::HandleCallerDisconnect(Instant now, RequestId id) {
  FlowActions actions;
  Request* request = Find(id);
  if (request == nullptr) {
    return actions;
  }
  request->caller_disconnected = true;
  // A gate that hears of it decides the same: it alone knows whether the
  // request is at a server.
  if (state::MayRetry(request->terms.kind) ||
      PlaceOf(id) != RequestPlace::kAtServer) {
    End(now, request, {id, RequestOutcome::kCancelled, "", Duration(0), 0, ""},
        &actions);
    DispatchWaiting(now, &actions);
  }
  return actions;
}

RequestPlace RequestFlow::PlaceOf(RequestId id) const {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return RequestPlace::kEnded;
  }
  RequestPlace place = RequestPlace::kWaiting;
  for (const Attempt& attempt : found->second.attempts) {
    const RequestPlace reached = !attempt.connected ? RequestPlace::kConnecting
                                 : attempt.gate     ? RequestPlace::kAtGate
                                                    : RequestPlace::kAtServer;
    place = std::max(place, reached);
  }
  return place;
}

FlowActions RequestFlow::HandleTableChange(Instant now) {
  FlowActions actions;
  for (auto entry = requests_.begin(); entry != requests_.end();) {
    // TrySend() may end the request.
    Request& request = (entry++)->second;
    if (request.waiting_since) {
      TrySend(now, &request, &actions);
    }
  }
  if (admission_) {
    // The owners of keys may have changed, and with them the queues.
    for (const RequestId id : admission_->AllWaiting()) {
      Request* request = Find(id);
      if (request != nullptr && request->terms.key) {
        admission_->Leave(id);
        TrySend(now, request, &actions);
      }
    }
    DispatchWaiting(now, &actions);
  }
  return actions;
}

FlowActions RequestFlow::EndAll(Instant now) {
  FlowActions actions;
  for (auto entry = requests_.begin(); entry != requests_.end();) {
    HandleDeadline(now, &(entry++)->second, &actions);
  }
  return actions;
}

void RequestFlow::Prune(Instant now) {
  std::erase_if(acceptance_rates_,
                [now](const auto& entry) { return entry.second.Decayed(now); });
  std::erase_if(blocked_gates_,
                [now](const auto& entry) { return now >= entry.second; });
  if (admission_) {
    admission_->Prune(now);
  }
}

FlowActions RequestFlow::Tick(Instant now) {
  FlowActions actions;
  if (now >= next_prune_) {
    next_prune_ = now + kPruneInterval;
    Prune(now);
  }
  crash_watch_.Tick(now, view_.servers_confirmed_at);
  for (auto entry = requests_.begin(); entry != requests_.end();) {
    TickRequest(now, &(entry++)->second, &actions);
  }
  if (admission_) {
    for (const RequestId id : admission_->Expired(now)) {
      RefuseWaiting(now, id, "shortage-wait", &actions);
    }
    admission_->MarkAllReady();
    DispatchWaiting(now, &actions);
  }
  return actions;
}

void RequestFlow::TickRequest(Instant now,
                              Request* request,
                              FlowActions* actions) {
  const RequestId id = request->id;
  const auto slow = std::find_if(
      request->attempts.begin(), request->attempts.end(),
      [now](const Attempt& attempt) {
        return !attempt.connected && now - attempt.sent >= kConnectTimeout;
      });
  if (slow != request->attempts.end()) {
    const AttemptId attempt = slow->id;
    actions->emplace_back(AbortAttempt{id, attempt});
    FlowActions more =
        EndAttempt(now, id, attempt, SendResult::kNotConnected, {});
    actions->insert(actions->end(), more.begin(), more.end());
    request = Find(id);
    if (request == nullptr) {
      return;
    }
  }
  if (now >= request->terms.end) {
    HandleDeadline(now, request, actions);
  } else if (request->waiting_since) {
    TrySend(now, request, actions);
  } else {
    Hedge(now, request, actions);
  }
}

void RequestFlow::Hedge(Instant now, Request* request, FlowActions* actions) {
  const RequestTerms& terms = request->terms;
  if (request->attempts.size() != 1 || terms.key ||
      request->caller_disconnected || !state::MayRetry(terms.kind) ||
      request->sends >= terms.max_attempts ||
      (terms.fingerprint && crash_watch_.IsRefused(now, *terms.fingerprint))) {
    return;
  }
  const Attempt& first = request->attempts.front();
  const Duration delay =
      std::max(kMinHedgeDelay, Scale(first.expected, kHedgeDelayFactor));
  if (!first.connected || now - first.sent < delay ||
      now + first.expected > terms.end) {
    return;
  }
  request->tried.insert(first.server.id);
  const auto choice = pool_.Choose(
      now, {terms.service, &request->tried, MaxExpectedLatency(now, *request),
            terms.large, terms.route});
  const auto* found = std::get_if<ServerChoice>(&choice);
  if (found == nullptr || (admission_ && !found->outlook->free_slot) ||
      !WithdrawRetry(*request)) {
    return;
  }
  actions->emplace_back(ReportAttempt{request->id, "hedged", first.server.id,
                                      now - first.sent, first.expected});
  Send(now, request, *found, actions);
}

void RequestFlow::HandleDeadline(Instant now,
                                 Request* request,
                                 FlowActions* actions) {
  const bool at_server =
      request->may_have_run ||
      std::any_of(request->attempts.begin(), request->attempts.end(),
                  [](const Attempt& a) { return a.connected; });
  if (!at_server) {
    Refuse(now, request, "deadline", kDefaultRetryAfter, actions);
    return;
  }
  const std::string server =
      request->attempts.empty() ? "none" : request->attempts.back().server.id;
  EndWithoutSuccess(now, request, RequestOutcome::kTimedOut, "", server,
                    actions);
}

void RequestFlow::EndWithoutSuccess(Instant now,
                                    Request* request,
                                    RequestOutcome outcome,
                                    std::string_view reason,
                                    std::string server,
                                    FlowActions* actions) {
  if (request->failed_server) {
    outcome = RequestOutcome::kFailed;
    server = *request->failed_server;
  }
  End(now, request,
      {request->id, outcome, reason, Duration(0), 0, std::move(server)},
      actions);
}

void RequestFlow::RefuseBusy(Instant now,
                             Request* request,
                             const std::string& by,
                             std::string_view reason,
                             FlowActions* actions) {
  AcceptanceRate& rate = acceptance_rates_[by];
  Duration retry_after = rate.RetryAfter(now, kDefaultRetryAfter);
  rate.RecordRefused(now);
  if (admission_) {
    retry_after =
        admission_->RetryAfter(now, by, FiguresOf(now, request->terms))
            .value_or(retry_after);
  }
  Refuse(now, request, reason, retry_after, actions,
         request->terms.key ? by : std::string());
}

void RequestFlow::Refuse(Instant now,
                         Request* request,
                         std::string_view reason,
                         Duration retry_after,
                         FlowActions* actions,
                         const std::string& server) {
  if (request->may_have_run) {
    EndWithoutSuccess(now, request, RequestOutcome::kUnknown, reason, "",
                      actions);
    return;
  }
  // The random factor spreads the retries of refused callers over time.
  const Duration after = Scale(retry_after, 0.75 + 0.5 * random_());
  End(now, request,
      {request->id, RequestOutcome::kRefused, reason, after, 0, server},
      actions);
}

void RequestFlow::End(Instant now,
                      Request* request,
                      FinishRequest conclusion,
                      FlowActions* actions) {
  const bool answered = conclusion.outcome == RequestOutcome::kAnswered ||
                        conclusion.outcome == RequestOutcome::kFailed;
  for (const Attempt& attempt : request->attempts) {
    if (!answered && attempt.connected) {
      RecordUnanswered(now, request, attempt, CrashWatch::End::kGivenUp);
    }
    actions->emplace_back(AbortAttempt{request->id, attempt.id});
    if (!attempt.gate) {
      RecordEnd(now, *request, attempt, ServerResult::kCancelled);
    }
  }
  if (admission_) {
    admission_->Leave(request->id);
  }
  conclusion.sends = request->sends;
  actions->emplace_back(std::move(conclusion));
  requests_.erase(request->id);
}

void RequestFlow::RecordEnd(Instant now,
                            const Request& request,
                            const Attempt& attempt,
                            ServerResult result) {
  pool_.RecordEnd(now, attempt.server, attempt.sent, result);
  const RequestTerms& terms = request.terms;
  ServiceState& service = services_[terms.service];
  // A late response reduces the window only if the server is full: only then
  // do fewer requests shorten the latency.
  if (admission_) {
    --service.in_flight;
    admission_->MarkReady(terms.key ? attempt.server.id : terms.service);
    if (!terms.key) {
      RecordWait(now, request, attempt, result);
    }
    return;
  }
  const bool late = now - attempt.sent > terms.target_latency &&
                    !pool_.HasFreeSlots(attempt.server);
  const bool answered = result == ServerResult::kAnswered;
  if (!terms.key &&
      (answered || (late && result == ServerResult::kCancelled))) {
    const double min_window =
        kMinSlotFraction *
        static_cast<double>(pool_.TotalSlots(terms.service)) /
        static_cast<double>(view_.hosts);
    service.window.RecordEnd(service.in_flight, late, min_window);
  }
  --service.in_flight;
}

void RequestFlow::RecordWait(Instant now,
                             const Request& request,
                             const Attempt& attempt,
                             ServerResult result) {
  const RequestTerms& terms = request.terms;
  PriorityWindows& windows = services_[terms.service].priority_windows;
  const int priority = PriorityOf(terms);
  if (result != ServerResult::kAnswered) {
    windows.RecordEnd(priority);
    return;
  }
  // A server with free slots lets no request wait: its work took longer.
  const Duration wait = pool_.HasFreeSlots(attempt.server)
                            ? Duration(0)
                            : now - attempt.sent - attempt.own;
  windows.RecordWait(
      priority, wait,
      [&](int other) {
        return admission_->LongestWait(now, terms.service, other);
      },
      kMinSlotFraction * static_cast<double>(pool_.TotalSlots(terms.service)) /
          static_cast<double>(view_.hosts));
}

bool RequestFlow::CanRetry(const Request& request) {
  return request.sends < std::max(2, request.terms.max_attempts) &&
         Budget(request.terms.service).CanWithdraw();
}

bool RequestFlow::WithdrawRetry(const Request& request) {
  if (request.sends == 0) {
    return true;
  }
  if (!CanRetry(request)) {
    return false;
  }
  Budget(request.terms.service).Withdraw();
  ++retries_;
  return true;
}

RetryBudget& RequestFlow::Budget(const std::string& service) {
  if (budget_hosts_ != view_.hosts) {
    budget_hosts_ = view_.hosts;
    budgets_.clear();
  }
  return budgets_
      .try_emplace(service, bounds_.retry_ratio * kUsedRetryRatioFraction,
                   bounds_.retry_slack * kUsedRetrySlackFraction /
                       static_cast<double>(budget_hosts_))
      .first->second;
}

std::size_t RequestFlow::waiting_for_owner() const {
  return static_cast<std::size_t>(std::count_if(
      requests_.begin(), requests_.end(),
      [](const auto& entry) { return entry.second.waiting_since; }));
}

double RequestFlow::retries_left() const {
  double left = bounds_.retry_slack;
  for (const auto& [service, budget] : budgets_) {
    left = std::min(left, budget.left());
  }
  return left;
}

}  // namespace mustardflow::coordination
