// The state of the backend servers as one host observes it: which servers may
// receive a request, and which one is the best choice.

#ifndef MUSTARDFLOW_COORDINATION_SERVER_POOL_H_
#define MUSTARDFLOW_COORDINATION_SERVER_POOL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "admission/rate_share.h"
#include "coordination/announced_state.h"
#include "coordination/decaying_maximum.h"
#include "coordination/kind_latency.h"
#include "state/host_profile.h"
#include "state/ownership_table.h"
#include "state/routing_config.h"
#include "state/server_record.h"
#include "state/time.h"

namespace mustardflow::coordination {

// How long the owner of keys still gets requests after it has announced that it
// leaves. Servers serve for longer, and a move of keys takes less.
inline constexpr state::Duration kLeavingOwnerTime = std::chrono::seconds(1);

// A server whose announcements change faster is reported and logged this often.
inline constexpr state::Duration kAnnouncementInterval =
    std::chrono::milliseconds(500);

// How an attempt at a server ended, as far as it matters for load balancing.
enum class ServerResult {
  // The server responded, other than with a 5xx status.
  kAnswered,
  // The server responded with a 5xx status of its own.
  kFailed,
  // The server did not run the request.
  kRefused,
  // No connection was established.
  kUnreachable,
  // The connection was lost, or the response was malformed.
  kBroken,
  // This host cancelled the attempt, or the server did not own the key.
  kCancelled,
};

// A selected server.
struct ServerChoice {
  state::ServerRecord record;
  // The expected latency of the response.
  state::Duration expected{0};
  // Whether the server was selected although it is expected to be too late, see
  // ServerPool::MayProbe().
  bool probe = false;
  // Set if latencies are estimated by kind.
  std::optional<admission::ServerOutlook> outlook = std::nullopt;
};

// Why no server was selected. If the reasons differ between servers, this is
// the reason of the last server that was examined.
enum class NoServerReason {
  // No server of the service may receive requests.
  kNoServer,
  // A connection failed recently.
  kBlocked,
  // The server wants no requests from this host for a while.
  kPaused,
  // This host's share of the server's connections is in use.
  kConnections,
  // This host's share of the request rate of a cold server is in use.
  kCold,
  // This host's share of the request rate that the server announced is in use.
  kRateLimit,
  // The server's window, the limit on this host's concurrent requests to the
  // server, is reached. Recent refusals and lost connections have reduced it.
  kWindow,
  // The server's slots and its queue are full, or the request has tried every
  // server.
  kFull,
  // The expected latency exceeds the limit of the request.
  kLate,
  // The service's LateWindow, the limit on this host's concurrent requests to
  // the service, is reached. Late responses have reduced it.
  kLateWindow,
};

// The name of the reason in the logs.
std::string_view ReasonName(NoServerReason reason);

// The criteria by which a server is selected for a request.
struct ChoiceRequest {
  std::string service;
  // Ids of servers that the request excludes because it has tried them; may be
  // null.
  const std::set<std::string>* tried = nullptr;
  // The highest expected latency that is acceptable.
  state::Duration max_expected{0};
  // Whether the body of the request or of its response is large, which raises
  // the cost of other zones.
  bool large = false;
  // The route of the request.
  std::string route = {};
};

// Estimates the latency and the load of each server from the responses that
// this host receives, enforces this host's shares of the servers' limits, and
// selects the server with the lowest estimated latency among a random sample.
class ServerPool {
 public:
  // `random` returns uniformly distributed numbers in [0, 1).
  ServerPool(std::string zone,
             state::ServiceBounds bounds,
             std::function<double()> random);

  void SetBounds(const state::ServiceBounds& bounds) { bounds_ = bounds; }
  void SetConfig(const state::RoutingConfig& config);
  void SetEvacuated(std::set<std::string> zones);
  // Sets, by server id, whether this host is the server's gate. A server that
  // is not in the map has no gate. The gate is the host that sends all requests
  // for the server. It gets half of each limit of the server. All hosts share
  // the rest, less a margin, to send requests directly when the gate fails.
  void SetGated(state::Instant now, const std::map<std::string, bool>& gated);
  // Sets the limits of servers that the leader publishes.
  void SetPublishedLimits(state::Instant now, state::ServerLimits limits);
  // From now on, expected latencies depend on the route of the request.
  void EstimateByKind() { kind_latency_.emplace(); }
  // The work of the kind; only after EstimateByKind().
  state::Duration KindWork(state::Instant now,
                           const std::string& service,
                           const std::string& route) const;
  // Sets how many hosts share the connection limits and the request rates of
  // cold servers.
  void SetHostCount(std::size_t hosts) { hosts_ = hosts; }

