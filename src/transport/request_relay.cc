// Executes the actions of RequestFlow: sends attempts, writes logs and metrics.

#include "transport/request_relay.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "coordination/stop_schedule.h"
#include "platform/server_protocol.h"
#include "protocol/crash_codec.h"
#include "protocol/object_reader.h"
#include "transport/clocks.h"
#include "transport/header_fields.h"
#include "transport/request_fingerprint.h"

namespace mustardflow::transport {

using coordination::AttemptId;
using coordination::FinishRequest;
using coordination::RequestOutcome;
using coordination::SendResult;
using coordination::ServerAnnouncement;
using state::Duration;
using state::Instant;

namespace {

// Retry-After for requests that arrive before the first configuration, that a
// newer one might allow, or that were sent before a recent one.
constexpr Duration kNoConfigRetryAfter = std::chrono::milliseconds(500);
// Retry-After for requests that come too late in a stop. Other hosts can serve
// them at once.
constexpr Duration kStoppingRetryAfter = std::chrono::milliseconds(50);
// In the metrics, all organisations but the largest.
constexpr std::string_view kOtherOrganisations = "other";
// Retry-After for requests over the limit of their organisation, and the time
// over which it is spread. A bucket recovers from a debt in about 2 s.
constexpr Duration kOverLimitRetryAfter = std::chrono::milliseconds(1000);
constexpr Duration kOverLimitSpread = std::chrono::milliseconds(1000);
// Maximum number of shard keys sampled for one load report of a service.
constexpr std::size_t kSamplesPerReport = 120;
// A request with a longer body costs more in another zone.
constexpr std::size_t kLargeBodyBytes = 16 << 10;
// Retry-After for requests that find no memory or no descriptor. Connections
// that make no progress for this time are closed.
constexpr Duration kNoMemoryRetryAfter = std::chrono::milliseconds(1000);
// Upper bound of the times that header fields may state. A higher value is
// replaced by it, so that sums of times do not overflow.
constexpr Duration kMaxStatedTime = std::chrono::hours(24);
// The last enumerator of RequestKind; forwarded requests with a higher number
// are rejected.
constexpr auto kMaxRequestKind =
    static_cast<int>(state::RequestKind::kDownload);

// The highest priority number that a forwarded request may state.
constexpr std::int64_t kMaxPriority = 1000;

// Whether the text can be sent as a header field: visible ASCII characters, and
// spaces inside. Operators name routes freely.
bool IsFieldValue(std::string_view text) {
  return !text.empty() && text.front() != ' ' && text.back() != ' ' &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return character >= ' ' && character <= '~';
         });
}

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

beast::string_view ToBeastView(std::string_view name) {
  return {name.data(), name.size()};
}

std::optional<std::int64_t> IntegerOf(const CallerMessage& message,
                                      std::string_view field) {
  const beast::string_view value = message[ToBeastView(field)];
  return ParseInteger({value.data(), value.size()});
}

// Returns the time that the field states in milliseconds, if it is a number and
// not negative.
std::optional<Duration> MillisecondsOf(const CallerMessage& message,
                                       std::string_view field) {
  const auto value = IntegerOf(message, field);
  if (!value || *value < 0) {
    return std::nullopt;
  }
  constexpr std::int64_t kMaxMilliseconds = kMaxStatedTime.count() / 1000;
  return std::chrono::milliseconds(std::min(*value, kMaxMilliseconds));
}

// Formats a value of Retry-After: seconds with two decimal places.
std::string FormatSeconds(Duration duration) {
  std::array<char, 32> buffer{};
  const auto end =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(),
                    std::chrono::duration<double>(duration).count(),
                    std::chars_format::fixed, 2);
  return {buffer.data(), end.ptr};
}

// Parses a value of Retry-After in seconds, which may have a fraction.
std::optional<Duration> ParseSeconds(beast::string_view text) {
  double seconds = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  const bool is_number = parsed.ec == std::errc() &&
                         parsed.ptr == text.data() + text.size() &&
                         seconds >= 0;
  if (!is_number) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
      std::min(std::chrono::duration<double>(seconds),
               std::chrono::duration<double>(kMaxStatedTime)));
}

std::int64_t Milliseconds(Duration duration) {
  return duration.count() / 1000;
}

constexpr std::array<std::string_view, 3> kOriginNames = {"host", "server",
                                                          "unsigned"};

std::string_view NameOf(AnswerOrigin origin) {
  return kOriginNames[static_cast<std::size_t>(origin)];
}

// Whether the answer has one signature. With several, its head is made of the
// heads of several answers.
bool IsSigned(const ServerAnswer& answer) {
  return answer.fields.count(platform::kSignatureField) == 1 &&
         !answer.fields.find(platform::kSignatureField)->value().empty();
}

// Whether the status tells the caller that the request itself is wrong.
bool IsRejection(int status) {
  return status >= 300 && status < 500;
}

// Whether the status promises the caller that the request was not run.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Whether the answer is a success or a rejection of the server. Both are final
// for the caller, so only the server's signature makes them its own answer. A
// status that promises that the request was not run is certain only if the
// server states so as well.
bool IsFinalAnswer(const ServerAnswer& answer) {
  return answer.status < 500 && IsSigned(answer) &&
         !PromisesNotRun(answer.status) &&
         answer.fields.find(platform::kNotExecutedField) == answer.fields.end();
}

