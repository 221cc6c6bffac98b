// Reads and writes datagrams without blocking.

#include "transport/peer_link.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "transport/clocks.h"

namespace mustardflow::transport {

namespace {

// Datagrams handled in one turn of the event loop. More than all hosts send
// between two turns.
constexpr std::size_t kMaxDatagramsPerTurn = 512;
// Datagrams that wait for space in the socket's buffer. Further ones are
// dropped.
constexpr std::size_t kMaxQueuedDatagrams = 4096;
// Size of the socket's buffers: a broadcast to a thousand hosts.
constexpr int kSocketBufferBytes = 1 << 20;
// A broadcast uses the same relays for this long, so that its parts arrive in
// order.
constexpr state::Duration kRelayRound = std::chrono::milliseconds(400);

}  // namespace

PeerLink::PeerLink(asio::io_context& context,
                   const state::HostProfile& profile,
                   const coordination::PeerDirectory& peers,
                   EventLog& log,
                   Handler handler)
    : peers_(peers),
      log_(log),
      handler_(std::move(handler)),
      socket_(context,
              udp::endpoint(asio::ip::make_address(profile.ip),
                            profile.peer_port)) {
  beast::error_code ignored;
  socket_.set_option(asio::socket_base::receive_buffer_size(kSocketBufferBytes),
                     ignored);
  socket_.set_option(asio::socket_base::send_buffer_size(kSocketBufferBytes),
                     ignored);
  socket_.non_blocking(true);
}

void PeerLink::Start() {
  AwaitDatagrams();
}

void PeerLink::AwaitDatagrams() {
  socket_.async_wait(udp::socket::wait_read,
                     [this](const beast::error_code& error) {
                       if (error == asio::error::operation_aborted) {
                         return;
                       }
                       Drain();
                       AwaitDatagrams();
                     });
}

void PeerLink::Drain() {
  std::vector<std::pair<state::Address, protocol::HostMessage>> messages;
  for (std::size_t i = 0; i < kMaxDatagramsPerTurn; ++i) {
    udp::endpoint from;
    beast::error_code error;
    const std::size_t size =
        socket_.receive_from(asio::buffer(buffer_), from, 0, error);
    if (error) {
      break;
    }
    auto message = protocol::DecodeMessage({buffer_.data(), size});
    if (message) {
      messages.emplace_back(
          state::Address{from.address().to_string(), from.port()},
          std::move(*message));
    } else {
      log_.Write(LogPart::kHost, "message-unreadable", {});
    }
  }
  // Heartbeats come first: they decide what the other messages refer to.
  std::stable_partition(
      messages.begin(), messages.end(), [](const auto& entry) {
        return std::holds_alternative<protocol::LeaderHeartbeat>(entry.second);
      });
  for (auto& [from, message] : messages) {
    if (const auto* heartbeat =
            std::get_if<protocol::LeaderHeartbeat>(&message)) {
      Relay(*heartbeat);
    }
    handler_(from, std::move(message));
  }
}

void PeerLink::Relay(const protocol::LeaderHeartbeat& heartbeat) {
  if (heartbeat.relay_to.empty()) {
    return;
  }
  protocol::LeaderHeartbeat relayed = heartbeat;
  relayed.relay_to.clear();
  const std::string text = protocol::EncodeMessage(relayed);
  for (const state::Address& to : heartbeat.relay_to) {
    SendText(to, text);
  }
}

void PeerLink::Send(const state::Address& to,
                    const protocol::HostMessage& message) {
  SendText(to, protocol::EncodeMessage(message));
}

void PeerLink::Broadcast(state::Instant now,
                         protocol::LeaderHeartbeat heartbeat) {
  const auto round =
      static_cast<std::uint64_t>(now.time_since_epoch() / kRelayRound);
  heartbeat.relay_to.clear();
  const std::string direct = protocol::EncodeMessage(heartbeat);
  for (coordination::BroadcastGroup& group : peers_.PlanBroadcast(now, round)) {
    if (group.members.empty()) {
      SendText(group.relay, direct);
    } else {
      heartbeat.relay_to = std::move(group.members);
      Send(group.relay, heartbeat);
    }
  }
}

void PeerLink::SendText(const state::Address& to, std::string_view text) {
  const udp::endpoint endpoint(asio::ip::make_address(to.ip), to.port);
  if (queue_.empty()) {
    beast::error_code error;
    socket_.send_to(asio::buffer(text), endpoint, 0, error);
    if (error != asio::error::would_block) {
      if (error) {
        log_.Write(LogPart::kHost, "message-not-sent",
                   {{"to", to.ip}, {"error", error.message()}});
      }
      return;
    }
  }
  if (queue_.size() >= kMaxQueuedDatagrams) {
    log_.Write(LogPart::kHost, "message-not-sent",
               {{"to", to.ip}, {"error", "the queue is full"}});
    return;
  }
  queue_.push_back({endpoint, std::string(text)});
  AwaitSpace();
}

void PeerLink::AwaitSpace() {
  if (awaiting_space_) {
    return;
  }
  awaiting_space_ = true;
  socket_.async_wait(udp::socket::wait_write,
                     [this](const beast::error_code& error) {
                       awaiting_space_ = false;
                       if (error != asio::error::operation_aborted) {
                         SendQueued();
                       }
                     });
}

void PeerLink::SendQueued() {
  while (!queue_.empty()) {
    beast::error_code error;
    socket_.send_to(asio::buffer(queue_.front().text), queue_.front().to, 0,
                    error);
    if (error == asio::error::would_block) {
      AwaitSpace();
      return;
    }
    queue_.pop_front();
  }
}

}  // namespace mustardflow::transport
