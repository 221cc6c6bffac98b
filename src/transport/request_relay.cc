// The way of a request: classify, choose a server, send, and end.

#include "transport/request_relay.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

#include "platform/server_protocol.h"
#include "transport/clocks.h"
#include "transport/header_fields.h"

namespace mustardflow::transport {

using coordination::NoChoice;
using coordination::ServerChoice;
using coordination::ServerResult;
using state::Duration;
using state::Instant;

namespace {

// A connection that is not made within this time is given up; the way to the
// farthest zone and back takes a tenth of it.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);
constexpr int kMostFailedConnections = 3;
// How long a request waits for its key's owner; a planned move takes less.
constexpr Duration kLongestOwnerWait = std::chrono::milliseconds(400);
// Fractions of the budgets of all hosts that are used; the rest covers windows
// that slide and hosts that are not counted yet.
constexpr double kRatioInUse = 0.8;
constexpr double kSlackInUse = 0.8;
// When refused callers come back, if nothing better is known.
constexpr Duration kUsualRetryAfter = std::chrono::milliseconds(250);
constexpr Duration kNoServerRetryAfter = std::chrono::milliseconds(500);
// An answer may be expected this much later than the target before its request
// is refused: late answers are worth something, full queues cost all.
constexpr double kTargetFactor = 1.4;
// An idempotent request is sent to a second server after this multiple of the
// expected time.
constexpr double kHedgeFactor = 3.0;
constexpr Duration kShortestHedge = std::chrono::milliseconds(60);
// Before the final answer is due, a send still needs this.
constexpr Duration kShortestSend = std::chrono::milliseconds(15);
constexpr std::size_t kSamplesPerReport = 120;

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::string FormatSeconds(Duration duration) {
  std::array<char, 32> buffer{};
  const auto end =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(),
                    std::chrono::duration<double>(duration).count(),
                    std::chars_format::fixed, 2);
  return {buffer.data(), end.ptr};
}

std::int64_t Milliseconds(Duration duration) {
  return duration.count() / 1000;
}

}  // namespace

RequestRelay::RequestRelay(asio::io_context& context,
                           const state::HostProfile& profile,
                           const RelayView& view,
                           coordination::ServerPool& pool,
                           std::function<double()> random,
                           EventLog& log,
                           EntryMetrics& metrics)
    : profile_(profile),
      view_(view),
      pool_(pool),
      random_(std::move(random)),
      log_(log),
      metrics_(metrics),
      links_(context) {}

RequestRelay::RequestId RequestRelay::Start(CallerMessage message,
                                            AnswerHandler handler) {
  auto request = std::make_shared<Request>();
  request->id = ++last_id_;
  request->message = std::move(message);
  request->handler = std::move(handler);
  request->received = Now();
  requests_.emplace(request->id, request);
  if (Classify(request)) {
    Budget(request->service).Deposit();
    TrySend(request);
  }
  return request->id;
}

bool RequestRelay::Classify(const RequestPtr& request) {
  const CallerMessage& message = request->message;
  request->attempt_id = std::string(message[platform::kRequestIdField]);
  request->config = view_.config;
  if (!request->config) {
    Refuse(request, "no-configuration", kNoServerRetryAfter);
    return false;
  }
  const std::string_view target(message.target().data(),
                                message.target().size());
  const std::string hostname = HostnameOf(
      {message[http::field::host].data(), message[http::field::host].size()});
  request->route =
      request->config->Match(hostname, target.substr(0, target.find('?')));
  if (request->route == nullptr) {
    LogEnd(*request, "no-route", target);
    Finish(request, "failed", {404, "Not Found", {}, ""});
    return false;
  }
  Duration allowed = request->route->timeout;
  const auto deadline =
      ParseInteger({message[platform::kDeadlineField].data(),
                    message[platform::kDeadlineField].size()});
  if (deadline && *deadline >= 0) {
    allowed = std::min<Duration>(allowed, std::chrono::milliseconds(*deadline));
  }
  request->end = request->received + allowed;
  request->service = PickService(*request->route);
  const auto rules = request->config->services().find(request->service);
  if (rules != request->config->services().end() && rules->second.keyed) {
    const auto key = ParseInteger({message[platform::kShardKeyField].data(),
                                   message[platform::kShardKeyField].size()});
    if (!key || *key < 0 || *key >= state::kShardKeyCount) {
      LogEnd(*request, "no-key", request->service);
      Finish(request, "failed", {400, "Bad Request", {}, ""});
      return false;
    }
    request->key = static_cast<state::ShardKey>(*key);
    samplers_.try_emplace(request->service, kSamplesPerReport)
        .first->second.Note(*request->key, static_cast<std::uint64_t>(
                                               random_() * 9007199254740992.0));
  }
  return true;
}

