// The life of a request between its arrival and its final answer.

#include "coordination/request_flow.h"

#include <algorithm>

namespace mustardflow::coordination {

using state::Duration;
using state::Instant;

namespace {

// A connection that is not made within this time is given up; the way to the
// farthest zone and back takes a tenth of it.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);
constexpr int kMostFailedConnections = 3;
// How long a request waits for its key's owner: at least as long as a planned
// move of short work takes, and longer where the target shows that work, and so
// the end of the work on the moving keys, takes longer.
constexpr Duration kUsualOwnerWait = std::chrono::milliseconds(400);
constexpr double kOwnerWaitOfTarget = 0.5;
// Fractions of the budgets of all hosts that are used; the rest covers windows
// that slide and hosts that are not counted yet.
constexpr double kRatioInUse = 0.8;
constexpr double kSlackInUse = 0.8;
// A gate that could not be reached is left out for this time; the leader takes
// lost hosts' servers away within two seconds.
constexpr Duration kGateBlock = std::chrono::seconds(1);
// When refused callers come back, if nothing better is known.
constexpr Duration kUsualRetryAfter = std::chrono::milliseconds(250);
constexpr Duration kNoServerRetryAfter = std::chrono::milliseconds(500);
// An answer may be expected this much later than the target before its request
// is refused: late answers are worth something, full queues cost all.
constexpr double kTargetFactor = 1.4;
// An answer that is expected this much after the deadline is not hoped for:
// work takes between a half and twice what is expected.
constexpr double kHopelessFactor = 1.6;
// An idempotent request is sent to a second server after this multiple of the
// expected time.
constexpr double kHedgeFactor = 3.0;
constexpr Duration kShortestHedge = std::chrono::milliseconds(60);
// However late answers are, hosts together keep this part of the slots in use.
constexpr double kLeastSlotsInUse = 0.6;
// Before the final answer is due, a send still needs this.
constexpr Duration kShortestSend = std::chrono::milliseconds(15);

Duration Scale(Duration span, double factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(span.count()) * factor));
}

// What the pool learns from the end of an attempt.
ServerResult ResultForPool(SendResult result) {
  switch (result) {
    case SendResult::kNotConnected:
      return ServerResult::kUnreachable;
    case SendResult::kLost:
      return ServerResult::kBroken;
    case SendResult::kNotOwner:
      return ServerResult::kCancelled;
    case SendResult::kRefused:
    case SendResult::kMalformed:
      return ServerResult::kRefused;
    case SendResult::kAnswered:
      return ServerResult::kAnswered;
    case SendResult::kFailed:
    case SendResult::kUntrusted:
    case SendResult::kGateRefused:
    case SendResult::kGateUnknown:
    case SendResult::kGateTimedOut:
      break;
  }
  return ServerResult::kFailed;
}

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
    case SendResult::kMalformed:
      return "attempt-not-run";
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

}  // namespace

RequestFlow::RequestFlow(const state::RoutingView& view,
                         ServerPool& pool,
                         const state::ServiceBounds& bounds,
                         std::function<double()> random)
    : view_(view), pool_(pool), bounds_(bounds), random_(std::move(random)) {}

FlowActions RequestFlow::Start(Instant now, RequestId id, RequestTerms terms) {
  FlowActions actions;
  Request& request = requests_[id];
  request.id = id;
  request.terms = std::move(terms);
  TrySend(now, &request, &actions);
  return actions;
}

RequestFlow::Request* RequestFlow::Find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

Duration RequestFlow::MaxExpectedLatency(Instant now,
                                         const Request& request) const {
  const Duration left = request.terms.end - now - kShortestSend;
  return std::min(Scale(left, kHopelessFactor),
                  Scale(request.terms.target_latency, kTargetFactor));
}

