// An entry host on the platform: creates the components of the process,
// connects them, and exchanges messages with the other hosts.
//
// One thread runs all components. A host has a fraction of one core, so several
// threads would not run in parallel, and each switch between them would cost a
// wake-up.

#ifndef MUSTARDFLOW_TRANSPORT_ENTRY_HOST_H_
#define MUSTARDFLOW_TRANSPORT_ENTRY_HOST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "coordination/announcement_reporter.h"
#include "coordination/peer_directory.h"
#include "coordination/recent_maximum.h"
#include "coordination/server_pool.h"
#include "coordination/stop_schedule.h"
#include "coordination/table_follower.h"
#include "protocol/host_messages.h"
#include "state/host_profile.h"
#include "transport/asio.h"
#include "transport/caller_listener.h"
#include "transport/entry_metrics.h"
#include "transport/entry_pages.h"
#include "transport/event_log.h"
#include "transport/http_listener.h"
#include "transport/leader_duty.h"
#include "transport/peer_link.h"
#include "transport/peer_sync.h"
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
  void HandleTick();
  void LogLateTick(std::chrono::steady_clock::duration lateness);
  void ScheduleTick();
  // Logs, if due, how many requests this host has sent to each server that
  // limits their rate.
  void LogLimitUse(state::Instant now);
  // Sends the leader a report of the load, the latency of servers and the last
  // heartbeat received.
  void SendReport(state::Instant now);

  // Registers this host in the store and reads the registrations of the others.
  // Retries until all calls have succeeded.
  awaitable<void> Register();
  // Registers this host again in a new era of the store, which may have lost
  // its record.
  awaitable<void> RegisterAgain();
  // Writes this host's record. Returns whether the store has confirmed it.
  awaitable<bool> WriteRegistration();
  void RecordRegisteredHosts(const TopicPage& page);
  // Asks a sample of the other hosts which leader they follow.
  void QueryHosts();
  protocol::LeaderQuery OwnQuery() const;
  // Handles a message that the host `from` has sent or passed on.
  void HandleMessage(const state::Address& from,
                     const protocol::HostMessage& message);
  void HandleQuery(const state::Address& from,
                   const protocol::LeaderQuery& query);
  void HandleQueryReply(const state::Address& from,
                        const protocol::LeaderQueryReply& reply);
  void HandleHeartbeat(const state::Address& from,
                       const protocol::LeaderHeartbeat& heartbeat);
  // Passes the fractions in a heartbeat, which may be this host's own, to the
  // limits of organisations.
  void HandleFractions(state::Instant now,
                       const protocol::LeaderHeartbeat& heartbeat);
  // Takes the leader's list of requests that may crash servers, and logs what
  // has changed in it.
  void HandleCrashingRequests(state::Instant now,
                              const protocol::LeaderHeartbeat& heartbeat);
  // Records a host count, either this host's own or that of the leader, and
  // applies the maximum over kHostCountWindow.
  void RecordHostCount(state::Instant now, std::size_t hosts);

  // Reads the table from the store while this host has lost contact with the
  // leader.
  awaitable<void> FetchRecordedTable();
  // Reads the term and the table from the store. Returns whether the store
  // replied.
  awaitable<bool> ReadLedger();
  // Called when the table that this host routes by has changed.
  void HandleTableChange();

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
  coordination::PeerDirectory peers_;
  PeerLink link_;
  state::RoutingView view_;
  // Keeps view_.table.
  coordination::TableFollower follower_;
  coordination::ServerPool pool_;
  StoreClient store_;
  StoreWatch watch_;
  LeaderDuty leader_;
  PeerSync sync_;
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
  // The number of hosts that share the limits: the maximum over
  // kHostCountWindow.
  coordination::RecentMaximum host_count_;
  bool reading_table_ = false;
  asio::steady_timer tick_timer_;
  asio::signal_set signals_;
  state::Instant next_slow_tick_{};
  state::Instant next_report_{};
  state::Instant next_table_read_{};
  state::Instant next_limit_log_{};
  coordination::AnnouncementReporter announcement_reporter_;
  // pool_.announcements() at the last report.
  std::uint64_t reported_announcements_ = 0;
  // Term and number of the latest heartbeat of the leader that this host
  // follows.
  std::pair<std::int64_t, std::int64_t> last_heartbeat_{0, 0};
  state::Instant last_report_{};
  // Whether this host knows the current term and the registered hosts; it takes
  // part in the election only then.
  bool registered_ = false;
  // The era of the store in which this host has registered or is about to;
  // nothing before its first registration is complete.
  std::optional<std::int64_t> registered_era_;
  // The address of the leader that this host follows.
  std::optional<state::Address> leader_address_;
  std::optional<state::Instant> stopping_since_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_ENTRY_HOST_H_