  // Replaces the entry with the same server id. An entry that is older than the
  // known one is ignored.
  void Update(state::Instant now, const state::ServerRecord& record);
  // The server's entry is missing but may return. Choose() selects the server
  // only while less than half of its service's servers are listed: so many
  // missing entries indicate an outage of the store, not of the servers.
  // Check() does not distinguish unconfirmed servers.
  void SetUnconfirmed(const std::string& id);
  // The server is gone and gets no new requests.
  void Remove(state::Instant now, const std::string& id);
  // Forgets servers that have been gone for a while. Called about every second.
  void Prune(state::Instant now);

  // Returns the server with this incarnation if it may receive a request now
  // and its expected latency is at most `max_expected`, or if it is due for a
  // probe, see MayProbe(). For kLeavingOwnerTime
  // after a server has announced its leaving, it still receives requests here,
  // unlike in Choose(): its keys are on the move.
  std::variant<ServerChoice, NoServerReason> Check(
      state::Instant now,
      const state::ServerIncarnation& incarnation,
      state::Duration max_expected,
      const std::string& route = {}) const;

  // Selects a server for the request: of a random sample of the permitted
  // servers, the one with the lowest expected latency. The comparison adds a
  // penalty for servers in other zones. If all of them are too late, a server
  // of the sample that is due for a probe is selected.
  std::variant<ServerChoice, NoServerReason> Choose(
      state::Instant now,
      const ChoiceRequest& request) const;

  // `probe`: as in the ServerChoice.
  void RecordSent(state::Instant now,
                  const state::ServerIncarnation& incarnation,
                  const std::string& route = {},
                  bool probe = false);
  void RecordEnd(state::Instant now,
                 const state::ServerIncarnation& incarnation,
                 state::Instant sent,
                 ServerResult result);
  // Records the load and slowness that the server reported in a response that
  // arrived at `now`.
  void RecordLoad(state::Instant now,
                  const state::ServerIncarnation& incarnation,
                  int load,
                  double slowness);

  // Records what the server announced in an answer that arrived at `now`, to a
  // request that was sent at `sent`. Returns whether its state has changed
  // since the last call that returned true; returns true for a server only each
  // kAnnouncementInterval.
  bool RecordAnnouncement(state::Instant now,
                          const state::ServerIncarnation& incarnation,
                          state::Instant sent,
                          const ServerAnnouncement& announcement);
  // How much longer the server wants no requests from this host.
  state::Duration PauseLeft(state::Instant now, const std::string& id) const;
  // Returns the number of requests of this host to the server since the last
  // call.
  int TakeSendCount(const state::ServerIncarnation& incarnation);

  // Whether the server's last load report showed a free slot; true before the
  // first report.
  bool HasFreeSlots(const state::ServerIncarnation& incarnation) const;
  // Whether the server's last refusal does not show that it is full, because it
  // accepts other requests at the same load. Another attempt may then succeed
  // at once.
  bool RefusedAtRandom(const state::ServerIncarnation& incarnation) const;

  // What was estimated when a request was sent.
  struct SentRequest {
    // The factor by which the wait for a slot increases the response time.
    double wait_factor = 1;
    // Requests of all hosts at the server, without this one.
    double load = 0;
    bool probe = false;
    // Set only if latencies are estimated by kind.
    KindExpectation kind;
  };