// Whether the answer is a failure that may be passed on without a signature,
// since it promises nothing and the caller may retry.
bool IsFailure(const ServerAnswer& answer) {
  return answer.status >= 500 && answer.status < 600 &&
         !PromisesNotRun(answer.status);
}

// Returns the value of a field that occurs once; empty otherwise.
beast::string_view SingleField(const http::fields& fields,
                               std::string_view name) {
  return fields.count(ToBeastView(name)) == 1 ? fields[ToBeastView(name)]
                                              : beast::string_view();
}

// Returns the server whose answer a gate has passed on; nullopt if the gate
// names none.
std::optional<state::ServerIncarnation> AnsweredBy(const ServerAnswer& answer) {
  const beast::string_view field = SingleField(answer.fields, kAnsweredByField);
  const std::string_view text(field.data(), field.size());
  const std::size_t space = text.find(' ');
  const auto start_time = ParseInteger(text.substr(0, space));
  if (space == std::string_view::npos || !start_time) {
    return std::nullopt;
  }
  return state::ServerIncarnation{std::string(text.substr(space + 1)),
                                  *start_time};
}

// Returns what the server announces in the answer. An unsigned answer that
// states no failure may be spoiled and announces nothing.
ServerAnnouncement AnnouncementIn(const ServerAnswer& answer) {
  ServerAnnouncement announcement;
  announcement.certain = IsSigned(answer);
  const bool not_run =
      answer.fields.find(platform::kNotExecutedField) != answer.fields.end();
  if (!announcement.certain && !not_run && answer.status < 500) {
    return announcement;
  }
  const beast::string_view limit =
      SingleField(answer.fields, platform::kRateLimitField);
  announcement.rate_limit =
      platform::ParseRateLimit({limit.data(), limit.size()});
  // A limit that cannot be read is neither a new limit nor the end of one.
  announcement.certain =
      announcement.certain &&
      (announcement.rate_limit ||
       answer.fields.count(ToBeastView(platform::kRateLimitField)) == 0);
  announcement.leaving = SingleField(answer.fields, platform::kLeavingField) ==
                         ToBeastView(platform::kLeavingValue);
  if (answer.status == 503) {
    announcement.pause =
        ParseSeconds(SingleField(answer.fields, "Retry-After"));
  }
  return announcement;
}

// How the end of a request appears in the metrics and in the log.
struct EndingLabels {
  // A value of the metrics' outcome label.
  std::string_view outcome;
  // The event in the log; empty if the end is not logged.
  std::string_view event;
};

EndingLabels LabelsFor(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kAnswered:
      return {"answered", ""};
    case RequestOutcome::kFailed:
      return {"failed", "answered-failure"};
    case RequestOutcome::kRefused:
      return {"refused", "refused"};
    case RequestOutcome::kUnknown:
      return {"unknown", "unknown"};
    case RequestOutcome::kTimedOut:
      return {"timed-out", "timed-out"};
    case RequestOutcome::kCancelled:
      break;
  }
  return {"abandoned", ""};
}

CallerAnswer RefusalAnswer(Duration retry_after) {
  CallerAnswer answer;
  answer.status = 503;
  answer.reason = "Service Unavailable";
  answer.fields.emplace_back("Retry-After", FormatSeconds(retry_after));
  return answer;
}

}  // namespace

RequestRelay::RequestRelay(asio::io_context& context,
                           const state::HostProfile& profile,
                           const state::RoutingView& view,
                           coordination::ServerPool& pool,
                           std::function<double()> random,
                           EventLog& log,
                           EntryMetrics& metrics)
    : profile_(profile),
      view_(view),
      pool_(pool),
      random_(random),
      log_(log),
      metrics_(metrics),
      memory_(std::make_shared<MemoryAccount>(profile.memory_bytes)),
      connection_limits_(
          admission::ConnectionLimitsFor(profile.max_descriptors)),
      open_connections_(std::make_shared<std::size_t>(0)),
      server_connections_(context, memory_, open_connections_),
      gate_connections_(context, memory_, open_connections_),
      flow_(view, pool, profile.bounds, std::move(random)),
      organisation_limits_(profile.bounds) {
  crash_watch().SetCheckInInterval(profile.server_heartbeat);
  if (profile.admission_by_priority) {
    pool_.EstimateByKind();
    flow_.AdmitByPriority();
  }
}

RequestRelay::RequestId RequestRelay::Start(CallerMessage message,
                                            RequestSource source,
                                            AnswerHandler handler) {
  auto request = std::make_shared<Request>();
  request->id = ++last_id_;
  request->message = std::move(message);
  request->source = source;
  request->handler = std::move(handler);
  request->terms.received = Now();
  request->terms.end = request->terms.received;
  requests_.emplace(request->id, request);
  const bool usable = (source == RequestSource::kHost
                           ? ClassifyForwarded(request)
                           : Classify(request) && CheckAttemptId(request)) &&
                      CheckStop(request) && CheckConnections(request) &&
                      CheckLimit(request);
  if (usable) {
    Perform(flow_.Start(request->terms.received, request->id, request->terms));
  }
  return request->id;
}

