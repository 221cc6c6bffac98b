// Implements the connections of callers and of other hosts.

#include "transport/traffic_duty.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>
#include <vector>

#include "platform/backend_protocol.h"
#include "protocol/peer_protocol.h"
#include "transport/answer_writer.h"
#include "transport/clocks.h"
#include "transport/request_parser.h"

namespace mustardflow::transport {

using coordination::AttemptOutcome;
using coordination::AttemptReason;
using protocol::ClassificationError;

namespace {

constexpr std::size_t kRingCapacity = 1024;
constexpr state::Duration kTickPeriod = std::chrono::milliseconds(5);
constexpr state::Duration kReportPeriod = std::chrono::seconds(1);
constexpr state::Duration kAcceptRetryDelay = std::chrono::milliseconds(20);
constexpr state::Duration kIdleTimeout = std::chrono::seconds(60);
constexpr state::Duration kBodyTimeout = std::chrono::seconds(10);
// Maximum time until the deadline that a forwarded request may carry, in
// milliseconds.
constexpr std::int64_t kMaxForwardedDeadlineMs = 600'000;

// Header fields that apply to one connection only and are not forwarded.
constexpr std::array<http::field, 8> kConnectionFields = {
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_authorization,
    http::field::proxy_connection,
    http::field::te,
    http::field::trailer,
    http::field::transfer_encoding,
    http::field::upgrade};

void RemoveConnectionFields(UpstreamRequest& message) {
  for (const http::field field : kConnectionFields) {
    message.erase(field);
  }
}

// Removes the header fields that only hosts may send to each other, and those
// that only hosts may send to backend servers.
void RemoveInternalFields(UpstreamRequest& message) {
  std::vector<std::string> internal;
  for (const auto& field : message) {
    const std::string name(field.name_string());
    const bool has_prefix =
        name.size() >= protocol::kInternalHeaderPrefix.size() &&
        beast::iequals(name.substr(0, protocol::kInternalHeaderPrefix.size()),
                       protocol::kInternalHeaderPrefix);
    if (has_prefix) {
      internal.push_back(name);
    }
  }
  for (const std::string& name : internal) {
    message.erase(name);
  }
  for (const std::string_view name :
       {platform::kFenceField, platform::kKeyField, platform::kDeadlineField,
        platform::kExchangeField}) {
    message.erase(name);
  }
}

// Returns whether the length or the host of a request is ambiguous. Recipients
// may interpret such a request in different ways.
bool IsAmbiguous(const UpstreamRequest& message) {
  const bool chunked =
      message.find(http::field::transfer_encoding) != message.end();
  return (chunked && message.count(http::field::content_length) > 0) ||
         message.count(http::field::content_length) > 1 ||
         message.count(http::field::host) > 1;
}

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

http::status StatusFromError(const beast::error_code& error) {
  if (error == http::error::body_limit) {
    return http::status::payload_too_large;
  }
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return http::status::request_header_fields_too_large;
  }
  if (error == beast::error::timeout) {
    return http::status::request_timeout;
  }
  return http::status::bad_request;
}

}  // namespace

TrafficDuty::TrafficDuty(const state::HostSettings& settings, Metrics* metrics)
    : settings_(settings),
      metrics_(metrics),
      context_(1),
      commands_(kRingCapacity),
      events_(kRingCapacity),
      runner_(context_.get_executor(), settings.host, metrics),
      callers_(context_),
      peers_(context_),
      logger_("traffic") {
  Listen(&callers_, settings_.callers);
  Listen(&peers_, settings_.peers);
  commands_.Consume(context_.get_executor(), [this](TrafficCommand command) {
    HandleCommand(std::move(command));
  });
}

void TrafficDuty::Listen(tcp::acceptor* acceptor,
                         const state::Address& address) {
  const tcp::endpoint endpoint = ToEndpoint(address);
  acceptor->open(endpoint.protocol());
  acceptor->set_option(asio::socket_base::reuse_address(true));
  acceptor->bind(endpoint);
  acceptor->listen();
}

