// An entry host on the platform: wires the duties of one process together.
//
// One thread serves all duties. A host has a fraction of one core, so threads
// would only take turns, and each hand-over would cost a wake-up.

#ifndef MUSTARDFLOW_TRANSPORT_ENTRY_HOST_H_
#define MUSTARDFLOW_TRANSPORT_ENTRY_HOST_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "coordination/recent_maximum.h"
#include "coordination/server_pool.h"
#include "protocol/host_messages.h"
#include "state/host_profile.h"
#include "transport/asio.h"
#include "transport/caller_listener.h"
#include "transport/entry_metrics.h"
#include "transport/entry_pages.h"
#include "transport/event_log.h"
#include "transport/http_listener.h"
#include "transport/leader_duty.h"
#include "transport/request_relay.h"
#include "transport/store_client.h"
#include "transport/store_watch.h"

namespace mustardflow::transport {

class EntryHost {
 public:
  // Reads the settings again; nothing if they cannot be used.
  using ReloadSettings = std::function<std::optional<state::HostProfile>()>;

  EntryHost(asio::io_context& context,
            state::HostProfile profile,
            ReloadSettings reload,
            EventLog& log);

  void Start();

 private:
  using udp = asio::ip::udp;

  // A host that is registered in the store or has been heard, and when.
  struct Peer {
    udp::endpoint endpoint;
    state::Instant last_heard{};
    // How much it can do as a leader; 0 if not known.
    double strength = 0;
  };

  void HandleTick();
  void ScheduleTick();
  void SendReport(state::Instant now);

  // Makes this host known and learns of the others.
  awaitable<void> Register();
  void RecordRegisteredHosts(const TopicPage& page);
  void ReceiveMessage();
  void HandleMessage(const udp::endpoint& from, std::string_view text);
  void HandleHeartbeat(const udp::endpoint& from,
                       const protocol::LeaderHeartbeat& heartbeat);
  void SendMessage(const udp::endpoint& to,
                   const protocol::HostMessage& message);
  void Broadcast(const protocol::HostMessage& message);
  void RecordPeer(const std::string& host, const udp::endpoint& endpoint);
  // Hosts that take part, as far as this one knows.
  std::size_t HostCount() const;
  void RecordHostCount(state::Instant now, std::size_t hosts);
  // Tells the election how many of the hosts would lead better.
  void UpdateDisadvantage();

  // Reads the ownership table from the leader, or from the store.
  awaitable<void> FetchTable(state::Address leader);
  awaitable<void> FetchRecordedTable();
  // Takes term and table from the store; whether it answered.
  awaitable<bool> ReadLedger();
  awaitable<void> FetchOperatorRecords(state::Address leader);
  void SetTable(state::OwnershipTable table);

  awaitable<HttpReply> AnswerOperators(HttpRequest request);
  HttpReply MetricsPage(state::Instant now);
  awaitable<HttpReply> AnswerReadiness(HttpRequest request);
  awaitable<HttpReply> AnswerPeer(HttpRequest request);
  bool Ready() const;

  void AwaitStopSignal();
  void BeginStop();
  // Takes the bounds of the settings, which may have changed.
  void Reload();
  void TickStop(state::Instant now);

  asio::io_context& context_;
  // All but the bounds is fixed for the life of the process.
  state::HostProfile profile_;
  const ReloadSettings reload_;
  EventLog& log_;
  std::mt19937_64 random_;
  const std::string claim_;
  state::RoutingView view_;
  coordination::ServerPool pool_;
  StoreClient store_;
  StoreWatch watch_;
  LeaderDuty leader_;
  EntryMetrics metrics_;
  RequestRelay relay_;
  EntryPages pages_;
  CallerListener callers_;
  CallerListener forwarded_;
  HttpListener readiness_;
  HttpListener peer_pages_;
  // Not listening if the settings name no address for operators.
  std::optional<HttpListener> operators_;
  HttpClient peer_client_;
  udp::socket peer_socket_;
  udp::endpoint datagram_sender_;
  std::array<char, 64 << 10> datagram_{};
  std::map<std::string, Peer> peers_;
  // The hosts that share limits.
  coordination::RecentMaximum host_count_;
  bool fetching_table_ = false;
  asio::steady_timer tick_timer_;
  asio::signal_set signals_;
  state::Instant next_slow_tick_{};
  state::Instant next_report_{};
  state::Instant next_table_read_{};
  state::Instant next_operator_fetch_{};
  // The latest beat of the leader that this host follows: term and number.
  std::pair<std::int64_t, std::int64_t> last_heartbeat_{0, 0};
  state::Instant last_report_{};
  // The table as other hosts fetch it, and its term and revision.
  std::string encoded_table_;
  std::pair<std::int64_t, std::int64_t> encoded_revision_{-1, -1};
  // The table that was read from the store, while no leader is heard.
  bool registered_ = false;
  std::optional<udp::endpoint> leader_endpoint_;
  std::optional<state::Instant> stopping_since_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_ENTRY_HOST_H_
