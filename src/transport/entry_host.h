// An entry host on the platform: creates the components of the process,
// connects them, and exchanges messages with the other hosts.
//
// One thread runs all components. A host has a fraction of one core, so several
// threads would not run in parallel, and each switch between them would cost a
// wake-up.

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

// The whole of mustardflow-entry, apart from its settings and the event loop.
// Must be used on the thread that runs `context`. A SIGTERM drains the host and
// then stops `context`; a SIGHUP reloads the bounds of the settings.
class EntryHost {
 public:
  // Reads the settings again. Returns nothing if the settings are invalid.
  using ReloadSettings = std::function<std::optional<state::HostProfile>()>;

  EntryHost(asio::io_context& context,
            state::HostProfile profile,
            ReloadSettings reload,
            EventLog& log);

  // Opens the listeners, registers the host in the store and starts the ticks.
  // Returns at once.
  void Start();

 private:
  using udp = asio::ip::udp;

  // Another host that is registered in the store or has sent a message.
  struct Peer {
    udp::endpoint endpoint;
    // When the last message arrived, or when the registration was read.
    state::Instant last_heard{};
    // The host's capacity as a leader (state::Strength); 0 if not known.
    double strength = 0;
  };

  void HandleTick();
  void ScheduleTick();
  // Sends the leader a report of the load, the latency of servers and the last
  // heartbeat received.
  void SendReport(state::Instant now);

  // Registers this host in the store and reads the registrations of the others.
  // Retries until all calls have succeeded.
  awaitable<void> Register();
  void RecordRegisteredHosts(const TopicPage& page);
  // Receives datagrams of other hosts until the process ends.
  void ReceiveMessage();
  void HandleMessage(const udp::endpoint& from, std::string_view text);
  void HandleHeartbeat(const udp::endpoint& from,
                       const protocol::LeaderHeartbeat& heartbeat);
  void SendMessage(const udp::endpoint& to,
                   const protocol::HostMessage& message);
  void Broadcast(const protocol::HostMessage& message);
  void RecordPeer(const std::string& host, const udp::endpoint& endpoint);
  // The number of hosts, this one included, that were heard within kPeerExpiry.
  std::size_t HostCount() const;
  // Records a host count, either HostCount() or that of the leader, and applies
  // the maximum over kHostCountWindow.
  void RecordHostCount(state::Instant now, std::size_t hosts);
  // Passes to the election the fraction of hosts that are clearly stronger.
  void UpdateDisadvantage();

  // Fetches the ownership table from the leader, or from the store if this host
  // has lost contact with the leader.
  awaitable<void> FetchTable(state::Address leader);
  awaitable<void> FetchRecordedTable();
  // Reads the term and the table from the store. Returns whether the store
  // replied.
  awaitable<bool> ReadLedger();
  // Fetches from the leader the records of operators, which this host cannot
  // read in the store.
  awaitable<void> FetchOperatorRecords(state::Address leader);
  // Routes by `table` from now on; ignores a table that is not newer.
  void SetTable(state::OwnershipTable table);

  awaitable<HttpReply> AnswerOperators(HttpRequest request);
  HttpReply MetricsPage(state::Instant now);
  awaitable<HttpReply> AnswerReadiness(HttpRequest request);
  awaitable<HttpReply> AnswerPeer(HttpRequest request);
  // Whether the host can route requests and is not stopping.
  bool Ready() const;

  // Waits for SIGTERM and SIGHUP, and handles each of them.
  void AwaitSignal();
  void BeginStop();
  // Reads the settings again and applies their bounds.
  void Reload();
  // Performs the steps of a stop that are due: ends reading, then the remaining
  // requests, then the event loop.
  void TickStop(state::Instant now);

  asio::io_context& context_;
  // Only the bounds change while the process runs.
  state::HostProfile profile_;
  const ReloadSettings reload_;
  EventLog& log_;
  std::mt19937_64 random_;
  // Identifies this start of the host in the election.
  const std::string claim_;
  state::RoutingView view_;
  coordination::ServerPool pool_;
  StoreClient store_;
  StoreWatch watch_;
  LeaderDuty leader_;
  EntryMetrics metrics_;
  RequestRelay relay_;
  EntryPages pages_;
  // Accepts requests of callers.
  CallerListener callers_;
  // Accepts requests that other hosts forward to this host as a gate.
  CallerListener forwarded_;
  HttpListener readiness_;
  // Serves the table and the records of operators to other hosts.
  HttpListener peer_pages_;
  // Serves the pages for operators; empty if the settings name no address for
  // them.
  std::optional<HttpListener> operators_;
  HttpClient peer_client_;
  udp::socket peer_socket_;
  udp::endpoint datagram_sender_;
  std::array<char, 64 << 10> datagram_{};
  // The other hosts by name.
  std::map<std::string, Peer> peers_;
  // The number of hosts that share the limits: the maximum over
  // kHostCountWindow.
  coordination::RecentMaximum host_count_;
  bool fetching_table_ = false;
  asio::steady_timer tick_timer_;
  asio::signal_set signals_;
  state::Instant next_slow_tick_{};
  state::Instant next_report_{};
  state::Instant next_table_read_{};
  state::Instant next_operator_fetch_{};
  // Term and number of the latest heartbeat of the leader that this host
  // follows.
  std::pair<std::int64_t, std::int64_t> last_heartbeat_{0, 0};
  state::Instant last_report_{};
  // The table as served to other hosts, and its term and revision. Encoded only
  // if another host fetches it.
  std::string encoded_table_;
  std::pair<std::int64_t, std::int64_t> encoded_revision_{-1, -1};
  // Whether this host knows the current term and the registered hosts; it takes
  // part in the election only then.
  bool registered_ = false;
  std::optional<udp::endpoint> leader_endpoint_;
  std::optional<state::Instant> stopping_since_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_ENTRY_HOST_H_
