// The backend servers as one host sees them: who may get a request, and which
// one should.

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

#include "state/host_profile.h"
#include "state/routing_config.h"
#include "state/server_record.h"
#include "state/time.h"

namespace mustardflow::coordination {

// How an attempt at a server ended, for the server's standing.
enum class ServerResult {
  // An answer of the server's own.
  kAnswered,
  // The server answered 5xx on its own account.
  kFailed,
  // The server did not run the request.
  kRefused,
  // No connection.
  kUnreachable,
  // The connection broke, or the answer was not one.
  kBroken,
  // This host gave up waiting.
  kCancelled,
};

struct ServerChoice {
  state::ServerRecord record;
  // How long the answer is expected to take.
  state::Duration expected{0};
};

// Why no server was chosen; where servers differ, why the last one was not.
enum class NoServerReason {
  // No server of the service may get requests.
  kNoServer,
  // A connection failed lately.
  kBlocked,
  // This host's part of the connections is in use.
  kConnections,
  // This host's part of what a cold server bears is in use.
  kCold,
  // The server refused or lost requests lately and bears fewer.
  kWindow,
  // The server's slots and the places behind them are taken.
  kFull,
  // The answer is expected too late.
  kLate,
  // Answers of the service come late, so this host sends less.
  kLateWindow,
};

// The word of the logs for a reason.
std::string_view ReasonName(NoServerReason reason);

// What a request asks of a choice.
struct ChoiceRequest {
  std::string service;
  // Ids of servers that it has tried.
  const std::set<std::string>* tried = nullptr;
  // The longest expected time that is acceptable.
  state::Duration longest{0};
  // Whether the answer is large: other zones then cost more.
  bool large_answer = false;
};

class ServerPool {
 public:
  // `random` returns numbers in [0, 1).
  ServerPool(std::string zone,
             state::ServiceBounds bounds,
             std::function<double()> random);

  void SetBounds(const state::ServiceBounds& bounds) { bounds_ = bounds; }
  void SetConfig(const state::RoutingConfig& config);
  void SetEvacuated(std::set<std::string> zones);
  // By server id: whether this host is the server's gate. A gate has most of
  // the server's limits, other hosts share the rest.
  void SetGated(std::map<std::string, bool> gated) {
    gated_ = std::move(gated);
  }
  // How many hosts share the limits of cold servers and of connections.
  void SetHostCount(std::size_t hosts) { hosts_ = hosts; }

  // Replaces the entry of a server's id. Entries that are older than what is
  // known are ignored.
  void Update(state::Instant now, const state::ServerRecord& record);
  // The server's entry is missing, but may come back: the server is used only
  // where less than half of its service's servers are listed.
  void SetUnconfirmed(const std::string& id);
  // The server is gone; it gets no new requests.
  void Remove(const std::string& id);

  // The server with this life, if it may get a request now.
  std::variant<ServerChoice, NoServerReason> Check(
      state::Instant now,
      const state::ServerLife& life,
      state::Duration longest) const;

  std::variant<ServerChoice, NoServerReason> Choose(
      state::Instant now,
      const ChoiceRequest& request) const;

  void RecordSent(state::Instant now, const state::ServerLife& life);
  void RecordEnd(state::Instant now,
                 const state::ServerLife& life,
                 state::Instant sent,
                 ServerResult result);
  // The server's own figures, as an answer of now carried them.
  void RecordLoad(state::Instant now,
                  const state::ServerLife& life,
                  int load,
                  double slowness);

  // Whether the server's last report showed a free slot.
  bool HasFreeSlots(const state::ServerLife& life) const;

  struct ServerState {
    state::ServerRecord record;
    // The entry is missing, and may come back.
    bool unconfirmed = false;
    // The entry is missing for good.
    bool gone = false;
    state::Instant cold_until{};
    // The requests under way: when each was sent, and by what factor waiting
    // for a slot was expected to lengthen it.
    std::multimap<state::Instant, double> in_flight;
    // When requests were sent in the last second, while cold.
    std::deque<state::Instant> recent;
    // Average time of an answer without waiting and on a calm machine, in
    // seconds, and when it was last updated.
    double latency = 0;
    state::Instant latency_at{};
    // Average share of attempts that failed.
    double failures = 0;
    state::Instant failures_at{};
    // Requests at the server, by all hosts, at its last report.
    int reported_load = 0;
    std::size_t in_flight_at_report = 0;
    state::Instant reported_at{};
    // How long work takes there, as a multiple of the usual, at that moment.
    double slowness = 1;
    // How many requests of this host the server bears at once, as refusals and
    // lost connections show. Below 1, requests keep a distance instead.
    double window = 0;
    // No requests before this moment, after a lost connection.
    state::Instant blocked_until{};
    int lost_connections = 0;
  };

  const std::map<std::string, ServerState>& servers() const { return servers_; }
  // Whether the server is to get no new work: leaving, gone or evacuated.
  bool IsOutOfService(const ServerState& server) const;
  bool IsCold(state::Instant now, const ServerState& server) const {
    return now < server.cold_until;
  }
  // A server's time for work as a multiple of its service's average.
  double RelativeLatency(state::Instant now, const ServerState& server) const;
  // The slots of all servers of the service that may get work.
  std::size_t Slots(const std::string& service) const;
  // Connections that this host may open to a server of the service.
  std::size_t ConnectionShare(const state::ServerRecord& server) const;
  // A change of the set of servers or of their standing to get work.
  std::uint64_t change() const { return change_; }

 private:
  ServerState* Find(const state::ServerLife& life);
  const ServerState* Find(const state::ServerLife& life) const;
  // The limit that forbids another request, if one does.
  std::optional<NoServerReason> FindLimit(state::Instant now,
                                          const ServerState& server) const;
  std::size_t ColdShare(const state::ServerRecord& server) const;
  // This host's part of a limit on the server that all hosts share.
  double ShareOf(double bound, const std::string& server) const;
  // By what factor waiting for a slot lengthens a request sent now.
  double WaitFactor(state::Instant now, const ServerState& server) const;
  double EstimatedLoad(state::Instant now, const ServerState& server) const;
  // Seconds until an answer, were a request sent now.
  double Estimate(state::Instant now, const ServerState& server) const;
  double Latency(state::Instant now, const ServerState& server) const;
  bool WithinWindow(state::Instant now, const ServerState& server) const;
  // Leaves those that this host keeps connections to.
  void KeepPreferred(state::Instant now,
                     const std::string& service,
                     std::vector<const ServerState*>* candidates) const;
  // How many servers of the service this host's requests keep in use.
  std::size_t PreferredCount(state::Instant now,
                             const std::string& service) const;

  const std::string zone_;
  state::ServiceBounds bounds_;
  const std::function<double()> random_;
  std::map<std::string, state::ServiceRules> rules_;
  std::set<std::string> evacuated_;
  std::size_t hosts_ = 1;
  std::map<std::string, bool> gated_;
  // Requests of this host by service: a count that fades, and its last change.
  struct Rate {
    double per_second = 0;
    state::Instant at{};
  };
  std::map<std::string, Rate> rates_;
  // Sets the hosts' choices of preferred servers apart.
  const std::uint64_t choice_seed_;
  std::map<std::string, ServerState> servers_;
  // Average of the servers' latencies by service, in seconds.
  std::map<std::string, double> service_latency_;
  std::uint64_t change_ = 1;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_SERVER_POOL_H_