std::optional<state::ShardKey> RequestRelay::KeyOf(
    const Request& request) const {
  const auto key = IntegerOf(request.message, platform::kShardKeyField);
  if (!key || *key < 0 || *key >= state::kShardKeyCount) {
    return std::nullopt;
  }
  return static_cast<state::ShardKey>(*key);
}

bool RequestRelay::Classify(const RequestPtr& request) {
  const CallerMessage& message = request->message;
  request->attempt_id = std::string(message[platform::kAttemptIdField]);
  request->config = view_.config;
  if (!request->config) {
    RejectRequest(request, "refused", "no-configuration",
                  RefusalAnswer(kNoConfigRetryAfter));
    return false;
  }
  const std::string_view target(message.target().data(),
                                message.target().size());
  const std::string hostname = HostnameOf(
      {message[http::field::host].data(), message[http::field::host].size()});
  request->route =
      request->config->FindRoute(hostname, target.substr(0, target.find('?')));
  if (request->route == nullptr) {
    RejectByConfig(request, "no-route", hostname + std::string(target),
                   {404, "Not Found", {}, {}});
    return false;
  }
  if (!CheckCredential(request)) {
    return false;
  }
  if (request->route->services.empty()) {
    RejectRequest(request, "refused", "route-unreadable",
                  RefusalAnswer(kNoConfigRetryAfter));
    return false;
  }
  Duration allowed = request->route->timeout;
  if (const auto deadline = MillisecondsOf(message, platform::kDeadlineField)) {
    allowed = std::min(allowed, *deadline);
  }
  coordination::RequestTerms& terms = request->terms;
  terms.kind = request->route->kind;
  terms.large = terms.kind == state::RequestKind::kDownload ||
                message.body().size() > kLargeBodyBytes;
  terms.target_latency = request->route->target_latency;
  terms.max_attempts = request->route->max_attempts;
  terms.route = request->route->name;
  terms.fingerprint = FingerprintOf(message);
  terms.end = terms.received + allowed;
  return ChooseService(request);
}

bool RequestRelay::CheckCredential(const RequestPtr& request) {
  request->terms.priority = state::PriorityOf(*request->route, nullptr);
  if (!request->config->organisations()) {
    return true;
  }
  request->drop_credentials = true;
  if (request->route->is_public) {
    return true;
  }
  const beast::string_view key =
      SingleField(request->message, platform::kCredentialField);
  const state::Organisation* organisation =
      request->config->FindKey({key.data(), key.size()});
  if (organisation == nullptr) {
    RejectByConfig(request,
                   key.empty() ? "no-credential" : "unknown-credential",
                   request->route->name, {401, "Unauthorized", {}, {}});
    return false;
  }
  request->organisation = organisation->name;
  request->limited = organisation->limited();
  request->terms.priority = state::PriorityOf(*request->route, organisation);
  return true;
}

bool RequestRelay::ChooseService(const RequestPtr& request) {
  coordination::RequestTerms& terms = request->terms;
  const auto key = KeyOf(*request);
  const auto is_keyed = [&config = *request->config](const std::string& name) {
    const auto rules = config.services().find(name);
    return rules != config.services().end() && rules->second.keyed;
  };
  const std::string* service = split_.Pick(
      *request->route,
      [&](const std::string& name) { return key || !is_keyed(name); });
  if (service == nullptr) {
    if (Now() - view_.config_since <= profile_.bounds.config_apply) {
      // The caller may have sent the request before the service was keyed.
      RejectRequest(request, "refused", "configuration-recent",
                    RefusalAnswer(kNoConfigRetryAfter));
    } else {
      RejectByConfig(request, "no-key", request->route->name,
                     {400, "Bad Request", {}, {}});
    }
    return false;
  }
  terms.service = *service;
  if (is_keyed(terms.service)) {
    terms.key = key;
    // Scales the random fraction to an integer. The factor is 2^53, since a
    // double has 53 significant bits.
    samplers_.try_emplace(terms.service, kSamplesPerReport)
        .first->second.Record(*terms.key, static_cast<std::uint64_t>(
                                              random_() * 9007199254740992.0));
  }
  return true;
}

void RequestRelay::RejectByConfig(const RequestPtr& request,
                                  std::string_view event,
                                  std::string_view reason,
                                  CallerAnswer answer) {
  if (ConfigConfirmed()) {
    RejectRequest(request, event, reason, std::move(answer));
  } else {
    RejectRequest(request, "refused", "configuration-unconfirmed",
                  UnconfirmedAnswer());
  }
}

bool RequestRelay::ConfigConfirmed() const {
  return view_.config && view_.config->complete() &&
         view_.config_confirmed_at &&
         Now() - *view_.config_confirmed_at <= profile_.bounds.config_apply;
}

CallerAnswer RequestRelay::UnconfirmedAnswer() {
  return RefusalAnswer(kNoConfigRetryAfter);
}

CallerAnswer RequestRelay::NoMemoryAnswer() {
  return RefusalAnswer(kNoMemoryRetryAfter);
}

