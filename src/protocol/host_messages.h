// Messages between entry hosts and records that hosts keep in the store, with
// their JSON encoding.

#ifndef MUSTARDFLOW_PROTOCOL_HOST_MESSAGES_H_
#define MUSTARDFLOW_PROTOCOL_HOST_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "admission/organisation_counts.h"
#include "coordination/crash_report.h"
#include "coordination/leader_election.h"
#include "coordination/load_sampler.h"
#include "coordination/reported_announcements.h"
#include "state/ownership_table.h"
#include "state/time.h"

namespace mustardflow::protocol {

// How far the leader has read the store, so that hosts that are up to date with
// it need not read the store themselves.
struct ReadProgress {
  // Offset after the last record of the operators' topic that hosts must apply.
  std::int64_t operators = 0;
  // Offset after the last record of the servers' topic that hosts must apply.
  std::int64_t servers = 0;
  // Time since the leader last knew that it had all records of the servers'
  // topic, and of the operators' topic; kUnknownAge if it never did.
  state::Duration age{0};
  state::Duration operators_age{0};
  // The era of the store to which the offsets belong.
  std::int64_t era = 0;
};

// The age of knowledge that nobody vouches for. No host accepts it.
inline constexpr state::Duration kUnknownAge = std::chrono::hours(1);

// What has changed since the previous heartbeat, or one part of these changes
// if they do not fit into one datagram.
struct HeartbeatUpdate {
  // Revision of the ownership table to which `changes`, `gates` and `limits`
  // apply. If one of them is not empty, applying them gives the next revision.
  std::int64_t base_revision = 0;
  // Changed ranges by service.
  std::map<std::string, state::ServiceRanges> changes;
  // Changed gates by server id; nullopt if the server no longer has a gate.
  std::map<std::string, std::optional<state::Address>> gates;
  // Changed limits of servers by server id; nullopt if nothing is known any
  // more.
  std::map<std::string, std::optional<state::ServerLimit>> limits;
  // `entries` holds the server entries that changed after this offset. All
  // parts together cover the offsets up to ReadProgress::servers.
  std::int64_t base_server_offset = 0;
  std::vector<std::pair<std::string, std::optional<std::string>>> entries;
  // Index of this part among the parts that have entries, and the number of
  // these parts. Both are 0 in a part without entries.
  std::int64_t entry_part = 0;
  std::int64_t entry_parts = 0;

