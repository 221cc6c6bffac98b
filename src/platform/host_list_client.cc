// HTTP requests to the host list.

#include "platform/host_list_client.h"

#include <utility>

#include "protocol/message_codec.h"

namespace mustardflow::platform {

namespace {

constexpr state::Duration kReplyTimeout = std::chrono::seconds(1);

}  // namespace

HostListClient::HostListClient(transport::HttpClient* client,
                               state::Address address)
    : client_(client), address_(std::move(address)) {}

transport::awaitable<std::optional<std::vector<state::HostEntry>>>
HostListClient::Read() {
  const auto reply = co_await client_->Send(
      address_, transport::http::verb::get, "/hosts", "", kReplyTimeout);
  if (!reply || !reply.value().ok()) {
    co_return std::nullopt;
  }
  co_return protocol::DecodeHostList(reply.value().body);
}

}  // namespace mustardflow::platform