void TrafficDuty::Run() {
  asio::co_spawn(context_, AcceptLoop(&callers_, PeerKind::kCaller),
                 asio::detached);
  asio::co_spawn(context_, AcceptLoop(&peers_, PeerKind::kHost),
                 asio::detached);
  asio::co_spawn(context_, TickLoop(), asio::detached);
  asio::co_spawn(context_, ReportLoop(), asio::detached);
  context_.run();
}

void TrafficDuty::Stop() {
  context_.stop();
}

void TrafficDuty::BeginDrain() {
  asio::post(context_, [this] { draining_ = true; });
}

void TrafficDuty::StopAccepting() {
  asio::post(context_, [this] {
    beast::error_code error;
    callers_.non_blocking(true, error);
    while (!error) {
      tcp::socket socket(context_);
      callers_.accept(socket, error);
      if (!error) {
        asio::co_spawn(context_, Serve(std::move(socket), PeerKind::kCaller),
                       asio::detached);
      }
    }
    callers_.close(error);
  });
}

awaitable<void> TrafficDuty::TickLoop() {
  asio::steady_timer timer(context_);
  while (true) {
    runner_.Tick();
    timer.expires_after(kTickPeriod);
    co_await timer.async_wait(kNoThrow);
  }
}

awaitable<void> TrafficDuty::ReportLoop() {
  asio::steady_timer timer(context_);
  while (true) {
    timer.expires_after(kReportPeriod);
    co_await timer.async_wait(kNoThrow);
    for (auto& [service, report] : runner_.TakeLoad()) {
      events_.Push(ServiceLoadReport{service, std::move(report)});
    }
  }
}

void TrafficDuty::HandleCommand(TrafficCommand command) {
  if (auto* view = std::get_if<std::shared_ptr<const TrafficView>>(&command)) {
    HandleView(std::move(*view));
    return;
  }
  const auto& call = std::get<OrderCall>(command);
  if (!events_.Push(OrderReply{call.id, runner_.ApplyOrder(call.order)})) {
    logger_.Warning(
        "The ring to the control thread is full; the acknowledgement of an "
        "order was dropped.");
  }
}

void TrafficDuty::HandleView(std::shared_ptr<const TrafficView> view) {
  if (view->config != classified_config_) {
    classified_config_ = view->config;
    classifier_ =
        std::make_shared<const protocol::RequestClassifier>(view->config);
  }
  runner_.SetView(std::move(view));
}

awaitable<void> TrafficDuty::AcceptLoop(tcp::acceptor* acceptor,
                                        PeerKind peer_kind) {
  while (acceptor->is_open()) {
    auto [error, socket] = co_await acceptor->async_accept(kNoThrow);
    if (error && acceptor->is_open()) {
      asio::steady_timer timer(context_, kAcceptRetryDelay);
      co_await timer.async_wait(kNoThrow);
      continue;
    }
    const bool full = peer_kind == PeerKind::kCaller &&
                      static_cast<std::size_t>(caller_connections_.load()) >=
                          settings_.max_caller_connections;
    if (error || full) {
      continue;
    }
    asio::co_spawn(context_, Serve(std::move(socket), peer_kind),
                   asio::detached);
  }
}

awaitable<void> TrafficDuty::Serve(tcp::socket socket, PeerKind peer_kind) {
  caller_connections_ += peer_kind == PeerKind::kCaller ? 1 : 0;
  beast::tcp_stream stream(std::move(socket));
  beast::error_code ignored;
  stream.socket().set_option(tcp::no_delay(true), ignored);
  beast::flat_buffer buffer(settings_.max_header_bytes + kMaxChunkLineBytes);
  while (co_await ServeOne(stream, buffer, peer_kind)) {
  }
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  caller_connections_ -= peer_kind == PeerKind::kCaller ? 1 : 0;
}

