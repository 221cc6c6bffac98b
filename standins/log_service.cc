// Implements streams, long polling and fault injection of the log service
// stand-in, and the host list stand-in.

#include "standins/log_service.h"

#include <boost/json.hpp>
#include <cstdlib>
#include <utility>

#include "transport/clocks.h"

namespace mustardflow::standins {

namespace http = transport::http;
namespace json = boost::json;
using transport::awaitable;
using transport::HttpReply;
using transport::HttpRequest;

namespace {

// The maximum number of records in the answer to one read.
constexpr std::size_t kMaxPageRecords = 500;
// How often a long poll checks for new records.
constexpr state::Duration kPollInterval = std::chrono::milliseconds(5);
// How long the service is down if /standin/down has no `ms`.
constexpr state::Duration kDefaultDowntime = std::chrono::hours(24);

// Returns the number of a query parameter, or `fallback` if it is missing.
std::int64_t NumberOr(const std::map<std::string, std::string>& query,
                      const std::string& name,
                      std::int64_t fallback) {
  const auto found = query.find(name);
  return found == query.end() ? fallback : std::atoll(found->second.c_str());
}

}  // namespace

LogService::LogService(transport::asio::any_io_executor executor,
                       const state::Address& address)
    : executor_(std::move(executor)),
      listener_(
          executor_,
          address,
          transport::ListenerLimits(),
          [this](HttpRequest request) { return Handle(std::move(request)); }) {}

awaitable<HttpReply> LogService::Handle(HttpRequest request) {
  if (request.path.starts_with("/standin/")) {
    co_return HandleFault(request);
  }
  if (transport::Now() < down_until_) {
    co_return HttpReply{503, R"({"error":"down"})"};
  }
  co_await Sleep(delay_);
  constexpr std::string_view kPrefix = "/streams/";
  constexpr std::string_view kSuffix = "/records";
  if (!request.path.starts_with(kPrefix) || !request.path.ends_with(kSuffix)) {
    co_return HttpReply{404, "{}"};
  }
  Stream& stream = streams_[request.path];
  if (request.method == http::verb::post) {
    co_return co_await Append(stream, std::move(request.body));
  }
  co_return co_await Read(stream, std::move(request.query));
}

awaitable<HttpReply> LogService::Append(Stream& stream, std::string text) {
  const state::LogOffset offset = stream.next();
  stream.records.push_back(std::move(text));
  ApplyRetention(stream);
  if (answers_to_drop_ > 0) {
    --answers_to_drop_;
    co_return HttpReply{503, R"({"error":"the answer is lost"})"};
  }
  co_return HttpReply{200, json::serialize(json::object{{"offset", offset}})};
}

awaitable<HttpReply> LogService::Read(
    Stream& stream,
    std::map<std::string, std::string> query) {
  const auto from = static_cast<state::LogOffset>(NumberOr(query, "from", 0));
  const auto deadline = transport::Now() + std::chrono::milliseconds(
                                               NumberOr(query, "wait_ms", 0));
  while (stream.next() <= from && transport::Now() < deadline &&
         transport::Now() >= down_until_) {
    co_await Sleep(kPollInterval);
  }
  if (transport::Now() < down_until_) {
    co_return HttpReply{503, R"({"error":"down"})"};
  }
  json::array records;
  state::LogOffset next = std::max(from, stream.first);
  while (next < stream.next() && records.size() < kMaxPageRecords) {
    records.push_back(json::object{
        {"offset", next}, {"data", stream.records[next - stream.first]}});
    ++next;
  }
  co_return HttpReply{
      200, json::serialize(json::object{{"first", stream.first},
                                        {"next", next},
                                        {"records", std::move(records)}})};
}

HttpReply LogService::HandleFault(const HttpRequest& request) {
  if (request.path == "/standin/down") {
    const auto milliseconds = NumberOr(request.query, "ms", -1);
    down_until_ = transport::Now() +
                  (milliseconds < 0 ? kDefaultDowntime
                                    : std::chrono::milliseconds(milliseconds));
  } else if (request.path == "/standin/lose") {
    answers_to_drop_ = NumberOr(request.query, "count", 1);
  } else if (request.path == "/standin/slow") {
    delay_ = std::chrono::milliseconds(NumberOr(request.query, "ms", 0));
  } else if (request.path == "/standin/retain") {
    retained_records_ =
        static_cast<std::size_t>(NumberOr(request.query, "records", 1'000'000));
    for (auto& [name, stream] : streams_) {
      ApplyRetention(stream);
    }
  } else {
    return {404, "{}"};
  }
  return {200, "{}"};
}

awaitable<void> LogService::Sleep(state::Duration duration) {
  transport::asio::steady_timer timer(executor_, duration);
  co_await timer.async_wait(transport::kNoThrow);
}

void LogService::ApplyRetention(Stream& stream) {
  while (stream.records.size() > retained_records_) {
    stream.records.pop_front();
    ++stream.first;
  }
}

HostListService::HostListService(transport::asio::any_io_executor executor,
                                 const state::Address& address)
    : listener_(
          std::move(executor),
          address,
          transport::ListenerLimits(),
          [this](HttpRequest request) { return Handle(std::move(request)); }) {}

awaitable<HttpReply> HostListService::Handle(HttpRequest request) {
  if (request.method == http::verb::post) {
    text_ = std::move(request.body);
  }
  co_return HttpReply{200, text_};
}

}  // namespace mustardflow::standins