bool RequestRelay::CheckConnections(const RequestPtr& request) {
  if (*open_connections_ < connection_limits_.servers ||
      server_connections_.HasIdle() || gate_connections_.HasIdle()) {
    return true;
  }
  RejectRequest(request, "refused", "no-descriptors", NoMemoryAnswer());
  return false;
}

bool RequestRelay::CheckAttemptId(const RequestPtr& request) {
  if (!request->attempt_id.empty()) {
    return true;
  }
  RejectRequest(request, "no-id", request->terms.service,
                {400, "Bad Request", {}, {}});
  return false;
}

bool RequestRelay::CheckStop(const RequestPtr& request) {
  if (!stopping_since_) {
    return true;
  }
  const coordination::StopSchedule schedule(profile_.bounds.stop_grace);
  coordination::RequestTerms& terms = request->terms;
  if (!schedule.MayTake(terms.received - *stopping_since_,
                        terms.end - terms.received, terms.target_latency)) {
    // The forwarding host takes "unreadable" as not sent on, and sends the
    // request itself.
    const bool forwarded = request->source == RequestSource::kHost;
    RejectRequest(request, forwarded ? "stopping" : "refused", "stopping",
                  RefusalAnswer(kStoppingRetryAfter));
    return false;
  }
  terms.end = std::min(terms.end, *stopping_since_ + schedule.RequestsEnd());
  return true;
}

bool RequestRelay::CheckLimit(const RequestPtr& request) {
  if (!request->limited || request->source == RequestSource::kHost) {
    return true;
  }
  const state::Organisation* organisation =
      request->config->FindOrganisation(request->organisation);
  const bool admitted = organisation_limits_.Admit(
      request->terms.received, *organisation, view_.hosts, random_());
  const std::string_view label =
      organisation->largest ? organisation->name : kOtherOrganisations;
  metrics_.CountOrganisationRequest(label, admitted);
  if (admitted) {
    request->has_unused_admission = true;
    return true;
  }
  const auto spread =
      std::chrono::duration_cast<Duration>(random_() * kOverLimitSpread);
  CallerAnswer answer{429, "Too Many Requests", {}, {}};
  answer.fields.emplace_back("Retry-After",
                             FormatSeconds(kOverLimitRetryAfter + spread));
  RejectRequest(request, "over-limit", request->organisation,
                std::move(answer));
  return false;
}

void RequestRelay::CountAttempt(Request* request) {
  if (!request->limited) {
    return;
  }
  if (!request->has_unused_admission) {
    organisation_limits_.Charge(Now(), request->organisation);
  }
  request->has_unused_admission = false;
}

void RequestRelay::ReturnAttempt(Request* request) {
  if (!request->limited) {
    return;
  }
  if (request->has_unused_admission) {
    organisation_limits_.GiveBack(Now(), request->organisation);
  }
  request->has_unused_admission = true;
}

void RequestRelay::SettleAdmission(Request* request, RequestOutcome outcome) {
  if (!request->limited) {
    return;
  }
  if (request->source == RequestSource::kHost) {
    // The forwarding host returns the attempt of a request that was refused,
    // though a server may have got it and refused it.
    if (outcome == RequestOutcome::kRefused && !request->has_unused_admission) {
      organisation_limits_.Charge(Now(), request->organisation);
    }
  } else if (request->has_unused_admission) {
    organisation_limits_.GiveBack(Now(), request->organisation);
  }
  request->has_unused_admission = false;
}

bool RequestRelay::ClassifyForwarded(const RequestPtr& request) {
  const CallerMessage& message = request->message;
  request->attempt_id = std::string(message[platform::kAttemptIdField]);
  request->config = view_.config;
  const auto organisation =
      message.find(ToBeastView(kForwardOrganisationField));
  // The forwarding host may not know yet of a configuration with keys.
  request->drop_credentials =
      organisation != message.end() ||
      (request->config && request->config->organisations());
  if (organisation != message.end()) {
    request->organisation = std::string(organisation->value());
  }
  const auto deadline = MillisecondsOf(message, platform::kDeadlineField);
  const auto kind = IntegerOf(message, kForwardKindField);
  const auto target = MillisecondsOf(message, kForwardTargetLatencyField);
  const auto attempts = IntegerOf(message, kForwardMaxAttemptsField);
  coordination::RequestTerms& terms = request->terms;
  terms.forwarded = true;
  terms.service = std::string(message[ToBeastView(kForwardServiceField)]);
  terms.key = KeyOf(*request);
  const bool known_kind = kind && *kind >= 0 && *kind <= kMaxRequestKind;
  const bool valid_attempts =
      attempts && *attempts >= 1 && *attempts <= state::kMaxAttempts;
  if (!deadline || !known_kind || !target || !valid_attempts || !terms.key) {
    RejectRequest(request, "malformed-forward", terms.service,
                  {400, "Bad Request", {}, {}});
    return false;
  }
  terms.kind = static_cast<state::RequestKind>(*kind);
  terms.target_latency = *target;
  terms.max_attempts = static_cast<int>(*attempts);
  const auto priority = IntegerOf(message, kForwardPriorityField);
  if (priority && *priority >= 0 && *priority <= kMaxPriority) {
    terms.priority = static_cast<int>(*priority);
  }
  terms.route = std::string(message[ToBeastView(kForwardRouteField)]);
  const beast::string_view fingerprint =
      message[ToBeastView(kForwardFingerprintField)];
  terms.fingerprint =
      protocol::ParseFingerprint({fingerprint.data(), fingerprint.size()});
  terms.trial = message[ToBeastView(kForwardTrialField)] ==
                ToBeastView(kForwardTrialValue);
  terms.end = terms.received + *deadline;
  const state::Organisation* known =
      request->config ? request->config->FindOrganisation(request->organisation)
                      : nullptr;
  if (known != nullptr) {
    request->limited = known->limited();
    // The forwarding host has admitted the request and counted one attempt.
    request->has_unused_admission = true;
    terms.priority = known->priority ? known->priority : terms.priority;
  }
  return true;
}