// Gives each service of a split its share, in turns rather than by chance.
std::string RequestRelay::PickService(const state::Route& route) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  std::map<std::string, double>& credit = split_credit_[route.name];
  double sum = 0;
  const state::WeightedService* best = nullptr;
  for (const state::WeightedService& part : route.services) {
    sum += part.weight;
    double& own = credit[part.service];
    own += part.weight;
    if (best == nullptr || own > credit[best->service]) {
      best = &part;
    }
  }
  credit[best->service] -= sum;
  return best->service;
}

Duration RequestRelay::LongestExpected(const Request& request) const {
  const Duration left = request.end - Now() - kShortestSend;
  const auto bound = Duration(static_cast<Duration::rep>(
      static_cast<double>(request.route->target_latency.count()) *
      kTargetFactor));
  return std::min(left, bound);
}

void RequestRelay::TrySend(const RequestPtr& request) {
  const Instant now = Now();
  if (now + kShortestSend >= request->end) {
    HandleDeadline(request);
    return;
  }
  std::variant<ServerChoice, NoChoice> choice = NoChoice::kNoServer;
  const Duration longest = LongestExpected(*request);
  if (request->key) {
    const auto ranges = view_.table.services.find(request->service);
    const state::OwnedRange* range =
        ranges == view_.table.services.end()
            ? nullptr
            : state::FindRange(ranges->second, *request->key);
    const std::pair table(view_.table.term, view_.table.revision);
    if (range == nullptr || !range->serving ||
        request->refuted_table == table) {
      WaitForOwner(request);
      return;
    }
    choice = pool_.Check(now, range->holder, longest);
  } else {
    choice = pool_.Choose(
        now, {request->service, &request->tried, longest,
              request->route->kind == state::RequestKind::kDownload});
  }
  if (const auto* found = std::get_if<ServerChoice>(&choice)) {
    request->waiting_since.reset();
    SendTo(request, *found);
    return;
  }
  if (request->key && std::get<NoChoice>(choice) == NoChoice::kNoServer) {
    WaitForOwner(request);
    return;
  }
  if (!request->attempts.empty()) {
    return;
  }
  Refuse(request,
         std::get<NoChoice>(choice) == NoChoice::kBusy ? "busy" : "no-server",
         std::get<NoChoice>(choice) == NoChoice::kBusy ? kUsualRetryAfter
                                                       : kNoServerRetryAfter);
}

void RequestRelay::WaitForOwner(const RequestPtr& request) {
  const Instant now = Now();
  if (!request->waiting_since) {
    request->waiting_since = now;
  }
  const Duration left = request->end - *request->waiting_since;
  const Duration longest = std::min(kLongestOwnerWait, left / 3);
  if (now - *request->waiting_since >= longest) {
    Refuse(request, "no-owner", kNoServerRetryAfter);
  }
}

void RequestRelay::SendTo(const RequestPtr& request,
                          const ServerChoice& choice) {
  const Instant now = Now();
  const bool only_fresh = !state::MayRepeat(request->route->kind);
  Attempt attempt{choice.record, links_.Take(now, choice.record, only_fresh),
                  now, choice.expected};
  ++request->sends;
  pool_.NoteSent(now, choice.record.life);
  request->attempts.push_back(attempt);
  const auto position = std::prev(request->attempts.end());
  attempt.link->Send(
      RequestBytes(*request, choice.record), request->attempt_id,
      request->message.method() == http::verb::head,
      [this, request, position](LinkEnd end, ServerAnswer answer) {
        HandleEnd(request, position, end, std::move(answer));
      });
}

std::string RequestRelay::RequestBytes(
    const Request& request,
    const state::ServerRecord& server) const {
  const CallerMessage& message = request.message;
  std::string bytes;
  bytes.reserve(512 + message.body().size());
  AppendText(message.method_string(), &bytes);
  bytes += ' ';
  AppendText(message.target(), &bytes);
  bytes += " HTTP/1.1\r\n";
  AppendEndToEndFields(message.base(), &bytes);
  if (!message.body().empty() ||
      message.find(http::field::content_length) != message.end() ||
      message.find(http::field::transfer_encoding) != message.end()) {
    AppendField("Content-Length", std::to_string(message.body().size()),
                &bytes);
  }
  const Duration left = std::max(Duration(0), request.end - Now());
  AppendField(platform::kDeadlineField, std::to_string(Milliseconds(left)),
              &bytes);
  AppendField(platform::kServerIdField, server.life.id, &bytes);
  bytes += "\r\n";
  bytes += message.body();
  return bytes;
}

