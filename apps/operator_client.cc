// Runs the coroutines of the HTTP client and the log client to completion, so
// that each call blocks.

#include "operator_client.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <thread>
#include <utility>

#include "protocol/message_codec.h"
#include "transport/clocks.h"

namespace mustardflow::apps {

namespace json = boost::json;
namespace asio = transport::asio;

namespace {

constexpr std::size_t kMaxReplyBytes = 64 << 20;
// The timeout of each request to a host.
constexpr state::Duration kReplyTimeout = std::chrono::seconds(2);
// How often the hosts are queried for the result of a record.
constexpr state::Duration kPollInterval = std::chrono::milliseconds(50);

}  // namespace

OperatorClient::OperatorClient(std::vector<state::Address> hosts,
                               const state::Address& log,
                               const std::string& stream)
    : hosts_(std::move(hosts)),
      client_(context_.get_executor(), kMaxReplyBytes),
      log_(&client_, log, stream) {}

std::optional<json::value> OperatorClient::Get(const std::string& target) {
  for (const state::Address& host : hosts_) {
    auto value = GetFrom(host, target);
    if (value) {
      return value;
    }
  }
  return std::nullopt;
}

std::optional<json::value> OperatorClient::GetFrom(const state::Address& host,
                                                   const std::string& target) {
  std::optional<json::value> value;
  const auto send_request = [&]() -> asio::awaitable<void> {
    const auto reply = co_await client_.Send(host, transport::http::verb::get,
                                             target, "", kReplyTimeout);
    boost::system::error_code error;
    if (reply && reply.value().ok()) {
      value = json::parse(reply.value().body, error);
    }
    if (error) {
      value.reset();
    }
  };
  asio::co_spawn(context_, send_request, asio::detached);
  context_.restart();
  context_.run();
  return value;
}

bool OperatorClient::Append(const state::Record& record) {
  auto future = asio::co_spawn(
      context_, log_.Append(protocol::EncodeRecord(record)), asio::use_future);
  context_.restart();
  context_.run();
  return future.get().has_value();
}

std::optional<ReportedResult> OperatorClient::AwaitResult(
    const std::string& id,
    state::Duration timeout) {
  const state::Instant deadline = transport::Now() + timeout;
  while (true) {
    const auto value = Get("/v1/result?id=" + id);
    if (value) {
      return ReportedResult{std::string(value->at("outcome").as_string()),
                            value->at("revision").to_number<state::Revision>()};
    }
    if (transport::Now() >= deadline) {
      return std::nullopt;
    }
    Sleep(kPollInterval);
  }
}

void OperatorClient::Sleep(state::Duration duration) {
  std::this_thread::sleep_for(duration);
}

std::string NewRecordId() {
  return to_string(boost::uuids::random_generator()());
}

}  // namespace mustardflow::apps