void RequestRelay::Perform(const coordination::FlowActions& actions) {
  struct Visitor {
    RequestRelay* relay;

    void operator()(const coordination::SendAttempt& send) const {
      relay->Send(send);
    }
    void operator()(const coordination::AbortAttempt& abort) const {
      relay->Abort(abort);
    }
    void operator()(const FinishRequest& conclusion) const {
      relay->EndRequest(conclusion);
    }
    void operator()(const coordination::ReportAttempt& report) const {
      relay->LogAttempt(report);
    }
  };
  for (const coordination::FlowAction& action : actions) {
    std::visit(Visitor{this}, action);
  }
}

RequestRelay::RequestPtr RequestRelay::Find(RequestId id) const {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : found->second;
}

void RequestRelay::Send(const coordination::SendAttempt& send) {
  const RequestPtr request = Find(send.request);
  if (!request) {
    return;
  }
  ServerConnectionPool& connections =
      send.gate ? gate_connections_ : server_connections_;
  state::ServerRecord peer = send.server;
  if (send.gate) {
    peer.address = *send.gate;
    peer.incarnation = {protocol::FormatAddress(*send.gate), 0};
  }
  const auto connection = connections.Take(
      Now(), peer, send.fresh_connection_only, request->used_connections);
  if (*open_connections_ > connection_limits_.servers &&
      !server_connections_.CloseIdle()) {
    gate_connections_.CloseIdle();
  }
  request->used_connections.push_back(connection);
  CountAttempt(request.get());
  request->connections.emplace(send.attempt, connection);
  connection->Send(
      RequestHead(*request, send),
      std::shared_ptr<const BodyBuffer>(request, &request->message.body()),
      request->attempt_id, request->message.method() == http::verb::head,
      [this, id = send.request, attempt = send.attempt,
       incarnation = peer.incarnation, is_gate = send.gate.has_value(),
       sent = Now()](ExchangeResult exchange_result, ServerAnswer answer) {
        HandleExchangeResult(id, attempt, incarnation, is_gate, sent,
                             exchange_result, std::move(answer));
      });
}

void RequestRelay::Abort(const coordination::AbortAttempt& abort) {
  const RequestPtr request = Find(abort.request);
  if (!request) {
    return;
  }
  const auto connection = request->connections.find(abort.attempt);
  if (connection == request->connections.end()) {
    return;
  }
  connection->second->Abort();
  request->connections.erase(connection);
}

std::string RequestRelay::RequestHead(
    const Request& request,
    const coordination::SendAttempt& send) const {
  const CallerMessage& message = request.message;
  std::string bytes;
  bytes.reserve(512);
  AppendText(message.method_string(), &bytes);
  bytes += ' ';
  AppendText(message.target(), &bytes);
  bytes += " HTTP/1.1\r\n";
  AppendEndToEndFields(message.base(), message.long_fields,
                       request.drop_credentials, &bytes);
  if (!message.body().empty() ||
      message.find(http::field::content_length) != message.end() ||
      message.find(http::field::transfer_encoding) != message.end()) {
    AppendField("Content-Length", std::to_string(message.body().size()),
                &bytes);
  }
  const Duration left = std::max(Duration(0), request.terms.end - Now());
  AppendField(platform::kDeadlineField, std::to_string(Milliseconds(left)),
              &bytes);
  if (send.gate) {
    const coordination::RequestTerms& terms = request.terms;
    AppendField(kForwardServiceField, terms.service, &bytes);
    AppendField(kForwardKindField, std::to_string(static_cast<int>(terms.kind)),
                &bytes);
    AppendField(kForwardTargetLatencyField,
                std::to_string(Milliseconds(terms.target_latency)), &bytes);
    AppendField(kForwardMaxAttemptsField, std::to_string(terms.max_attempts),
                &bytes);
    if (terms.fingerprint) {
      AppendField(kForwardFingerprintField,
                  protocol::FormatFingerprint(*terms.fingerprint), &bytes);
    }
    if (send.trial) {
      AppendField(kForwardTrialField, kForwardTrialValue, &bytes);
    }
    if (request.drop_credentials) {
      AppendField(kForwardOrganisationField, request.organisation, &bytes);
    }
    if (profile_.admission_by_priority) {
      if (terms.priority) {
        AppendField(kForwardPriorityField, std::to_string(*terms.priority),
                    &bytes);
      }
      if (IsFieldValue(terms.route)) {
        AppendField(kForwardRouteField, terms.route, &bytes);
      }
    }
  } else {
    AppendField(platform::kServerIdField, send.server.incarnation.id, &bytes);
    if (!request.organisation.empty()) {
      AppendField(platform::kOrganisationField, request.organisation, &bytes);
    }
  }
  bytes += "\r\n";
  return bytes;
}

