// Messages between hosts, and the ledger's records.

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

#include "coordination/leader_election.h"
#include "coordination/load_sampler.h"
#include "state/ownership_table.h"
#include "state/time.h"

namespace mustardflow::protocol {

// How far the leader has read the store, so that others need not ask.
struct ReadProgress {
  // Offsets after the last records that mattered.
  std::int64_t operators = 0;
  std::int64_t servers = 0;
  // How old the leader's last reading is.
  state::Duration age{0};
};

// What has changed since the beat before, or a part of that.
struct HeartbeatUpdate {
  // The table's revision that the changes build on; they make the next one.
  std::int64_t base_revision = 0;
  std::map<std::string, state::ServiceRanges> changes;
  // New gates by server id; nothing for a server that has none any more. They
  // make a revision like changes.
  std::map<std::string, std::optional<state::Address>> gates;
  // Entries of servers after this offset; a server without an entry is gone.
  // All parts together reach up to ReadProgress::servers.
  std::int64_t base_server_offset = 0;
  std::vector<std::pair<std::string, std::optional<std::string>>> entries;
  // The place of these entries among the parts; 0 parts if there are none.
  std::int64_t entry_part = 0;
  std::int64_t entry_parts = 0;
};

// Divides news so that the JSON form of each part takes about `max_bytes` at
// most. Parts with changes come first, each on the revision of the one before.
std::vector<HeartbeatUpdate> SplitUpdate(const HeartbeatUpdate& update,
                                         std::size_t max_bytes);

// The leader tells that it leads, several times a second and at each change of
// the table.
struct LeaderHeartbeat {
  std::string host;
  std::int64_t term = 0;
  std::int64_t revision = 0;
  ReadProgress progress;
  std::optional<HeartbeatUpdate> update;
  // The leader asks to be succeeded.
  bool stepping_down = false;
  // Hosts that take part at present.
  std::size_t hosts = 1;
  // Counts the beats of the term; reports name the latest one.
  std::int64_t number = 0;
};

// Asks whom the receiver follows. A starting host makes itself known by it.
struct LeaderQuery {
  std::string host;
  // Identifies the start of the host.
  std::string claim;
  // How much the host can do as a leader (state::Strength).
  double strength = 0;
};

struct LeaderQueryReply {
  std::string host;
  std::int64_t term = 0;
  // How long ago the leader was heard; nothing if it is not heard.
  std::optional<state::Duration> heard;
};

// What a host saw since its last report.
struct HostReport {
  std::string host;
  // The term whose leader the host follows, and the latest beat of it.
  std::int64_t term = 0;
  std::int64_t beat = 0;
  std::map<std::string, coordination::LoadReport> load;
  // What makes the host a gate, unless it is about to stop.
  std::string zone;
  double strength = 0;
  std::string forward_address;
  bool stopping = false;
  // By server id: its answer time as a multiple of its service's average.
  std::map<std::string, double> relative_latency;
};

using HostMessage =
    std::variant<LeaderHeartbeat, LeaderQuery, LeaderQueryReply, HostReport>;

std::string EncodeMessage(const HostMessage& message);
// Nothing if the text is no message of these.
std::optional<HostMessage> DecodeMessage(std::string_view text);

// A host's record in the store: where other hosts reach it.
struct HostRecord {
  std::string address;
  double strength = 0;
};

std::string EncodeHostRecord(const HostRecord& record);
std::optional<HostRecord> DecodeHostRecord(std::string_view text);

// The operators' newest records by key, and the offset after them.
struct OperatorRecords {
  std::int64_t next = 0;
  std::map<std::string, std::string> records;
};

std::string EncodeOperatorRecords(const OperatorRecords& operators);
std::optional<OperatorRecords> DecodeOperatorRecords(std::string_view text);

std::string EncodeTable(const state::OwnershipTable& table);
std::optional<state::OwnershipTable> DecodeTable(std::string_view text);

// The ledger's record of the present leader; `end` is not part of it.
std::string EncodeLedgerHead(const coordination::LedgerHead& head,
                             const std::string& host);
std::optional<coordination::LedgerHead> DecodeLedgerHead(std::string_view text,
                                                         std::string* host);

}  // namespace mustardflow::protocol

#endif  // MUSTARDFLOW_PROTOCOL_HOST_MESSAGES_H_