void RequestRelay::HandleEnd(const RequestPtr& request,
                             std::list<Attempt>::iterator position,
                             LinkEnd end,
                             ServerAnswer answer) {
  const Attempt attempt = *position;
  request->attempts.erase(position);
  const Instant now = Now();
  if (end == LinkEnd::kAnswered) {
    links_.Return(attempt.server.life, attempt.link);
    HandleAnswer(request, attempt, std::move(answer));
    return;
  }
  const bool sent = end == LinkEnd::kBroken;
  pool_.NoteEnd(now, attempt.server.life, attempt.sent,
                sent ? ServerResult::kBroken : ServerResult::kUnreachable);
  request->tried.insert(attempt.server.life.id);
  log_.Write(LogPart::kRequest, sent ? "attempt-lost" : "attempt-unreachable",
             {{"id", request->attempt_id},
              {"server", attempt.server.life.id},
              {"age_ms", Milliseconds(now - attempt.sent)}});
  if (sent) {
    request->may_have_run = true;
    HandleLost(request);
  } else {
    HandleUnreachable(request);
  }
}

void RequestRelay::HandleAnswer(const RequestPtr& request,
                                const Attempt& attempt,
                                ServerAnswer answer) {
  const Instant now = Now();
  const auto load_field = answer.fields.find(platform::kLoadField);
  if (load_field != answer.fields.end()) {
    const auto load = platform::ParseLoad(
        {load_field->value().data(), load_field->value().size()});
    if (load) {
      pool_.NoteLoad(now, attempt.server.life, load->running + load->waiting,
                     load->slowness);
    }
  }
  const bool not_run =
      answer.status == 421 ||
      answer.fields.find(platform::kNotRunField) != answer.fields.end();
  const bool is_signed =
      answer.fields.find(platform::kSignatureField) != answer.fields.end();
  if (not_run) {
    pool_.NoteEnd(now, attempt.server.life, attempt.sent,
                  answer.status == 421 ? ServerResult::kAbandoned
                                       : ServerResult::kRefused);
    HandleNotRun(request, attempt, answer.status);
    return;
  }
  const bool own_failure = answer.status >= 500;
  const bool success = answer.status >= 200 && answer.status < 300;
  if ((success && !is_signed) || answer.status == 408 || answer.status == 429 ||
      answer.status == 503) {
    // Not the server's own answer, or one that would promise what is not sure.
    pool_.NoteEnd(now, attempt.server.life, attempt.sent,
                  ServerResult::kFailed);
    request->tried.insert(attempt.server.life.id);
    request->may_have_run = true;
    HandleLost(request);
    return;
  }
  pool_.NoteEnd(now, attempt.server.life, attempt.sent,
                own_failure ? ServerResult::kFailed : ServerResult::kAnswered);
  request->may_have_run = true;
  if (own_failure && !request->abandoned &&
      state::MayRepeat(request->route->kind) && !request->key &&
      request->end - now > attempt.expected + kShortestSend &&
      WithdrawRepeat(*request)) {
    request->tried.insert(attempt.server.life.id);
    TrySend(request);
    return;
  }
  CallerAnswer own;
  own.status = answer.status;
  own.reason = std::move(answer.reason);
  CopyEndToEndFields(answer.fields, &own.fields);
  own.body = std::move(answer.body);
  if (own_failure || now - request->received > request->route->target_latency) {
    LogEnd(*request, own_failure ? "answered-failure" : "answered-late",
           attempt.server.life.id);
  }
  Finish(request, own_failure ? "failed" : "answered", std::move(own));
}

void RequestRelay::HandleNotRun(const RequestPtr& request,
                                const Attempt& attempt,
                                int status) {
  log_.Write(LogPart::kRequest, "attempt-not-run",
             {{"id", request->attempt_id},
              {"server", attempt.server.life.id},
              {"status", static_cast<std::int64_t>(status)},
              {"term", view_.table.term},
              {"revision", view_.table.revision}});
  if (status == 400) {
    Finish(request, "failed", {400, "Bad Request", {}, ""});
    return;
  }
  if (request->abandoned || !request->attempts.empty()) {
    if (request->attempts.empty()) {
      Finish(request, "abandoned", {});
    }
    return;
  }
  const bool full =
      request->key && status != 421 && !pool_.HasFreeSlots(attempt.server.life);
  if (full || !WithdrawRepeat(*request)) {
    // A key has no other server.
    Refuse(request, full ? "owner-full" : "server-refused", kUsualRetryAfter);
    return;
  }
  if (request->key) {
    if (status == 421) {
      request->refuted_table =
          std::pair(view_.table.term, view_.table.revision);
      WaitForOwner(request);
      return;
    }
    TrySend(request);
    return;
  }
  request->tried.insert(attempt.server.life.id);
  TrySend(request);
}

