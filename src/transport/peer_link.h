// Exchanges datagrams with the other entry hosts.

#ifndef MUSTARDFLOW_TRANSPORT_PEER_LINK_H_
#define MUSTARDFLOW_TRANSPORT_PEER_LINK_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coordination/peer_directory.h"
#include "protocol/host_messages.h"
#include "state/host_profile.h"
#include "transport/asio.h"
#include "transport/event_log.h"

namespace mustardflow::transport {

// Sends and receives messages between hosts, and passes heartbeats on to the
// hosts that they name. Messages may be lost, but a full socket only delays
// them.
class PeerLink {
 public:
  // Called with each message and the address of the host that sent it or passed
  // it on.
  using Handler =
      std::function<void(const state::Address& from, protocol::HostMessage)>;

  PeerLink(asio::io_context& context,
           const state::HostProfile& profile,
           const coordination::PeerDirectory& peers,
           EventLog& log,
           Handler handler);

  void Start();

  // Handles all datagrams that have arrived. Called before work that depends on
  // recent messages; datagrams are otherwise handled as they arrive.
  void Drain();

  void Send(const state::Address& to, const protocol::HostMessage& message);
  // Sends the heartbeat to all known hosts, directly or through others.
  void Broadcast(state::Instant now, protocol::LeaderHeartbeat heartbeat);

 private:
  using udp = asio::ip::udp;

  // An unsent datagram.
  struct Datagram {
    udp::endpoint to;
    std::string text;
  };

  void AwaitDatagrams();
  void SendText(const state::Address& to, std::string_view text);
  // Sends the datagrams that have waited for space in the socket's buffer.
  void SendQueued();
  void AwaitSpace();
  // Passes a heartbeat on to the hosts that it names.
  void Relay(const protocol::LeaderHeartbeat& heartbeat);

  const coordination::PeerDirectory& peers_;
  EventLog& log_;
  const Handler handler_;
  udp::socket socket_;
  std::array<char, 64 << 10> buffer_{};
  // In the order in which they have to be sent.
  std::deque<Datagram> queue_;
  bool awaiting_space_ = false;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_PEER_LINK_H_
