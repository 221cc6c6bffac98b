// Accepts connections and limits their number.

#include "transport/caller_listener.h"

#include <utility>
#include <vector>

namespace mustardflow::transport {

namespace {

// Delay before accepting is retried after an error, for example when the
// process has no free file descriptor.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);
// Length of the accept queue. The kernel drops connection requests while the
// queue is full; the caller's retransmission then takes seconds.
constexpr int kBacklog = 1024;

}  // namespace

CallerListener::CallerListener(asio::io_context& context,
                               const state::Address& address,
                               const state::RoutingView& view,
                               RequestRelay& relay,
                               EventLog& log,
                               RequestSource source)
    : context_(context),
      acceptor_(context),
      view_(view),
      relay_(relay),
      log_(log),
      source_(source),
      max_connections_(source == RequestSource::kHost
                           ? relay.connection_limits().forwarded
                           : relay.connection_limits().callers),
      accept_retry_timer_(context) {
  const tcp::endpoint endpoint = ToEndpoint(address);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen(kBacklog);
  Accept();
}

void CallerListener::Accept() {
  acceptor_.async_accept(
      [this](const beast::error_code& error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (error) {
          accept_retry_timer_.expires_after(kAcceptRetryDelay);
          accept_retry_timer_.async_wait(
              [this](const beast::error_code&) { Accept(); });
          return;
        }
        if (connections_.size() < max_connections_ || CloseOne()) {
          auto connection = std::make_shared<CallerConnection>(
              std::move(socket), view_, relay_, log_, source_,
              [this](CallerConnection* closed) { connections_.erase(closed); });
          if (draining_) {
            connection->Drain();
          }
          connections_.emplace(connection.get(), connection);
          connection->Start();
        }
        Accept();
      });
}

bool CallerListener::CloseOne() {
  std::vector<std::shared_ptr<CallerConnection>> candidates;
  std::vector<admission::OpenConnection> uses;
  for (const auto& [raw, connection] : connections_) {
    candidates.push_back(connection);
    uses.push_back(connection->Use());
  }
  const auto chosen =
      admission::ChooseConnectionToClose(relay_.memory()->now(), uses);
  if (!chosen) {
    return false;
  }
  candidates[*chosen]->CloseForOthers();
  return true;
}

void CallerListener::Tick(state::Instant now) {
  std::vector<std::shared_ptr<CallerConnection>> connections;
  for (const auto& [raw, connection] : connections_) {
    connections.push_back(connection);
  }
  for (const auto& connection : connections) {
    connection->Tick(now);
  }
}

void CallerListener::Drain() {
  draining_ = true;
  for (const auto& [raw, connection] : connections_) {
    connection->Drain();
  }
}

void CallerListener::StopReading() {
  beast::error_code ignored;
  acceptor_.close(ignored);
  std::vector<std::shared_ptr<CallerConnection>> connections;
  for (const auto& [raw, connection] : connections_) {
    connections.push_back(connection);
  }
  for (const auto& connection : connections) {
    connection->StopReading();
  }
}

}  // namespace mustardflow::transport
