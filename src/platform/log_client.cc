// HTTP requests to the log service, and decoding of its responses.

#include "platform/log_client.h"

#include <boost/json.hpp>
#include <exception>
#include <utility>

namespace mustardflow::platform {

namespace json = boost::json;
using transport::awaitable;

namespace {

constexpr state::Duration kReplyTimeout = std::chrono::seconds(2);

std::optional<LogPage> DecodePage(const std::string& text) {
  try {
    const json::value value = json::parse(text);
    LogPage page;
    page.first = value.at("first").to_number<state::LogOffset>();
    page.next = value.at("next").to_number<state::LogOffset>();
    for (const json::value& record : value.at("records").as_array()) {
      page.entries.push_back({record.at("offset").to_number<state::LogOffset>(),
                              std::string(record.at("data").as_string())});
    }
    return page;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

LogClient::LogClient(transport::HttpClient* client,
                     state::Address address,
                     std::string stream)
    : client_(client),
      address_(std::move(address)),
      path_("/streams/" + std::move(stream) + "/records") {}

awaitable<std::optional<LogPage>> LogClient::Read(state::LogOffset from,
                                                  state::Duration wait) {
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  const std::string target = path_ + "?from=" + std::to_string(from) +
                             "&wait_ms=" + std::to_string(wait_ms);
  const auto reply = co_await client_->Send(
      address_, transport::http::verb::get, target, "", wait + kReplyTimeout);
  if (!reply || !reply.value().ok()) {
    co_return std::nullopt;
  }
  co_return DecodePage(reply.value().body);
}

awaitable<std::optional<state::LogOffset>> LogClient::Append(std::string text) {
  const auto reply =
      co_await client_->Send(address_, transport::http::verb::post, path_,
                             std::move(text), kReplyTimeout);
  if (!reply || !reply.value().ok()) {
    co_return std::nullopt;
  }
  try {
    const json::value value = json::parse(reply.value().body);
    co_return value.at("offset").to_number<state::LogOffset>();
  } catch (const std::exception&) {
    co_return std::nullopt;
  }
}

}  // namespace mustardflow::platform
