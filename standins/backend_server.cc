// Work, refusals and faults of the backend server stand-in.

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

constexpr int kPoisonExit = 70;

transport::ListenerLimits Limits() {
  transport::ListenerLimits limits;
  limits.max_connections = 4000;
  return limits;
}

std::int64_t NumberOr(const std::map<std::string, std::string>& query,
                      const std::string& name,
                      std::int64_t fallback) {
  const auto found = query.find(name);
  return found == query.end() ? fallback : std::atoll(found->second.c_str());
}

// The size that a path of the form ".../size/BYTES" asks for.
std::size_t AnswerSize(const std::string& path, std::size_t fallback) {
  constexpr std::string_view kMark = "/size/";
  const std::size_t mark = path.rfind(kMark);
  if (mark == std::string::npos) {
    return fallback;
  }
  return static_cast<std::size_t>(
      std::atoll(path.c_str() + mark + kMark.size()));
}

HttpReply NotRun(int status, std::string_view why) {
  HttpReply reply{status, "not run"};
  reply.fields.emplace_back(platform::kNotRunField, why);
  return reply;
}

}  // namespace

BackendServer::BackendServer(transport::asio::any_io_executor executor,
                             const BackendOptions& options)
    : executor_(std::move(executor)),
      options_(options),
      book_(std::random_device()() | 1ULL << 40, ServerNow()),
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
    co_return HttpReply{200,
                        protocol::EncodeAck(book_.Apply(*order, ServerNow()))};
  }
  if (request.path.starts_with("/standin/")) {
    co_return HandleFault(request);
  }
  const std::string exchange(request.fields[platform::kExchangeField]);
  HttpReply reply = co_await Work(std::move(request));
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

// How many requests a server that is still cold runs at a time.
int BackendServer::SlotsNow() const {
  if (options_.requests_per_warm_slot <= 0) {
    return options_.slots;
  }
  const auto warm = 1 + completed_ / options_.requests_per_warm_slot;
  return static_cast<int>(std::min<std::int64_t>(warm, options_.slots));
}

awaitable<HttpReply> BackendServer::Work(HttpRequest request) {
  if (request.fields.find("X-Poison") != request.fields.end()) {
    std::_Exit(kPoisonExit);
  }
  const std::string key(request.fields[platform::kKeyField]);
  const state::KeyHash hash = state::HashKey(key);
  if (!key.empty()) {
    const auto fence = platform::ParseFence(
        std::string(request.fields[platform::kFenceField]));
    const auto held = book_.AcceptingFence(hash, ServerNow());
    const bool stale =
        options_.fence_check && (!fence || !held || *fence != *held);
    if (!held || stale) {
      co_return NotRun(409, platform::kNotRunNotOwner);
    }
  }
  if (running_ >= SlotsNow()) {
    co_return NotRun(503, platform::kNotRunShed);
  }
  const std::int64_t started_us = transport::TimeSinceBoot().count();
  WriteJournal('S', request, key, started_us);
  ++running_;
  if (!key.empty()) {
    book_.BeginWork(hash);
  }
  const auto fence = book_.AcceptingFence(hash, ServerNow());
  co_await Occupy();
  if (!key.empty()) {
    book_.EndWork(hash);
  }
  --running_;
  // What was done under a lease that has ended meanwhile is undone.
  const bool fenced_out = options_.fence_check && !key.empty() &&
                          book_.AcceptingFence(hash, ServerNow()) != fence;
  if (fenced_out) {
    WriteJournal('A', request, key, started_us);
    co_return NotRun(409, platform::kNotRunNotOwner);
  }
  ++completed_;
  WriteJournal('E', request, key, started_us);
  HttpReply reply{200, "", "application/octet-stream"};
  reply.body = options_.name + " " + request.path + " ";
  reply.body.resize(AnswerSize(request.path, options_.answer_bytes), 'x');
  co_return reply;
}

awaitable<void> BackendServer::Occupy() {
  state::Duration work_time = options_.work_time;
  if (transport::Now() < slow_until_) {
    work_time *= slow_factor_;
  }
  if (SlotsNow() < options_.slots) {
    work_time *= options_.cold_slowdown_factor;
  }
  transport::asio::steady_timer timer(executor_, work_time);
  co_await timer.async_wait(transport::kNoThrow);
}

// One line: S at the start, E at the end or A if the run was undone, the start
// in microseconds, the time of writing, server, request id, key, path.
void BackendServer::WriteJournal(char mark,
                                 const HttpRequest& request,
                                 const std::string& key,
                                 std::int64_t started_us) {
  if (!journal_.is_open()) {
    return;
  }
  const std::string id(request.fields["Idempotency-Key"]);
  journal_ << mark << ' ' << started_us << ' '
           << transport::TimeSinceBoot().count() << ' ' << options_.name << ' '
           << (id.empty() ? "-" : id) << ' ' << (key.empty() ? "-" : key) << ' '
           << request.path << std::endl;
}

}  // namespace mustardflow::standins