void RequestRelay::HandleExchangeResult(RequestId id,
                                        AttemptId attempt,
                                        const state::ServerIncarnation& peer,
                                        bool is_gate,
                                        Instant sent,
                                        ExchangeResult exchange_result,
                                        ServerAnswer answer) {
  const RequestPtr request = Find(id);
  if (!request) {
    return;
  }
  // The flow relates the result to the load that the same answer reports.
  const Instant now = Now();
  RecordConnections(*request);
  const auto connection = request->connections.find(attempt);
  const std::shared_ptr<ServerConnection> used = connection->second;
  request->connections.erase(connection);
  SendResult result = SendResult::kNotConnected;
  std::optional<Duration> retry_after;
  if (exchange_result == ExchangeResult::kAnswered) {
    (is_gate ? gate_connections_ : server_connections_).Return(peer, used);
    result = is_gate ? InterpretGateAnswer(answer)
                     : InterpretServerAnswer(now, peer, answer);
    const auto server = is_gate ? AnsweredBy(answer) : std::optional(peer);
    if (server) {
      RecordAnnouncement(*request, *server, sent, answer, is_gate);
    }
    retry_after =
        is_gate ? ParseSeconds(answer.fields["Retry-After"]) : std::nullopt;
    request->last_status = answer.status;
    if (result == SendResult::kAnswered || result == SendResult::kFailed) {
      request->answer = std::move(answer);
      request->answered_by = is_gate ? std::nullopt : std::optional(peer);
    }
  } else if (exchange_result == ExchangeResult::kBroken) {
    result = SendResult::kLost;
  }
  if (result == SendResult::kNotConnected ||
      result == SendResult::kGateRefused ||
      result == SendResult::kGateRejected) {
    ReturnAttempt(request.get());
  }
  Perform(flow_.HandleResult(now, id, attempt, result, retry_after));
}

void RequestRelay::RecordAnnouncement(const Request& request,
                                      const state::ServerIncarnation& server,
                                      Instant sent,
                                      const ServerAnswer& answer,
                                      bool by_gate) {
  ServerAnnouncement announcement = AnnouncementIn(answer);
  if (by_gate) {
    // The server has answered the gate, not this host.
    announcement.pause.reset();
  }
  if (!pool_.RecordAnnouncement(Now(), server, sent, announcement)) {
    return;
  }
  log_.Write(
      LogPart::kServers, "announced",
      {{"server", server.id},
       {"born", server.start_time_ms},
       {"limit", announcement.rate_limit.value_or(-1)},
       {"leaving", announcement.leaving},
       {"pause_ms", Milliseconds(announcement.pause.value_or(Duration(0)))},
       {"status", static_cast<std::int64_t>(answer.status)},
       {"by_gate", by_gate},
       {"id", request.attempt_id}});
}

SendResult RequestRelay::InterpretGateAnswer(const ServerAnswer& answer) {
  const auto field = answer.fields.find(ToBeastView(kOutcomeField));
  const std::string outcome =
      field == answer.fields.end() ? "" : std::string(field->value());
  if (outcome == "answered") {
    return IsFinalAnswer(answer) ? SendResult::kAnswered
                                 : SendResult::kUntrusted;
  }
  if (outcome == "refused") {
    return SendResult::kGateRefused;
  }
  if (outcome == "timed-out") {
    return SendResult::kGateTimedOut;
  }
  if (outcome == "unknown") {
    return SendResult::kGateUnknown;
  }
  if (outcome == "failed" && IsFailure(answer)) {
    return SendResult::kFailed;
  }
  // Gates of earlier versions answer "failed" with a rejection.
  if (outcome == kUnreadableOutcome ||
      (outcome == "failed" && IsRejection(answer.status))) {
    return SendResult::kGateRejected;
  }
  return SendResult::kUntrusted;
}

SendResult RequestRelay::InterpretServerAnswer(
    Instant now,
    const state::ServerIncarnation& server,
    const ServerAnswer& answer) {
  const auto load_field = answer.fields.find(platform::kLoadField);
  if (load_field != answer.fields.end()) {
    const auto load = platform::ParseLoadReport(
        {load_field->value().data(), load_field->value().size()});
    if (load) {
      pool_.RecordLoad(now, server, load->running + load->waiting,
                       load->slowness);
    }
  }
  // A success contradicts the statement, so it proves nothing.
  const bool not_run =
      answer.status == 421 ||
      (answer.status >= 300 &&
       answer.fields.find(platform::kNotExecutedField) != answer.fields.end());
  if (not_run) {
    return answer.status == 421 ? SendResult::kNotOwner : SendResult::kRefused;
  }
  return IsFinalAnswer(answer) ? SendResult::kAnswered
         : IsFailure(answer)   ? SendResult::kFailed
                               : SendResult::kUntrusted;
}