  // What this host knows about one server.
  struct ServerState {
    state::ServerRecord record;
    // The entry is missing and may return.
    bool unconfirmed = false;
    // The server is removed; its entry will not return.
    bool gone = false;
    state::Instant gone_since{};
    // The server is cold, and its request rate is limited, until this time.
    state::Instant cold_until{};
    // The requests of this host in progress, by the time at which they were
    // sent.
    std::multimap<state::Instant, SentRequest> in_flight;
    // The times at which the last request, and the requests in the second
    // before it, were sent. Never empty once a request was sent.
    std::deque<state::Instant> recent_sends;
    // Moving average of the response time in seconds, without the wait for a
    // slot and without the reported slowness, and when the average was last
    // updated. 0: there is no measurement yet.
    double latency = 0;
    state::Instant latency_at{};
    // Moving average of the fraction of attempts that failed, and when the
    // average was last updated.
    double failures = 0;
    state::Instant failures_at{};
    // Requests of all hosts at the server according to its last load report;
    // how many requests of this host were in progress when the report arrived;
    // and when it arrived.
    int reported_load = 0;
    std::size_t in_flight_at_report = 0;
    state::Instant reported_at{};
    // The execution time of requests according to the last load report, as a
    // multiple of the usual execution time.
    double slowness = 1;
    // The limit on this host's concurrent requests, derived from refusals and
    // lost connections. Below 1, it is enforced as a minimum interval between
    // requests. 0: unlimited.
    double window = 0;
    // The highest loads lately at which the server has answered: as estimated
    // when the request was sent, and as reported in the answer.
    DecayingMaximum answered_load;
    DecayingMaximum answered_report;
    // Whether the last refusal came at a load at which the server accepts
    // others, so that it does not show that the server is full.
    bool refused_at_random = false;
    // No requests are sent before this time, because a connection failed.
    state::Instant blocked_until{};
    // Failed connections since the last response.
    int failed_connections = 0;
    AnnouncedState announced;
    // Whether a change of `announced` has not been returned yet, and before
    // when none is returned.
    bool announcement_pending = false;
    state::Instant next_announcement{};
    admission::RateShare rate_share;
    // Requests of this host since the last TakeSendCount().
    int sends = 0;
  };

  const std::map<std::string, ServerState>& servers() const { return servers_; }
  // Whether the server must get no new requests: it is draining, leaving, gone,
  // or in an evacuated zone.
  bool IsOutOfService(const ServerState& server) const;
  bool IsCold(state::Instant now, const ServerState& server) const {
    return now < server.cold_until;
  }
  // The server's response time as a multiple of its service's average.
  double RelativeLatency(state::Instant now, const ServerState& server) const;
  // The mean execution time of the service's requests in seconds; nullopt if
  // this host has not measured it.
  std::optional<double> ExecutionSeconds(const std::string& service) const;
  // The slots of all servers of the service that may get new requests.
  std::size_t TotalSlots(const std::string& service) const;
  // Connections that this host may open to a server of the service.
  std::size_t ConnectionShare(const state::ServerRecord& server) const;
  // Increases with each change of the configuration, of the evacuated zones,
  // and of the servers that are listed, draining, cold, unconfirmed or gone.
  std::uint64_t change() const { return change_; }
  // Increases with each change of what a server has announced to this host.
  std::uint64_t announcements() const { return announcements_; }

 private:
  // Moving average of the response times in seconds, and when the last response
  // arrived.
  struct ServiceAverage {
    double seconds = 0;
    state::Instant answered_at{};
  };