std::optional<state::Address> RequestFlow::GateFor(
    Instant now,
    const Request& request,
    const state::ServerLife& server) const {
  const auto gate = view_.table.gates.find(server.id);
  if (request.terms.forwarded || request.avoids_gates ||
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
                             const state::ServerLife& server,
                             const state::Address& gate,
                             FlowActions* actions) {
  request->waiting_since.reset();
  Attempt attempt;
  attempt.id = ++last_attempt_;
  attempt.server = server;
  attempt.gate = gate;
  attempt.sent = now;
  ++request->sends;
  request->attempts.push_back(attempt);
  SendAttempt send;
  send.request = request->id;
  send.attempt = attempt.id;
  send.server.life = server;
  send.gate = gate;
  send.only_fresh = !state::MayRepeat(request->terms.kind);
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
      blocked_gates_[*attempt.gate] = now + kGateBlock;
      request->avoids_gates = true;
      if (result == SendResult::kLost) {
        request->may_have_run = true;
        HandleLost(now, request, actions);
      } else {
        HandleNotConnected(now, request, actions);
      }
      return;
    case SendResult::kAnswered:
      End(now, request, {id, Ending::kAnswered, "", Duration(0), 0, server},
          actions);
      return;
    case SendResult::kFailed:
      End(now, request, {id, Ending::kFailed, "", Duration(0), 0, server},
          actions);
      return;
    case SendResult::kMalformed:
      End(now, request, {id, Ending::kMalformed, "", Duration(0), 0, server},
          actions);
      return;
    case SendResult::kGateRefused:
      Refuse(now, request, "gate", retry_after.value_or(kUsualRetryAfter),
             actions);
      return;
    case SendResult::kGateTimedOut:
      request->may_have_run = true;
      End(now, request, {id, Ending::kTimedOut, "", Duration(0), 0, server},
          actions);
      return;
    case SendResult::kGateUnknown:
    case SendResult::kNotOwner:
    case SendResult::kRefused:
    case SendResult::kUntrusted:
      break;
  }
  request->may_have_run = true;
  End(now, request, {id, Ending::kUnknown, "gate", Duration(0), 0, server},
      actions);
}

void RequestFlow::TrySend(Instant now, Request* request, FlowActions* actions) {
  const RequestTerms& terms = request->terms;
  if (now + kShortestSend >= terms.end) {
    HandleDeadline(now, request, actions);
    return;
  }
  std::variant<ServerChoice, NoServerReason> choice =
      NoServerReason::kLateWindow;
  std::string by = terms.service;
  const Duration longest = MaxExpectedLatency(now, *request);
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
      SendToGate(now, request, range->holder, *gate, actions);
      return;
    }
    by = range->holder.id;
    choice = pool_.Check(now, range->holder, longest);
  } else if (const ServiceState& service = services_[terms.service];
             service.window.HasRoom(service.under_way)) {
    choice = pool_.Choose(now, {terms.service, &request->tried, longest,
                                terms.kind == state::RequestKind::kDownload});
  }
  if (const auto* found = std::get_if<ServerChoice>(&choice)) {
    request->waiting_since.reset();
    Send(now, request, *found, actions);
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
  if (busy) {
    RefuseBusy(now, request, by, ReasonName(reason), actions);
  } else {
    Refuse(now, request, ReasonName(reason), kNoServerRetryAfter, actions);
  }
}

void RequestFlow::WaitForOwner(Instant now,
                               Request* request,
                               FlowActions* actions) {
  if (!request->waiting_since) {
    request->waiting_since = now;
  }
  const Duration left = request->terms.end - *request->waiting_since;
  const Duration usual =
      std::max(kUsualOwnerWait,
               Scale(request->terms.target_latency, kOwnerWaitOfTarget));
  const Duration longest = std::min(usual, left / 3);
  if (now - *request->waiting_since >= longest) {
    Refuse(now, request, "no-owner", kNoServerRetryAfter, actions);
  }
}

