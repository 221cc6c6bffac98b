// Implements the execution, rejection and fault injection of the backend server
// stand-in.

#include "standins/backend_server.h"

#include <charconv>
#include <cstdlib>
#include <utility>

#include "platform/backend_protocol.h"
#include "protocol/message_codec.h"
#include "transport/clocks.h"

namespace mustardflow::standins {

namespace http = transport::http;
using transport::awaitable;
using transport::HttpReply;
using transport::HttpRequest;
using transport::ServerNow;

namespace {

// The exit code after a request with X-Poison.
constexpr int kPoisonExitCode = 70;

transport::ListenerLimits Limits() {
  transport::ListenerLimits limits;
  limits.max_connections = 4000;
  return limits;
}

// Returns the number of a query parameter, or `fallback` if it is missing.
std::int64_t NumberOr(const std::map<std::string, std::string>& query,
                      const std::string& name,
                      std::int64_t fallback) {
  const auto found = query.find(name);
  return found == query.end() ? fallback : std::atoll(found->second.c_str());
}

// Returns the body size that a path of the form ".../size/BYTES" requests, or
// `fallback` for other paths.
std::size_t AnswerSize(const std::string& path, std::size_t fallback) {
  constexpr std::string_view kSizePart = "/size/";
  const std::size_t position = path.rfind(kSizePart);
  if (position == std::string::npos) {
    return fallback;
  }
  return static_cast<std::size_t>(
      std::atoll(path.c_str() + position + kSizePart.size()));
}

// Returns a reply which states that the request was not executed.
HttpReply NotRunReply(int status, std::string_view reason) {
  HttpReply reply{status, "not run"};
  reply.fields.emplace_back(platform::kNotRunField, reason);
  return reply;
}

}  // namespace

BackendServer::BackendServer(transport::asio::any_io_executor executor,
                             const BackendOptions& options)
    : executor_(std::move(executor)),
      options_(options),
      grants_(std::random_device()() | 1ULL << 40, ServerNow()),
      listener_(
          executor_,
          options.address,
          Limits(),
          [this](HttpRequest request) { return Handle(std::move(request)); }) {
  if (!options_.journal.empty()) {
    journal_.open(options_.journal, std::ios::app);
  }
}

awaitable<HttpReply> BackendServer::Handle(HttpRequest request) {
  if (request.path == platform::kOrdersPath) {
    const auto order = protocol::DecodeOrder(request.body);
    if (!order) {
      co_return HttpReply{400, "not an order"};
    }
    co_return HttpReply{
        200, protocol::EncodeAck(grants_.Apply(*order, ServerNow()))};
  }
  if (request.path.starts_with("/standin/")) {
    co_return HandleFault(request);
  }
  const std::string exchange(request.fields[platform::kExchangeField]);
  HttpReply reply = co_await Execute(std::move(request));
  reply.fields.emplace_back(platform::kExchangeField, exchange);
  co_return reply;
}

HttpReply BackendServer::HandleFault(const HttpRequest& request) {
  if (request.path == "/standin/slow") {
    slow_factor_ = static_cast<int>(NumberOr(request.query, "factor", 10));
    slow_until_ = transport::Now() + std::chrono::milliseconds(
                                         NumberOr(request.query, "ms", 1000));
    return {200, "{}"};
  }
  if (request.path == "/standin/cold") {
    completed_ = 0;
    return {200, "{}"};
  }
  return {404, "{}"};
}

// Returns the maximum number of requests that may run at a time at present. It
// is less than `slots` while the server is cold.
int BackendServer::CurrentSlots() const {
  if (options_.requests_per_warm_slot <= 0) {
    return options_.slots;
  }
  const auto warmed_up_slots = 1 + completed_ / options_.requests_per_warm_slot;
  return static_cast<int>(
      std::min<std::int64_t>(warmed_up_slots, options_.slots));
}

awaitable<HttpReply> BackendServer::Execute(HttpRequest request) {
  if (request.fields.find("X-Poison") != request.fields.end()) {
    std::_Exit(kPoisonExitCode);
  }
  const std::string key(request.fields[platform::kKeyField]);
  const state::KeyHash hash = state::HashKey(key);
  if (!key.empty()) {
    const auto fence = platform::ParseFence(
        std::string(request.fields[platform::kFenceField]));
    const auto held = grants_.AcceptingFence(hash, ServerNow());
    const bool stale =
        options_.fence_check && (!fence || !held || *fence != *held);
    if (!held || stale) {
      co_return NotRunReply(409, platform::kNotRunNotOwner);
    }
  }
  if (running_ >= CurrentSlots()) {
    co_return NotRunReply(503, platform::kNotRunShed);
  }
  const std::int64_t started_us = transport::TimeSinceBoot().count();
  WriteJournal('S', request, key, started_us);
  ++running_;
  if (!key.empty()) {
    grants_.BeginWork(hash);
  }
  const auto fence = grants_.AcceptingFence(hash, ServerNow());
  co_await OccupySlot();
  if (!key.empty()) {
    grants_.EndWork(hash);
  }
  --running_;
  // If the fence has changed or the lease has ended during the execution, the
  // effects of the request are rolled back.
  const bool lost_ownership =
      options_.fence_check && !key.empty() &&
      grants_.AcceptingFence(hash, ServerNow()) != fence;
  if (lost_ownership) {
    WriteJournal('A', request, key, started_us);
    co_return NotRunReply(409, platform::kNotRunNotOwner);
  }
  ++completed_;
  WriteJournal('E', request, key, started_us);
  HttpReply reply{200, "", "application/octet-stream"};
  reply.body = options_.name + " " + request.path + " ";
  reply.body.resize(AnswerSize(request.path, options_.answer_bytes), 'x');
  co_return reply;
}

awaitable<void> BackendServer::OccupySlot() {
  state::Duration work_time = options_.work_time;
  if (transport::Now() < slow_until_) {
    work_time *= slow_factor_;
  }
  if (CurrentSlots() < options_.slots) {
    work_time *= options_.cold_slowdown_factor;
  }
  transport::asio::steady_timer timer(executor_, work_time);
  co_await timer.async_wait(transport::kNoThrow);
}

// Appends one line: the event (S: started, E: ended, A: aborted and rolled
// back), the start and the time of writing in microseconds since boot, the
// server, the request id, the key and the path. A missing id or key is written
// as "-".
void BackendServer::WriteJournal(char event,
                                 const HttpRequest& request,
                                 const std::string& key,
                                 std::int64_t started_us) {
  if (!journal_.is_open()) {
    return;
  }
  const std::string id(request.fields["Idempotency-Key"]);
  journal_ << event << ' ' << started_us << ' '
           << transport::TimeSinceBoot().count() << ' ' << options_.name << ' '
           << (id.empty() ? "-" : id) << ' ' << (key.empty() ? "-" : key) << ' '
           << request.path << std::endl;
}

}  // namespace mustardflow::standins