// The attempt may have been run.
void RequestRelay::HandleLost(const RequestPtr& request) {
  if (request->abandoned || !request->attempts.empty()) {
    if (request->attempts.empty()) {
      Finish(request, "abandoned", {});
    }
    return;
  }
  if (state::MayRepeat(request->route->kind) &&
      request->sends < request->route->max_attempts &&
      WithdrawRepeat(*request)) {
    TrySend(request);
    return;
  }
  FailUnknown(request, "attempt-lost");
}

void RequestRelay::HandleUnreachable(const RequestPtr& request) {
  --request->sends;
  ++request->failed_connections;
  if (request->abandoned || !request->attempts.empty()) {
    if (request->attempts.empty()) {
      Finish(request, "abandoned", {});
    }
    return;
  }
  if (request->failed_connections >= kMostFailedConnections) {
    Refuse(request, "unreachable", kUsualRetryAfter);
    return;
  }
  TrySend(request);
}

bool RequestRelay::WithdrawRepeat(const Request& request) {
  if (request.sends >= std::max(2, request.route->max_attempts) ||
      !Budget(request.service).Withdraw()) {
    return false;
  }
  ++repeats_;
  return true;
}

coordination::RetryBudget& RequestRelay::Budget(const std::string& service) {
  if (budget_hosts_ != view_.hosts) {
    budget_hosts_ = view_.hosts;
    budgets_.clear();
  }
  return budgets_
      .try_emplace(service, profile_.bounds.retry_ratio * kRatioInUse,
                   profile_.bounds.retry_slack * kSlackInUse /
                       static_cast<double>(budget_hosts_))
      .first->second;
}

void RequestRelay::Hedge(const RequestPtr& request) {
  const Instant now = Now();
  if (request->attempts.size() != 1 || request->key || request->abandoned ||
      !state::MayRepeat(request->route->kind) ||
      request->sends >= request->route->max_attempts) {
    return;
  }
  const Attempt& first = request->attempts.front();
  const Duration delay = std::max(
      kShortestHedge,
      Duration(static_cast<Duration::rep>(
          static_cast<double>(first.expected.count()) * kHedgeFactor)));
  if (!first.link->connected() || now - first.sent < delay ||
      now + first.expected > request->end) {
    return;
  }
  request->tried.insert(first.server.life.id);
  const auto choice = pool_.Choose(
      now, {request->service, &request->tried, LongestExpected(*request),
            request->route->kind == state::RequestKind::kDownload});
  const auto* found = std::get_if<ServerChoice>(&choice);
  if (found == nullptr || !WithdrawRepeat(*request)) {
    return;
  }
  SendTo(request, *found);
}

void RequestRelay::Tick(Instant now) {
  std::vector<RequestPtr> requests;
  requests.reserve(requests_.size());
  for (const auto& [id, request] : requests_) {
    requests.push_back(request);
  }
  for (const RequestPtr& request : requests) {
    if (!requests_.contains(request->id)) {
      continue;
    }
    const auto slow =
        std::find_if(request->attempts.begin(), request->attempts.end(),
                     [now](const Attempt& attempt) {
                       return !attempt.link->connected() &&
                              now - attempt.sent >= kConnectTimeout;
                     });
    if (slow != request->attempts.end()) {
      slow->link->Abort();
      HandleEnd(request, slow, LinkEnd::kNotConnected, {});
    }
    if (!requests_.contains(request->id)) {
      continue;
    }
    if (now >= request->end) {
      HandleDeadline(request);
    } else if (request->waiting_since) {
      TrySend(request);
    } else {
      Hedge(request);
    }
  }
  links_.Tick(now);
}

void RequestRelay::HandleTableChange(Instant /*now*/) {
  std::vector<RequestPtr> waiting;
  for (const auto& [id, request] : requests_) {
    if (request->waiting_since) {
      waiting.push_back(request);
    }
  }
  for (const RequestPtr& request : waiting) {
    TrySend(request);
  }
}