void RequestFlow::Send(Instant now,
                       Request* request,
                       const ServerChoice& choice,
                       FlowActions* actions) {
  Attempt attempt;
  attempt.id = ++last_attempt_;
  attempt.server = choice.record.life;
  attempt.sent = now;
  attempt.expected = choice.expected;
  ++request->sends;
  if (!request->deposited) {
    request->deposited = true;
    Budget(request->terms.service).Deposit();
  }
  ++services_[request->terms.service].under_way;
  accepted_[request->terms.key ? choice.record.life.id : request->terms.service]
      .RecordAccepted(now);
  pool_.RecordSent(now, choice.record.life);
  request->attempts.push_back(attempt);
  actions->emplace_back(
      SendAttempt{request->id, attempt.id, choice.record, std::nullopt,
                  !state::MayRepeat(request->terms.kind), choice.expected});
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
    case SendResult::kMalformed:
      HandleNotRun(now, request, attempt, result, &actions);
      break;
    case SendResult::kAnswered:
      End(now, request, {id, Ending::kAnswered, "", Duration(0), 0, ""},
          &actions);
      break;
    case SendResult::kFailed:
      HandleFailed(now, request, attempt, &actions);
      break;
    case SendResult::kGateRefused:
    case SendResult::kGateUnknown:
    case SendResult::kGateTimedOut:
      // Only gates say so.
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
  const RequestTerms& terms = request->terms;
  if (!request->caller_disconnected && state::MayRepeat(terms.kind) &&
      !terms.key && terms.end - now > attempt.expected + kShortestSend &&
      WithdrawRetry(*request)) {
    request->tried.insert(attempt.server.id);
    TrySend(now, request, actions);
    return;
  }
  End(now, request,
      {request->id, Ending::kFailed, "", Duration(0), 0, attempt.server.id},
      actions);
}