void RequestRelay::RecordConnections(const Request& request) {
  for (const auto& [attempt, connection] : request.connections) {
    if (connection->connected()) {
      flow_.HandleConnected(request.id, attempt);
    }
  }
}

void RequestRelay::Tick(Instant now) {
  for (const auto& [id, request] : requests_) {
    RecordConnections(*request);
  }
  Perform(flow_.Tick(now));
  server_connections_.Tick(now);
  gate_connections_.Tick(now);
  memory_->Tick(now);
}

void RequestRelay::HandleTableChange(Instant now) {
  Perform(flow_.HandleTableChange(now));
}

void RequestRelay::Cancel(RequestId id) {
  const RequestPtr request = Find(id);
  if (!request) {
    return;
  }
  request->handler = nullptr;
  RecordConnections(*request);
  const std::string_view place =
      coordination::RequestPlaceName(flow_.PlaceOf(id));
  Perform(flow_.HandleCallerDisconnect(Now(), id));
  const bool continues = Find(id) != nullptr;
  metrics_.CountCallerLeft(place, continues);
  log_.Write(LogPart::kRequest, "caller-left",
             {{"id", request->attempt_id},
              {"service", request->terms.service},
              {"place", place},
              {"continues", continues},
              {"repeatable", state::MayRetry(request->terms.kind)},
              {"forwarded", request->source == RequestSource::kHost},
              {"age_ms", Milliseconds(Now() - request->terms.received)},
              {"left_ms", Milliseconds(request->terms.end - Now())}});
}

void RequestRelay::ReportUnread(const CallerMessage& message,
                                RequestSource source) {
  constexpr std::string_view kPlace = "unread";
  metrics_.CountCallerLeft(kPlace, false);
  const beast::string_view id = message[ToBeastView(platform::kAttemptIdField)];
  log_.Write(LogPart::kRequest, "caller-left",
             {{"id", std::string_view(id.data(), id.size())},
              {"place", kPlace},
              {"continues", false},
              {"forwarded", source == RequestSource::kHost}});
}

void RequestRelay::EndAll() {
  for (const auto& [id, request] : requests_) {
    RecordConnections(*request);
  }
  Perform(flow_.EndAll(Now()));
}

void RequestRelay::EndRequest(const FinishRequest& conclusion) {
  const RequestPtr request = Find(conclusion.request);
  if (!request) {
    return;
  }
  SettleAdmission(request.get(), conclusion.outcome);
  const EndingLabels labels = LabelsFor(conclusion.outcome);
  Ending ending{labels.outcome, AnswerOrigin::kHost,
                conclusion.reason.empty() ? labels.event : conclusion.reason};
  CallerAnswer answer;
  switch (conclusion.outcome) {
    case RequestOutcome::kAnswered:
    case RequestOutcome::kFailed:
      ending.origin = OriginOf(request->answer);
      ending.reason = "";
      answer.status = request->answer.status;
      answer.reason = std::move(request->answer.reason);
      CopyEndToEndFields(request->answer.fields, &answer.fields);
      answer.body = std::move(request->answer.body);
      break;
    case RequestOutcome::kRefused:
      answer = RefusalAnswer(conclusion.retry_after);
      break;
    case RequestOutcome::kUnknown:
      answer = {502, "Bad Gateway", {}, {}};
      break;
    case RequestOutcome::kTimedOut:
      answer = {504, "Gateway Timeout", {}, {}};
      break;
    case RequestOutcome::kCancelled:
      break;
  }
  const bool late =
      conclusion.outcome == RequestOutcome::kAnswered &&
      Now() - request->terms.received > request->terms.target_latency;
  std::string_view event = late ? "answered-late" : labels.event;
  if (ending.origin == AnswerOrigin::kServer && IsRejection(answer.status)) {
    event = "rejected-by-server";
  }
  if (!event.empty()) {
    LogEnd(*request, event,
           conclusion.reason.empty() ? std::string_view{conclusion.server}
                                     : conclusion.reason,
           answer.status, conclusion.sends, conclusion.server);
  }
  Finish(request, ending, std::move(answer));
}

AnswerOrigin RequestRelay::OriginOf(const ServerAnswer& answer) {
  return IsSigned(answer) ? AnswerOrigin::kServer : AnswerOrigin::kUnsigned;
}

void RequestRelay::RejectRequest(const RequestPtr& request,
                                 std::string_view event,
                                 std::string_view reason,
                                 CallerAnswer answer) {
  LogEnd(*request, event, reason, answer.status, 0, "");
  const bool refused = event == "refused";
  const std::string_view outcome = refused ? "refused"
                                   : request->source == RequestSource::kHost
                                       ? kUnreadableOutcome
                                       : "failed";
  Finish(request, {outcome, AnswerOrigin::kHost, refused ? reason : event},
         std::move(answer));
}

void RequestRelay::CountRejection(RequestSource source,
                                  int status,
                                  std::string_view reason) {
  if (source == RequestSource::kCaller) {
    metrics_.CountAnswer(status, NameOf(AnswerOrigin::kHost), reason);
  }
}