  // The part of the average that is still known: 1 while responses arrive.
  static double Freshness(state::Instant now, const ServiceAverage& average);
  // Whether the owner of a key must get no new requests for it.
  bool IsOwnerOutOfService(state::Instant now, const ServerState& server) const;
  ServerState* Find(const state::ServerIncarnation& incarnation);
  const ServerState* Find(const state::ServerIncarnation& incarnation) const;
  // The limit that forbids another request; nullopt if none does.
  std::optional<NoServerReason> FindLimit(state::Instant now,
                                          const ServerState& server) const;
  // A number that differs between servers and, for one server, between hosts.
  std::uint64_t HostRank(const std::string& server) const;
  // The phase, in [0, 1), of this host's slots at the server.
  double PhaseOf(const std::string& server) const;
  // Passes the published limit of the server to its state.
  void ApplyPublishedLimit(state::Instant now, ServerState* server) const;
  // What this host may send to a server that announced a limit; nullopt if no
  // limit is in force.
  std::optional<admission::RateAllowance> RateAllowanceFor(
      state::Instant now,
      const ServerState& server) const;
  // Requests per second that this host may send to a cold server.
  std::size_t ColdShare(state::Instant now,
                        const state::ServerRecord& server) const;
  // This host's share of a limit of the server that applies to all hosts
  // together. `is_gate` is nullopt if the server has no gate.
  double ShareOf(double bound, std::optional<bool> is_gate) const;
  // Whether this host is the gate of the server; nullopt if there is no gate.
  std::optional<bool> IsGate(const std::string& server) const;
  // The factor by which the wait for a slot increases the response time of a
  // request that is sent at `now`.
  double WaitFactor(state::Instant now, const ServerState& server) const;
  // Estimated number of requests of all hosts at the server.
  double EstimatedLoad(state::Instant now, const ServerState& server) const;
  // Whether a refusal of a request that was sent at `load` does not show that
  // the server is full.
  bool IsRandomRefusal(state::Instant now,
                       const ServerState& server,
                       double load) const;
  // Expected latency in seconds of a request that is sent at `now`.
  double Estimate(state::Instant now,
                  const ServerState& server,
                  const std::string& route) const;
  // The slowness that the server reported, which loses weight with time.
  static double Slowness(state::Instant now, const ServerState& server);
  // Seconds by which the oldest request in progress exceeds several times its
  // expected latency, which indicates a stall.
  double StallSeconds(state::Instant now, const ServerState& server) const;
  // What to expect of a request of the kind; nullopt unless latencies are
  // estimated by kind.
  std::optional<admission::ServerOutlook> OutlookOf(
      state::Instant now,
      const ServerState& server,
      const std::string& route) const;
  // The server as KindLatency sees it.
  ServerOccupancy OccupancyOf(state::Instant now,
                              const ServerState& server) const;
  // Records the end of a request of a kind. Called after the request was
  // removed from `server->in_flight`.
  void RecordKindEnd(state::Instant now,
                     ServerState* server,
                     const SentRequest& request,
                     state::Instant sent,
                     ServerResult result);
  // The estimate with a penalty for failed attempts, by which servers are
  // compared. It does not tell how late a response will be.
  double Cost(state::Instant now,
              const ServerState& server,
              double estimate) const;
  // Whether a request may go to the server although its expected latency is too
  // high. Only requests that are sent refresh the expected latency, so without
  // probes a host that expects every response too late would refuse requests
  // permanently.
  bool MayProbe(state::Instant now, const ServerState& server) const;
  // The service's average response time in seconds, without the wait for a
  // slot. It ages towards the value that is assumed before the first response.
  double ServiceLatency(state::Instant now, const std::string& service) const;
  // The server's average response time in seconds, without the wait for a slot.
  double Latency(state::Instant now, const ServerState& server) const;
  // The lower bound of the server's window.
  double MinWindow(state::Instant now, const ServerState& server) const;
  // The fraction of recent attempts that failed.
  double FailureRate(state::Instant now, const ServerState& server) const;
  // Whether the server's window permits another request.
  bool WithinWindow(state::Instant now, const ServerState& server) const;
  // Removes the servers with a rate limit if others are left, so that retries
  // do not use up the limit.
  static void KeepUnlimited(state::Instant now,
                            std::vector<const ServerState*>* candidates);
  // Reduces `candidates` to the servers that this host prefers and keeps
  // connections to.
  void KeepPreferred(state::Instant now,
                     const std::string& service,
                     std::vector<const ServerState*>* candidates) const;
  // The number of preferred servers of the service, which grows with this
  // host's request rate.
  std::size_t PreferredCount(state::Instant now,
                             const std::string& service) const;

  const std::string zone_;
  state::ServiceBounds bounds_;
  const std::function<double()> random_;
  std::map<std::string, state::ServiceRules> rules_;
  // The zones whose servers must get no new requests.
  std::set<std::string> evacuated_;
  std::size_t hosts_ = 1;
  // The gate of a server, if it has one.
  struct GateState {
    // Whether this host is the gate, and since when.
    bool own = false;
    state::Instant own_since{};
  };
  // By server id.
  std::map<std::string, GateState> gated_;
  state::ServerLimits published_limits_;
  // The request rate of this host: an exponentially decaying average in
  // requests per second, and when it was last updated.
  struct Rate {
    double per_second = 0;
    state::Instant at{};
  };
  // By service name.
  std::map<std::string, Rate> rates_;
  // A random seed that makes hosts prefer different servers.
  const std::uint64_t choice_seed_;
  // By server id.
  std::map<std::string, ServerState> servers_;
  // By service name.
  std::map<std::string, ServiceAverage> service_latency_;
  // Set if latencies are estimated by kind.
  std::optional<KindLatency> kind_latency_;
  std::uint64_t change_ = 1;
  std::uint64_t announcements_ = 0;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_SERVER_POOL_H_