void RequestFlow::HandleNotRun(Instant now,
                               Request* request,
                               const Attempt& attempt,
                               SendResult result,
                               FlowActions* actions) {
  const RequestTerms& terms = request->terms;
  if (result == SendResult::kMalformed) {
    End(now, request,
        {request->id, Ending::kMalformed, "", Duration(0), 0,
         attempt.server.id},
        actions);
    return;
  }
  if (!request->attempts.empty()) {
    return;
  }
  if (request->caller_disconnected) {
    End(now, request, {request->id, Ending::kCancelled, "", Duration(0), 0, ""},
        actions);
    return;
  }
  const bool not_owner = result == SendResult::kNotOwner;
  const bool full =
      terms.key && !not_owner && !pool_.HasFreeSlots(attempt.server);
  if (full || !WithdrawRetry(*request)) {
    // A key has no other server.
    RefuseBusy(now, request, terms.key ? attempt.server.id : terms.service,
               full ? "owner-full" : "server-refused", actions);
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

// An attempt may have been run.
void RequestFlow::HandleLost(Instant now,
                             Request* request,
                             FlowActions* actions) {
  if (!request->attempts.empty()) {
    return;
  }
  if (request->caller_disconnected) {
    End(now, request, {request->id, Ending::kCancelled, "", Duration(0), 0, ""},
        actions);
    return;
  }
  if (state::MayRepeat(request->terms.kind) &&
      request->sends < request->terms.max_attempts && WithdrawRetry(*request)) {
    TrySend(now, request, actions);
    return;
  }
  End(now, request,
      {request->id, Ending::kUnknown, "attempt-lost", Duration(0), 0, ""},
      actions);
}

void RequestFlow::HandleNotConnected(Instant now,
                                     Request* request,
                                     FlowActions* actions) {
  --request->sends;
  ++request->failed_connections;
  if (!request->attempts.empty()) {
    return;
  }
  if (request->caller_disconnected) {
    End(now, request, {request->id, Ending::kCancelled, "", Duration(0), 0, ""},
        actions);
    return;
  }
  if (request->failed_connections >= kMostFailedConnections) {
    Refuse(now, request, "unreachable", kUsualRetryAfter, actions);
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
  if (state::MayRepeat(request->terms.kind) || request->attempts.empty()) {
    End(now, request, {id, Ending::kCancelled, "", Duration(0), 0, ""},
        &actions);
  }
  return actions;
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
  return actions;
}

FlowActions RequestFlow::EndAll(Instant now) {
  FlowActions actions;
  for (auto entry = requests_.begin(); entry != requests_.end();) {
    HandleDeadline(now, &(entry++)->second, &actions);
  }
  return actions;
}

FlowActions RequestFlow::Tick(Instant now) {
  FlowActions actions;
  for (auto entry = requests_.begin(); entry != requests_.end();) {
    TickRequest(now, &(entry++)->second, &actions);
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
        HandleResult(now, id, attempt, SendResult::kNotConnected);
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
      request->caller_disconnected || !state::MayRepeat(terms.kind) ||
      request->sends >= terms.max_attempts) {
    return;
  }
  const Attempt& first = request->attempts.front();
  const Duration delay =
      std::max(kShortestHedge, Scale(first.expected, kHedgeFactor));
  if (!first.connected || now - first.sent < delay ||
      now + first.expected > terms.end) {
    return;
  }
  request->tried.insert(first.server.id);
  const auto choice = pool_.Choose(
      now, {terms.service, &request->tried, MaxExpectedLatency(now, *request),
            terms.kind == state::RequestKind::kDownload});
  const auto* found = std::get_if<ServerChoice>(&choice);
  if (found == nullptr || !WithdrawRetry(*request)) {
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
    Refuse(now, request, "deadline", kUsualRetryAfter, actions);
    return;
  }
  const std::string server =
      request->attempts.empty() ? "none" : request->attempts.back().server.id;
  End(now, request,
      {request->id, Ending::kTimedOut, "", Duration(0), 0, server}, actions);
}

void RequestFlow::RefuseBusy(Instant now,
                             Request* request,
                             const std::string& by,
                             std::string_view reason,
                             FlowActions* actions) {
  AcceptanceRate& rate = accepted_[by];
  const Duration retry_after = rate.RetryAfter(now, kUsualRetryAfter);
  rate.RecordRefused(now);
  Refuse(now, request, reason, retry_after, actions);
}

void RequestFlow::Refuse(Instant now,
                         Request* request,
                         std::string_view reason,
                         Duration retry_after,
                         FlowActions* actions) {
  if (request->may_have_run) {
    End(now, request,
        {request->id, Ending::kUnknown, reason, Duration(0), 0, ""}, actions);
    return;
  }
  // Spreads the callers that come back.
  const Duration after = Scale(retry_after, 0.75 + 0.5 * random_());
  End(now, request, {request->id, Ending::kRefused, reason, after, 0, ""},
      actions);
}

void RequestFlow::End(Instant now,
                      Request* request,
                      FinishRequest conclusion,
                      FlowActions* actions) {
  for (const Attempt& attempt : request->attempts) {
    actions->emplace_back(AbortAttempt{request->id, attempt.id});
    if (!attempt.gate) {
      RecordEnd(now, *request, attempt, ServerResult::kCancelled);
    }
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
  // Only full servers answer sooner if they get less.
  const bool late = now - attempt.sent > terms.target_latency &&
                    !pool_.HasFreeSlots(attempt.server);
  const bool answered = result == ServerResult::kAnswered;
  if (!terms.key &&
      (answered || (late && result == ServerResult::kCancelled))) {
    const double least = kLeastSlotsInUse *
                         static_cast<double>(pool_.Slots(terms.service)) /
                         static_cast<double>(view_.hosts);
    service.window.RecordEnd(service.under_way, late, least);
  }
  --service.under_way;
}

bool RequestFlow::WithdrawRetry(const Request& request) {
  if (request.sends >= std::max(2, request.terms.max_attempts) ||
      !Budget(request.terms.service).Withdraw()) {
    return false;
  }
  ++retries_;
  return true;
}

RetryBudget& RequestFlow::Budget(const std::string& service) {
  if (budget_hosts_ != view_.hosts) {
    budget_hosts_ = view_.hosts;
    budgets_.clear();
  }
  return budgets_
      .try_emplace(service, bounds_.retry_ratio * kRatioInUse,
                   bounds_.retry_slack * kSlackInUse /
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