awaitable<bool> TrafficDuty::ServeOne(beast::tcp_stream& stream,
                                      beast::flat_buffer& buffer,
                                      PeerKind peer_kind) {
  RequestParser<http::string_body> parser;
  parser.header_limit(static_cast<std::uint32_t>(settings_.max_header_bytes));
  parser.body_limit(settings_.max_body_bytes);
  stream.expires_after(kIdleTimeout);
  auto [error, read] =
      co_await http::async_read_header(stream, buffer, parser, kNoThrow);
  if (!error && !parser.is_done()) {
    stream.expires_after(kBodyTimeout);
    std::tie(error, read) =
        co_await http::async_read(stream, buffer, parser, kNoThrow);
  }
  if (error) {
    const bool close_without_reply =
        error == http::error::end_of_stream ||
        error.category() == asio::error::get_system_category() ||
        (error == beast::error::timeout && !parser.got_some());
    if (!close_without_reply) {
      metrics_->CountBadRequest("malformed");
      co_await WriteProblem(stream, StatusFromError(error),
                            "The request could not be read.",
                            AttemptOutcomeName(AttemptOutcome::kNotRun),
                            "malformed", {11, false, false});
    }
    co_return false;
  }
  UpstreamRequest message = parser.release();
  if (IsAmbiguous(message)) {
    metrics_->CountBadRequest("ambiguous");
    co_await WriteProblem(stream, http::status::bad_request,
                          "The request's length or host is ambiguous.",
                          AttemptOutcomeName(AttemptOutcome::kNotRun),
                          "malformed", {11, false, false});
    co_return false;
  }
  stream.expires_never();
  if (peer_kind == PeerKind::kHost) {
    co_return co_await ServeHost(stream, std::move(message));
  }
  ++requests_under_way_;
  const bool keep_open = co_await ServeCaller(stream, std::move(message));
  --requests_under_way_;
  co_return keep_open;
}

awaitable<bool> TrafficDuty::ServeCaller(beast::tcp_stream& stream,
                                         UpstreamRequest message) {
  const bool keep_alive = message.keep_alive() && !draining_;
  const AnswerOptions options{message.version(), keep_alive,
                              message.method() == http::verb::head};
  ClassificationError error = ClassificationError::kNoClass;
  const auto classifier = classifier_;
  std::optional<protocol::Classification> classification;
  if (classifier) {
    classification = classifier->Classify(
        std::string(message.method_string()), std::string(message.target()),
        [&](std::string_view name) { return std::string(message[name]); },
        &error);
  }
  if (!classification) {
    co_return co_await RefuseUnclassified(stream, error, keep_alive);
  }
  RoutedRequest request;
  request.arrived = Now();
  request.service = classification->service->document.service;
  request.class_name = classification->request_class->name;
  request.idempotent = classification->request_class->idempotent;
  request.key = classification->key;
  request.deadline = request.arrived + classification->request_class->deadline;
  const std::string id_text(message[protocol::kRequestIdField]);
  if (!id_text.empty() && !request.idempotent) {
    request.id = coordination::ParseRequestId(id_text);
    if (!request.id) {
      metrics_->CountBadRequest("request-id");
      co_return co_await WriteProblem(
          stream, http::status::bad_request,
          "The Idempotency-Key is not a UUID of version 7.",
          AttemptOutcomeName(AttemptOutcome::kNotRun), "request-id", options);
    }
  }
  RemoveConnectionFields(message);
  RemoveInternalFields(message);
  request.message = std::move(message);
  request.message.keep_alive(true);
  request.message.prepare_payload();
  RunResult result = co_await runner_.RunForCaller(request);
  const std::string outcome(AttemptOutcomeName(result.attempt.end));
  const bool complete = co_await WriteResult(stream, result, options);
  metrics_->CountRequest(request.service, request.class_name, outcome,
                         Now() - request.arrived);
  co_return complete&& keep_alive;
}