void RequestRelay::Abandon(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  const RequestPtr request = found->second;
  request->abandoned = true;
  request->handler = nullptr;
  const bool may_stop =
      request->route == nullptr || state::MayRepeat(request->route->kind);
  if (may_stop || request->attempts.empty()) {
    Finish(request, "abandoned", {});
  }
}

void RequestRelay::AbortAttempts(const RequestPtr& request) {
  const Instant now = Now();
  for (const Attempt& attempt : request->attempts) {
    attempt.link->Abort();
    pool_.NoteEnd(now, attempt.server.life, attempt.sent,
                  ServerResult::kAbandoned);
  }
  request->attempts.clear();
}

void RequestRelay::HandleDeadline(const RequestPtr& request) {
  const bool at_server =
      request->may_have_run ||
      std::any_of(request->attempts.begin(), request->attempts.end(),
                  [](const Attempt& a) { return a.link->connected(); });
  if (!at_server) {
    Refuse(request, "deadline", kUsualRetryAfter);
    return;
  }
  std::string_view server = "none";
  if (!request->attempts.empty()) {
    server = request->attempts.back().server.life.id;
  }
  LogEnd(*request, "timed-out", server);
  Finish(request, "timed-out", {504, "Gateway Timeout", {}, ""});
}

void RequestRelay::Refuse(const RequestPtr& request,
                          std::string_view reason,
                          Duration retry_after) {
  if (request->may_have_run) {
    FailUnknown(request, reason);
    return;
  }
  LogEnd(*request, "refused", reason);
  // Spreads the callers that come back.
  const auto after = Duration(static_cast<Duration::rep>(
      static_cast<double>(retry_after.count()) * (0.75 + 0.5 * random_())));
  Finish(request, "refused",
         {503,
          "Service Unavailable",
          {{"Retry-After", FormatSeconds(after)}},
          ""});
}

void RequestRelay::FailUnknown(const RequestPtr& request,
                               std::string_view reason) {
  LogEnd(*request, "unknown", reason);
  Finish(request, "unknown", {502, "Bad Gateway", {}, ""});
}

void RequestRelay::Finish(const RequestPtr& request,
                          std::string_view outcome,
                          CallerAnswer answer) {
  AbortAttempts(request);
  metrics_.ObserveRequest(request->route == nullptr ? "" : request->route->name,
                          std::string(outcome), Now() - request->received);
  requests_.erase(request->id);
  if (request->handler) {
    const AnswerHandler handler = std::move(request->handler);
    request->handler = nullptr;
    handler(std::move(answer));
  }
}

void RequestRelay::LogEnd(const Request& request,
                          std::string_view event,
                          std::string_view reason) {
  log_.Write(
      LogPart::kRequest, event,
      {{"id", request.attempt_id},
       {"service", request.service},
       {"reason", reason},
       {"age_ms", Milliseconds(Now() - request.received)},
       {"left_ms", Milliseconds(request.end - Now())},
       {"key", request.key ? static_cast<std::int64_t>(*request.key) : -1},
       {"sends", static_cast<std::int64_t>(request.sends)},
       {"config", request.config ? request.config->version() : -1},
       {"term", view_.table.term},
       {"revision", view_.table.revision}});
}

void RequestRelay::SetMetrics(Instant now) {
  Duration oldest{0};
  std::size_t waiting = 0;
  for (const auto& [id, request] : requests_) {
    oldest = std::max<Duration>(oldest, now - request->received);
    waiting += request->waiting_since ? 1 : 0;
  }
  double left = profile_.bounds.retry_slack;
  for (const auto& [service, budget] : budgets_) {
    left = std::min(left, budget.left());
  }
  metrics_.Set("mustardflow_requests_under_way",
               static_cast<double>(requests_.size()));
  metrics_.Set("mustardflow_oldest_request_seconds",
               std::chrono::duration<double>(oldest).count());
  metrics_.Set("mustardflow_waiting_for_owner", static_cast<double>(waiting));
  metrics_.Set("mustardflow_repeats_total", static_cast<double>(repeats_));
  metrics_.Set("mustardflow_repeats_left", left);
  metrics_.Set("mustardflow_server_connections_total",
               static_cast<double>(links_.opened()));
}

std::map<std::string, coordination::LoadReport> RequestRelay::TakeLoad() {
  std::map<std::string, coordination::LoadReport> load;
  for (auto& [service, sampler] : samplers_) {
    load.emplace(service, sampler.Take());
  }
  return load;
}

}  // namespace mustardflow::transport
