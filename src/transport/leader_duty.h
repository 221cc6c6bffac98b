// The duty of a host to lead, or to be ready to: carries out what the election
// and the coordinators of the keyed services decide.

#ifndef MUSTARDFLOW_TRANSPORT_LEADER_DUTY_H_
#define MUSTARDFLOW_TRANSPORT_LEADER_DUTY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/gate_assignment.h"
#include "coordination/keyspace_coordinator.h"
#include "coordination/lead_proof.h"
#include "coordination/leader_election.h"
#include "coordination/server_pool.h"
#include "protocol/host_messages.h"
#include "state/host_profile.h"
#include "state/ownership_table.h"
#include "state/routing_config.h"
#include "transport/asio.h"
#include "transport/event_log.h"
#include "transport/http_client.h"
#include "transport/store_client.h"

namespace mustardflow::transport {

class LeaderDuty {
 public:
  struct Hooks {
    // Sends a message to all other hosts.
    std::function<void(const protocol::HostMessage&)> broadcast;
    // The table that hosts route by has changed.
    std::function<void(state::OwnershipTable)> table_changed;
    // How far this host has read the store.
    std::function<protocol::ReadProgress()> progress;
    // Entries of servers that have mattered since the last call.
    std::function<void(protocol::BeatNews*)> take_entries;
    // The number of hosts that take part.
    std::function<std::size_t()> host_count;
  };

  LeaderDuty(asio::any_io_executor executor,
             const state::HostProfile& profile,
             std::string claim,
             double stagger,
             StoreClient& store,
             const coordination::ServerPool& pool,
             EventLog& log,
             Hooks hooks);

  // The fraction of the hosts that would lead better than this one.
  void SetDisadvantage(double fraction) { election_.SetDisadvantage(fraction); }

  // The store names this term; lower ones are over.
  void HandleTerm(std::int64_t term) { election_.HandleTerm(term); }

  void SetConfig(std::shared_ptr<const state::RoutingConfig> config);

  void HandleHeartbeat(state::Instant now,
                       const protocol::LeaderBeat& heartbeat);
  void HandleQueryReply(state::Instant now,
                        const protocol::LeaderOpinion& reply);
  void HandleReport(state::Instant now, const protocol::HostReport& report);

  // Handles what is due; call about every 20 ms.
  void Tick(state::Instant now);

  // Tells the others at once what has changed.
  void AnnounceProgress() { next_heartbeat_ = state::Instant(); }

  // Asks to be succeeded, since the host is about to stop.
  void StepDown() { election_.StepDown(); }

  bool leading() const { return election_.leading(); }
  // Whether no leader is heard; the table then has to be read from the store.
  bool lost_contact(state::Instant now) const {
    return election_.lost_contact(now);
  }
  std::int64_t term() const { return election_.term(); }
  // How long the leader has not been heard; 0 at the leader itself.
  state::Duration TimeSinceLeaderHeard(state::Instant now) const;
  // What this host would answer to a question about the leader.
  protocol::LeaderOpinion QueryReply(state::Instant now) const;

 private:
  struct Keyspace {
    std::unique_ptr<coordination::KeyspaceCoordinator> coordinator;
    std::uint64_t recorded = 0;
    std::uint64_t routed = 0;
  };

  // The writes of one term. The store tells a repeat by its sequence number
  // alone, so a write whose answer was lost is sent again unchanged before any
  // other.
  struct TermWriter {
    std::int64_t term = 0;
    std::int64_t next_sequence = 0;
    bool pending = false;
    std::optional<std::vector<platform::KeyedRecord>> unresolved;
  };

  void Perform(state::Instant now, const coordination::ElectionAction& action);
  // The store has confirmed a write of this term, sent at `sent`.
  void HandleProof(state::Instant sent);
  void ExtendLeadership(state::Instant sent);
  // While the store is silent, the reports of most hosts prove as much.
  void ExtendLeadershipByReports(state::Instant now);
  void UpdatePredecessorEnd(state::Instant now);
  bool MayGrant(state::Instant now);
  void RecordGateHost(state::Instant now, const protocol::HostReport& report);
  std::map<std::string, std::optional<state::Address>> UpdateGates(
      state::Instant now);
  void BeginLeading(state::Instant now);
  void EndLeading(std::string_view reason);
  void TickKeyspaces(state::Instant now);
  void AddKeyspaces(state::Instant now);
  void UpdateServerList(state::Instant now);
  void Publish(state::Instant now);
  // `news` is left out if it is too long for one datagram.
  void SendHeartbeat(state::Instant now);
  // Sends the parts as beats, the table's revision rising with each that
  // changes it.
  void SendUpdates(state::Instant now,
                   std::int64_t revision,
                   std::vector<protocol::BeatNews> parts);
  protocol::LeaderBeat MakeHeartbeat(state::Instant now);
  state::OwnershipTable RecordedTable() const;
  const state::ServerRecord* FindRecord(
      const state::ServerIncarnation& incarnation) const;

  awaitable<void> ReadLedger();
  awaitable<void> WriteClaim(coordination::ClaimTerm claim);
  awaitable<void> WriteRenewal(std::int64_t term, std::int64_t renewal_count);
  awaitable<void> WriteTable(std::int64_t term);
  std::int64_t FirstSequence() const;
  // Appends under this term; one write at a time.
  awaitable<platform::AppendOutcome> Append(
      std::vector<platform::KeyedRecord> records);
  awaitable<platform::AppendOutcome> AppendNext(
      std::shared_ptr<TermWriter> writer,
      std::vector<platform::KeyedRecord> records);
  awaitable<void> SendOrder(std::int64_t term,
                            std::string service,
                            coordination::KeyOrder order);
  awaitable<void> ProbeServer(std::int64_t term,
                              std::string service,
                              state::ServerIncarnation server);
  coordination::KeyspaceCoordinator* FindCoordinator(
      std::int64_t term,
      const std::string& service);

  const asio::any_io_executor executor_;
  const state::HostProfile& profile_;
  const std::string claim_;
  StoreClient& store_;
  const coordination::ServerPool& pool_;
  EventLog& log_;
  const Hooks hooks_;
  HttpClient order_client_;
  coordination::LeaderElection election_;
  std::shared_ptr<const state::RoutingConfig> config_;

  // The ledger as last read: the base of a claim.
  state::OwnershipTable ledger_table_;
  std::string ledger_host_;
  bool ledger_settled_ = false;

  // While leading.
  coordination::LeadershipProof proof_;
  bool may_grant_ = true;
  coordination::GateAssignment gate_assignment_;
  state::Instant next_gate_assignment_{};
  std::map<std::string, Keyspace> keyspaces_;
  state::Instant predecessor_end_{};
  // Null before the first term of this host.
  std::shared_ptr<TermWriter> writer_;
  state::Instant next_table_write_{};
  std::uint64_t pool_change_ = 0;
  state::Instant next_server_list_{};
  state::Instant next_heartbeat_{};
  state::Instant next_publish_{};
  state::Instant next_probe_{};
  state::OwnershipTable table_;
  std::map<std::string, std::map<std::string, double>> slowness_;
  // Where a server was last seen, for releases after its entry is gone.
  std::map<std::string, state::ServerRecord> server_records_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_LEADER_DUTY_H_
