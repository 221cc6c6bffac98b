// Runs a host's part in the leader election and, on the leader, the work of the
// term: carries out the actions that coordination::LeaderElection and the
// KeyspaceCoordinator of each keyed service decide on.

#ifndef MUSTARDFLOW_TRANSPORT_LEADER_DUTY_H_
#define MUSTARDFLOW_TRANSPORT_LEADER_DUTY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admission/organisation_demand.h"
#include "coordination/crash_tracker.h"
#include "coordination/gate_assignment.h"
#include "coordination/keyspace_coordinator.h"
#include "coordination/lead_proof.h"
#include "coordination/leader_election.h"
#include "coordination/ledger_schedule.h"
#include "coordination/published_limits.h"
#include "coordination/reported_announcements.h"
#include "coordination/reported_averages.h"
#include "coordination/server_pool.h"
#include "protocol/host_messages.h"
#include "state/host_profile.h"
#include "state/ownership_table.h"
#include "state/routing_config.h"
#include "transport/asio.h"
#include "transport/coalesced_call.h"
#include "transport/event_log.h"
#include "transport/order_client.h"
#include "transport/store_client.h"

namespace mustardflow::transport {

// Connects the election and the coordinators to the store, to the other hosts
// and to the backend servers. Each host has one instance, whether it leads or
// follows; it runs on the single thread of the executor. Correctness depends on
// the store, which refuses writes of a lower term, and on the fences and leases
// of grants. Heartbeats only distribute state faster.
class LeaderDuty {
 public:
  // What the duty needs of its host. All hooks must be set.
  struct Hooks {
    // Sends a heartbeat to all other known hosts, without acknowledgement.
    std::function<void(protocol::LeaderHeartbeat)> broadcast;
    // Asks a sample of the other hosts which leader they follow.
    std::function<void()> query_hosts;
    // Called with the table that this host publishes as the leader, and with
    // the updates that lead to it; none if the other hosts have to fetch the
    // table.
    std::function<void(const state::OwnershipTable&,
                       const std::vector<state::TableUpdate>&)>
        published;
    // Called with a newer table that was read from the store.
    std::function<void(state::OwnershipTable)> table_read;
    // Returns how far this host has read the store's topics.
    std::function<protocol::ReadProgress()> progress;
    // Moves into the update the server entries that have changed the server
    // pool since the last call.
    std::function<void(protocol::HeartbeatUpdate*)> take_entries;
    // Returns the list of requests that may crash servers, as last heard.
    std::function<std::vector<coordination::CrashingRequest>()>
        crashing_requests;
    // Returns the number of hosts that take part, this host included.
    std::function<std::size_t()> host_count;
    // Whether a host in contact is far better suited to lead than this host.
    std::function<bool()> has_stronger_host;
  };

  // `claim` identifies this process in the election; it differs after each
  // start of the host. `stagger` in [0, 1) spreads the claims of hosts that
  // lose contact with the leader at the same moment.
  LeaderDuty(asio::any_io_executor executor,
             const state::HostProfile& profile,
             std::string claim,
             double stagger,
             StoreClient& store,
             const coordination::ServerPool& pool,
             EventLog& log,
             Hooks hooks);

  // Sets the number of hosts that are better suited to lead, and whether any of
  // them is far better suited. This host leaves the first claim to them.
  void SetRank(std::size_t rank, bool weak) { election_.SetRank(rank, weak); }
  // This host knows the other hosts and takes part in the election from now on.
  void Join(state::Instant now) { election_.Join(now); }

  // Handles a term that was read from the store, and the era in which it was
  // won. All lower terms have ended.
  void HandleTerm(std::int64_t term, std::int64_t era) {
    election_.HandleTerm(term, era);
  }

  void SetConfig(std::shared_ptr<const state::RoutingConfig> config);

  // The following methods handle a message of another host. HandleReport() also
  // takes this host's own report while the host leads.
  void HandleHeartbeat(state::Instant now,
                       const protocol::LeaderHeartbeat& heartbeat);
  void HandleQueryReply(state::Instant now,
                        const protocol::LeaderQueryReply& reply);
  void HandleReport(state::Instant now, const protocol::HostReport& report);

  // Performs the actions that are due at `now`. Called about every 20 ms.
  void Tick(state::Instant now);

  // Makes the next heartbeat due at once, so that other hosts learn without
  // delay of what this host has read in the store.
  void AnnounceProgress() { next_heartbeat_ = state::Instant(); }

  // If this host leads, its heartbeats ask the other hosts from now on to claim
  // the next term, and it leads until one has done so. Called when this host is
  // about to stop.
  void StepDown() { election_.StepDown(); }

  bool leading() const { return election_.leading(); }
  // Whether this host has lost contact with the leader. The host then has to
  // read the table from the store.
  bool lost_contact(state::Instant now) const {
    return election_.lost_contact(now);
  }
  std::int64_t term() const { return election_.term(); }
  // Time since the last heartbeat of the leader; 0 on the leader itself, and
  // Duration::max() if this host has received no heartbeat yet.
  state::Duration TimeSinceLeaderHeard(state::Instant now) const;
  // Builds this host's reply to a query about the leader.
  protocol::LeaderQueryReply QueryReply(state::Instant now) const;