  bool changes_table() const {
    return !changes.empty() || !gates.empty() || !limits.empty();
  }
};

// Splits `update` into parts whose JSON form takes about `max_bytes` or less.
// Parts that change the table come first; the base revision of each of them is
// the revision that results from the part before. Returns no parts for an
// update that neither changes the table nor has entries.
std::vector<HeartbeatUpdate> SplitUpdate(const HeartbeatUpdate& update,
                                         std::size_t max_bytes);

// Sent by the leader to all hosts several times a second and at each change of
// the ownership table.
struct LeaderHeartbeat {
  // Name of the leader, and its address for messages of hosts.
  std::string host;
  state::Address address;
  // The hosts to which the receiver passes the message on.
  std::vector<state::Address> relay_to;
  std::int64_t term = 0;
  // The era of the store in which the term was won.
  std::int64_t era = 0;
  // Revision of the ownership table, with `update` applied.
  std::int64_t revision = 0;
  ReadProgress progress;
  std::optional<HeartbeatUpdate> update;
  // Whether the leader asks for a successor.
  bool stepping_down = false;
  // Number of hosts that share the limits, as the leader counts them.
  std::size_t hosts = 1;
  // Nullopt if there is nothing new; the fractions of before remain in force.
  std::optional<admission::OrganisationFractions> organisations;
  // Requests that may crash servers. The list is complete.
  std::vector<coordination::CrashingRequest> crashing_requests;
  // Sequence number of the heartbeat within the term. Host reports name the
  // latest number that they received.
  std::int64_t number = 0;
};

// Asks the receiver which leader it follows. A starting host also announces
// itself to the leader by this message.
struct LeaderQuery {
  // Name of the sender.
  std::string host;
  // Identifies the incarnation of the sending host, also in its claims.
  std::string claim;
  std::string zone;
  // Capacity of the sender as a leader (state::LeaderCapacity).
  double strength = 0;
};

// Reply to a LeaderQuery.
struct LeaderQueryReply {
  // Name of the sender.
  std::string host;
  // The term that the sender follows, or the highest one that it knows, and the
  // era of the store in which it was won.
  std::int64_t term = 0;
  std::int64_t era = 0;
  // Time since the sender last received a heartbeat of the leader; 0 if the
  // sender leads. Nullopt if it has no contact with a leader, or if the leader
  // steps down.
  std::optional<state::Duration> heard;
  // The address of that leader, if the sender knows one.
  std::optional<state::Address> leader;
};

// What a host measured since its previous report. Sent to the leader.
struct HostReport {
  // Name of the sender.
  std::string host;
  // The term that the host follows, and the number of the latest heartbeat that
  // it received in this term; 0 if none.
  std::int64_t term = 0;
  // The highest era of the store that the host knows.
  std::int64_t era = 0;
  std::int64_t heartbeat_number = 0;
  // Load by service.
  std::map<std::string, coordination::LoadReport> load;
  // The leader needs these four fields to choose the host as a gate or a relay.
  // It chooses no host that is about to stop as a gate.
  std::string zone;
  double strength = 0;
  std::string forward_address;
  bool stopping = false;
  // By server id: the server's latency as a multiple of its service's average.
  std::map<std::string, double> relative_latency;
  // By service: the mean execution time of a request in seconds.
  std::map<std::string, double> execution_seconds;
  // What servers have announced in their answers to this host.
  std::vector<coordination::AnnouncementReport> announcements;
  // The requests of organisations that have a limit.
  admission::OrganisationReport organisations;
  // Requests that have crashed servers, or that the leader's list has.
  coordination::CrashReport crashes;
};

using HostMessage =
    std::variant<LeaderHeartbeat, LeaderQuery, LeaderQueryReply, HostReport>;

std::string EncodeMessage(const HostMessage& message);
// Returns nullopt if `text` is not a valid message between hosts.
std::optional<HostMessage> DecodeMessage(std::string_view text);

// A host's record in the store: the address at which other hosts reach it, and
// what the leader has to know of it.
struct HostRecord {
  std::string address;
  std::string zone;
  double strength = 0;
};

std::string EncodeHostRecord(const HostRecord& record);
std::optional<HostRecord> DecodeHostRecord(std::string_view text);

// The newest record of each key in the operators' topic of the store.
struct OperatorRecords {
  // Offset after the last record that was read.
  std::int64_t next = 0;
  std::map<std::string, std::string> records;
  // The era of the store to which `next` belongs.
  std::int64_t era = 0;
};

std::string EncodeOperatorRecords(const OperatorRecords& operators);
std::optional<OperatorRecords> DecodeOperatorRecords(std::string_view text);

// The entry of a server, by server id; nullopt if it has been removed.
using ServerEntryChange = std::pair<std::string, std::optional<std::string>>;

// The entries of servers that changed between two offsets of their topic.
struct EntryUpdate {
  std::int64_t base = 0;
  std::int64_t end = 0;
  std::vector<ServerEntryChange> entries;
  // The era of the store to which the offsets belong.
  std::int64_t era = 0;
};

std::string EncodeEntryUpdates(const std::vector<EntryUpdate>& updates);
std::optional<std::vector<EntryUpdate>> DecodeEntryUpdates(
    std::string_view text);

// What a host sends to another one whose ownership table is behind: the updates
// that it lacks, or the whole table.
using TableReply =
    std::variant<std::vector<state::TableUpdate>, state::OwnershipTable>;

std::string EncodeTableUpdates(const std::vector<state::TableUpdate>& updates);
std::optional<TableReply> DecodeTableReply(std::string_view text);

std::string EncodeTable(const state::OwnershipTable& table);
// Also returns nullopt if the ranges of a service do not cover all keys once.
std::optional<state::OwnershipTable> DecodeTable(std::string_view text);

// Encodes the ledger's record of the current leader, whose name is `host`.
// LedgerHead::end is not part of the record.
std::string EncodeLedgerHead(const coordination::LedgerHead& head,
                             const std::string& host);
std::optional<coordination::LedgerHead> DecodeLedgerHead(std::string_view text,
                                                         std::string* host);

}  // namespace mustardflow::protocol

#endif  // MUSTARDFLOW_PROTOCOL_HOST_MESSAGES_H_