awaitable<bool> TrafficDuty::RefuseUnclassified(beast::tcp_stream& stream,
                                                ClassificationError error,
                                                bool keep_alive) {
  http::status status = http::status::not_found;
  std::string_view title = "No class of any service matches the request.";
  std::string_view reason = "no-class";
  if (!classifier_) {
    status = http::status::service_unavailable;
    title = "The host has no configuration yet.";
    reason = "no-route";
  } else if (error == ClassificationError::kMethodNotAllowed) {
    status = http::status::method_not_allowed;
    title = "No class matches the request's method.";
    reason = "method";
  } else if (error == ClassificationError::kNoKey) {
    status = http::status::bad_request;
    title = "The request has no key.";
    reason = "no-key";
  }
  metrics_->CountBadRequest(std::string(reason));
  co_return co_await WriteProblem(stream, status, title,
                                  AttemptOutcomeName(AttemptOutcome::kNotRun),
                                  reason, {11, keep_alive, false}) &&
      keep_alive;
}

std::optional<RoutedRequest> TrafficDuty::ParseForwardedRequest(
    UpstreamRequest message) {
  RoutedRequest request;
  request.arrived = Now();
  request.service = std::string(message[protocol::kServiceField]);
  request.class_name = std::string(message[protocol::kClassField]);
  const TrafficView* view = runner_.view();
  if (!view) {
    return std::nullopt;
  }
  const auto service = view->config->services.find(request.service);
  if (service == view->config->services.end()) {
    return std::nullopt;
  }
  const auto& classes = service->second.document.classes;
  const auto found = std::find_if(
      classes.begin(), classes.end(),
      [&](const auto& each) { return each.name == request.class_name; });
  const auto remaining =
      ParseNumber(std::string(message[protocol::kDeadlineField]));
  if (found == classes.end() || !remaining) {
    return std::nullopt;
  }
  request.idempotent = found->idempotent;
  request.deadline =
      request.arrived + std::chrono::milliseconds(std::clamp<std::int64_t>(
                            *remaining, 0, kMaxForwardedDeadlineMs));
  const auto key = message.find(protocol::kKeyField);
  if (key != message.end()) {
    request.key = std::string(key->value());
  }
  request.id = coordination::ParseRequestId(
      std::string(message[protocol::kRequestIdField]));
  RemoveConnectionFields(message);
  RemoveInternalFields(message);
  request.message = std::move(message);
  request.message.keep_alive(true);
  request.message.prepare_payload();
  return request;
}

awaitable<bool> TrafficDuty::ServeHost(beast::tcp_stream& stream,
                                       UpstreamRequest message) {
  const bool keep_alive = message.keep_alive();
  const AnswerOptions options{message.version(), keep_alive,
                              message.method() == http::verb::head};
  const auto query =
      protocol::ParseLedgerExportTarget(std::string(message.target()));
  if (query && message.find(protocol::kDutyField) == message.end()) {
    co_return co_await ServeLedgerExport(stream, *query, options);
  }
  const std::string duty(message[protocol::kDutyField]);
  const std::string server(message[protocol::kServerField]);
  const auto fence =
      platform::ParseFence(std::string(message[platform::kFenceField]));
  auto request = ParseForwardedRequest(std::move(message));
  RunResult result;
  if (request && duty == protocol::kLedgerDuty && request->id) {
    result = co_await runner_.RunInLedger(*request);
  } else if (request && duty == protocol::kGateDuty && fence) {
    result.attempt = co_await runner_.RunInGate(*request, server, *fence);
  } else {
    result.attempt = Failed(AttemptOutcome::kNotRun, AttemptReason::kNoRoute);
  }
  co_return co_await WriteResult(stream, result, options) && keep_alive;
}

awaitable<bool> TrafficDuty::ServeLedgerExport(
    beast::tcp_stream& stream,
    const protocol::LedgerExportQuery& query,
    const AnswerOptions& options) {
  const auto ledger_export = runner_.ExportLedger(query);
  RunResult result;
  result.stored = coordination::StoredAnswer{
      ledger_export ? 200 : 404, "application/json",
      ledger_export ? protocol::EncodeLedgerExport(*ledger_export) : "{}"};
  co_return co_await WriteResult(stream, result, options) && options.keep_alive;
}

}  // namespace mustardflow::transport