 private:
  // The keys of one service, while this host leads.
  struct Keyspace {
    std::unique_ptr<coordination::KeyspaceCoordinator> coordinator;
    // The coordinator's change counters at the last confirmed write to the
    // store, and at the last publication to the hosts.
    std::uint64_t written_change = 0;
    std::uint64_t published_change = 0;
  };

  // The writes of one term. The store recognises a retry by its sequence number
  // alone. A write whose reply was lost is therefore sent again unchanged
  // before any other write.
  struct TermWriter {
    std::int64_t term = 0;
    // The era of the store in which the term was won. A confirmation of a later
    // era proves nothing.
    std::int64_t era = 0;
    std::int64_t next_sequence = 0;
    // Whether a write is in progress.
    bool pending = false;
    // The records of the last write, while its outcome is not known.
    std::optional<std::vector<platform::KeyedRecord>> unresolved;
  };

  // What this host knew of the owners of keys when it stopped leading in order
  // to claim a term in a new era of the store. It replaces the ledger, which
  // the store has put back, as long as nobody else has won a term in this era.
  struct KnownOwners {
    std::int64_t era = 0;
    state::OwnershipTable table;
    // Whether no leader before this host could send orders any more.
    bool settled = false;
  };

  void Perform(state::Instant now, const coordination::ElectionAction& action);
  // Tells the election and the proof which era the store is in.
  void UpdateEra();
  // Takes the ledger that was read, or what this host knows if that is newer.
  void AdoptLedger(const coordination::LedgerHead& head,
                   const std::string& host,
                   state::OwnershipTable table);
  // Whether this host must not grant, because the store may have lost who holds
  // keys, and not all leases of before have ended.
  bool Recovering(state::Instant now) const;
  // Handles the store's confirmation of a write of this term that was sent at
  // `sent`: this host led at that moment.
  void HandleProof(state::Instant sent);
  // Something that this host wrote at `written` has arrived.
  void HandleDelivery(state::Instant now, state::Instant written);
  // Tells all coordinators that this host led at `sent`.
  void ExtendLeadership(state::Instant sent);
  // Takes the reports of a majority of the hosts as proof that this host leads.
  // This replaces the confirmation of the store while the store is unavailable.
  void ExtendLeadershipByReports(state::Instant now);
  // Moves the bound on the time of the previous leader's last order to an
  // earlier time, if the reports of the hosts allow it.
  void UpdatePredecessorEnd(state::Instant now);
  // Whether this host may grant keys now; logs each change.
  bool MayGrant(state::Instant now);
  // Records that the reporting host can be a gate, or that it is stopping.
  void RecordGateHost(state::Instant now, const protocol::HostReport& report);
  // Assigns gates to the servers and returns the gates that changed by server
  // id; nothing for a server that has no gate any more.
  std::map<std::string, std::optional<state::Address>> UpdateGates(
      state::Instant now);
  // Sets the limits of the table to what hosts have reported, and returns those
  // that changed by server id.
  coordination::LimitChanges UpdateLimits(state::Instant now);
  // Asks for a successor, once in a term, if a far stronger host could lead.
  void HandOverIfWeak(state::Instant now);
  void BeginLeading(state::Instant now);
  void EndLeading(state::Instant now, const coordination::StopLeading& stop);
  void TickKeyspaces(state::Instant now);
  // Starts the write to the ledger that is due, if any.
  void WriteLedger(state::Instant now);
  // Runs once for all orders that have ended in a turn of the loop.
  void TickAfterOutcomes();
  void LogExpiredLeases(state::Instant now,
                        const std::string& service,
                        coordination::KeyspaceCoordinator& coordinator);
  // Creates the coordinators of services that have become keyed.
  void AddKeyspaces(state::Instant now);
  // Passes the current servers and their capacities to the coordinators.
  void UpdateServerList(state::Instant now);
  // Marks the servers that want no requests for a while as not eligible, unless
  // the others have too little capacity for their keys.
  void ExcludePaused(state::Instant now,
                     std::vector<coordination::KeyServer>* servers) const;
  // The mean of the latencies that hosts have reported lately for the server.
  double RelativeLatency(state::Instant now, const std::string& server);
  // Forgets servers that the pool has forgotten.
  void PruneServers();
  // Whether the hosts have to wait for the first table of this term, because
  // the one that they have is still the better one.
  bool IsTableIncomplete(state::Instant now) const;
  // Sends the changes of the table to all hosts, if any.
  void Publish(state::Instant now);
  // Sends a heartbeat with the server entries that have changed, or without
  // them if they take more than kMaxUpdateParts datagrams.
  void SendHeartbeat(state::Instant now);
  // Sends each part in a heartbeat of its own. The first part builds on
  // `revision` of the table; each part that changes the table raises it by 1.
  void SendUpdates(state::Instant now,
                   std::int64_t revision,
                   std::vector<protocol::HeartbeatUpdate> parts);
  // Returns the fractions of organisations' requests that hosts admit, for the
  // next heartbeat; nullopt if there is nothing to say.
  std::optional<admission::OrganisationFractions> UpdateFractions(
      state::Instant now);
  protocol::LeaderHeartbeat MakeHeartbeat(state::Instant now);
  // Returns the list of requests that may crash servers, and logs what was
  // decided about them.
  std::vector<coordination::CrashingRequest> UpdateCrashingRequests(
      state::Instant now);
  // The table as the ledger has to hold it.
  state::OwnershipTable RecordedTable() const;
  // The last known record of this incarnation of a server, or null.
  const state::ServerRecord* FindRecord(
      const state::ServerIncarnation& incarnation) const;