void RequestRelay::Finish(const RequestPtr& request,
                          const Ending& ending,
                          CallerAnswer answer) {
  const std::string route = request->source == RequestSource::kHost
                                ? "forwarded"
                            : request->route == nullptr ? ""
                                                        : request->route->name;
  metrics_.ObserveRequest(route, std::string(ending.outcome),
                          Now() - request->terms.received);
  if (request->source == RequestSource::kHost) {
    answer.fields.emplace_back(kOutcomeField, ending.outcome);
    const bool of_server =
        ending.outcome == "answered" || ending.outcome == "failed";
    if (of_server && request->answered_by) {
      answer.fields.emplace_back(
          kAnsweredByField,
          std::to_string(request->answered_by->start_time_ms) + ' ' +
              request->answered_by->id);
    }
    AddAttemptId(*request, &answer);
  } else if (request->handler) {
    metrics_.CountAnswer(answer.status, NameOf(ending.origin), ending.reason);
  }
  requests_.erase(request->id);
  if (request->handler) {
    const AnswerHandler handler = std::move(request->handler);
    request->handler = nullptr;
    handler(std::move(answer));
  }
}

void RequestRelay::AddAttemptId(const Request& request, CallerAnswer* answer) {
  const bool present = std::any_of(
      answer->fields.begin(), answer->fields.end(), [](const auto& field) {
        return beast::iequals(field.first,
                              ToBeastView(platform::kAttemptIdField));
      });
  if (!present && !request.attempt_id.empty()) {
    answer->fields.emplace_back(platform::kAttemptIdField, request.attempt_id);
  }
}

void RequestRelay::LogAttempt(const coordination::ReportAttempt& report) {
  const RequestPtr request = Find(report.request);
  if (!request) {
    return;
  }
  log_.Write(LogPart::kRequest, report.event,
             {{"id", request->attempt_id},
              {"server", report.server},
              {"status", static_cast<std::int64_t>(request->last_status)},
              {"age_ms", Milliseconds(report.age)},
              {"expected_ms", Milliseconds(report.expected)},
              {"term", view_.table.term},
              {"revision", view_.table.revision}});
}

void RequestRelay::LogEnd(const Request& request,
                          std::string_view event,
                          std::string_view reason,
                          int status,
                          int sends,
                          std::string_view server) {
  log_.Write(
      LogPart::kRequest, event,
      {{"id", request.attempt_id},
       {"service", request.terms.service},
       {"route", request.terms.route},
       {"priority",
        static_cast<std::int64_t>(request.terms.priority.value_or(-1))},
       {"reason", reason},
       {"server", server},
       {"fingerprint",
        request.terms.fingerprint
            ? protocol::FormatFingerprint(*request.terms.fingerprint)
            : ""},
       {"age_ms", Milliseconds(Now() - request.terms.received)},
       {"left_ms", Milliseconds(request.terms.end - Now())},
       {"key",
        request.terms.key ? static_cast<std::int64_t>(*request.terms.key) : -1},
       {"status", static_cast<std::int64_t>(status)},
       {"sends", static_cast<std::int64_t>(sends)},
       {"config", request.config ? request.config->version() : -1},
       {"config_age_ms",
        request.config ? Milliseconds(Now() - view_.config_since) : -1},
       {"config_confirmed_age_ms",
        view_.config_confirmed_at
            ? Milliseconds(Now() - *view_.config_confirmed_at)
            : -1},
       {"term", view_.table.term},
       {"revision", view_.table.revision}});
}

void RequestRelay::SetMetrics(Instant now) {
  Duration oldest{0};
  for (const auto& [id, request] : requests_) {
    oldest = std::max<Duration>(oldest, now - request->terms.received);
  }
  metrics_.Set("mustardflow_memory_account_bytes",
               static_cast<double>(memory_->used()));
  metrics_.Set("mustardflow_memory_account_limit_bytes",
               static_cast<double>(memory_->limit()));
  metrics_.Set("mustardflow_transfers_ended_total",
               static_cast<double>(memory_->ended_transfers()));
  metrics_.Set("mustardflow_requests_under_way",
               static_cast<double>(requests_.size()));
  metrics_.Set("mustardflow_oldest_request_seconds",
               std::chrono::duration<double>(oldest).count());
  metrics_.Set("mustardflow_waiting_for_owner",
               static_cast<double>(flow_.waiting_for_owner()));
  metrics_.Set("mustardflow_waiting_for_capacity",
               static_cast<double>(flow_.waiting_for_capacity()));
  metrics_.Set("mustardflow_repeats_total",
               static_cast<double>(flow_.retries()));
  metrics_.Set("mustardflow_repeats_left", flow_.retries_left());
  metrics_.Set("mustardflow_crashing_requests",
               static_cast<double>(flow_.crash_watch().refused_count()));
  metrics_.Set("mustardflow_crashing_requests_refused_total",
               static_cast<double>(flow_.crashing_refused()));
  metrics_.Set("mustardflow_server_connections_total",
               static_cast<double>(server_connections_.opened()));
}

std::map<std::string, coordination::LoadReport> RequestRelay::TakeLoad() {
  std::map<std::string, coordination::LoadReport> load;
  for (auto& [service, sampler] : samplers_) {
    load.emplace(service, sampler.Take());
  }
  return load;
}

}  // namespace mustardflow::transport