  awaitable<void> ReadLedger();
  awaitable<void> WriteClaim(coordination::ClaimTerm claim);
  awaitable<void> WriteRenewal(std::int64_t term, std::int64_t renewal_count);
  // Writes the table, or the head alone, as a proof of the term.
  awaitable<void> WriteTable(std::int64_t term);
  awaitable<void> WriteProof(std::int64_t term);
  // Handles the confirmation of a write other than a renewal. Returns whether
  // this host still leads in `term`.
  bool HandleWritten(std::int64_t term,
                     state::Instant sent,
                     platform::AppendOutcome outcome);
  std::vector<platform::KeyedRecord> HeadRecord(std::int64_t term,
                                                state::Instant now) const;
  // The sequence number of the claim, which is the first write of a term.
  std::int64_t FirstSequence() const;
  // Appends to the ledger under the current term. Only one write of a term may
  // be in progress at a time.
  awaitable<platform::AppendOutcome> Append(
      std::vector<platform::KeyedRecord> records);
  // Appends under the writer's next sequence number.
  awaitable<platform::AppendOutcome> AppendNext(
      std::shared_ptr<TermWriter> writer,
      std::vector<platform::KeyedRecord> records);
  // Whether the order may be written to the server at `address` now.
  bool MayWrite(std::int64_t term,
                const std::string& service,
                const coordination::KeyOrder& order,
                const state::Address& address);
  awaitable<void> SendOrder(std::int64_t term,
                            std::string service,
                            coordination::KeyOrder order);
  awaitable<void> ProbeServer(std::int64_t term,
                              std::string service,
                              state::ServerIncarnation server);
  // The coordinator of the service, or null if this host does not lead in
  // `term` any more.
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
  OrderClient order_client_;
  coordination::LeaderElection election_;
  // Requested by each order that ends.
  CoalescedCall outcomes_tick_;
  std::shared_ptr<const state::RoutingConfig> config_;

  // The ledger as last read by this host. A new leader starts from it.
  state::OwnershipTable ledger_table_;
  // The host of the latest claim that is not this process's own, and whether
  // no leader before that host could send orders any more at its last renewal.
  std::string ledger_host_;
  bool ledger_settled_ = false;
  // Whether the store may have lost who holds keys, so that the ledger tells
  // nothing about leases that were granted before.
  bool ledger_outdated_ = false;
  std::optional<KnownOwners> known_owners_;

  // The members below belong to the term that this host leads or last led.
  state::Instant leading_since_{};
  bool hand_over_checked_ = false;
  coordination::LeadershipProof proof_;
  // When this host wrote the latest message that is known to have arrived.
  state::Instant delivered_{};
  bool may_grant_ = true;
  coordination::GateAssignment gate_assignment_;
  state::Instant next_gate_assignment_{};
  std::map<std::string, Keyspace> keyspaces_;
  // The latest time at which the previous leader can have sent an order. During
  // a term it only moves to earlier times.
  state::Instant predecessor_end_{};
  // Whether this leader began with an outdated ledger.
  bool began_outdated_ = false;
  // Null until this host first leads.
  std::shared_ptr<TermWriter> writer_;
  coordination::LedgerSchedule ledger_schedule_;
  // The number of the last renewal of the term.
  std::int64_t renewal_count_ = 0;
  // The change count of the pool at the last UpdateServerList(); 0 forces the
  // next one.
  std::uint64_t pool_change_ = 0;
  state::Instant next_server_list_{};
  state::Instant next_heartbeat_{};
  state::Instant next_publish_{};
  state::Instant next_probe_{};
  // The table as published to the hosts.
  state::OwnershipTable table_;
  // By server id: the server's latency relative to its service's average.
  coordination::ReportedAverages relative_latencies_;
  // By service: the mean execution time of a request in seconds.
  coordination::ReportedAverages execution_seconds_;
  admission::OrganisationDemand organisations_;
  coordination::CrashTracker crash_tracker_;
  // For the next heartbeat only.
  std::optional<admission::OrganisationFractions> fractions_;
  // What servers have announced. Kept across terms, as hosts report it again
  // only with each report.
  coordination::ReportedAnnouncements announcements_;
  // The last entry of each server by id. Releases are still sent to a server
  // whose entry has been removed.
  std::map<std::string, state::ServerRecord> server_records_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_LEADER_DUTY_H_
