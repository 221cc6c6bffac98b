// Messages between hosts, and the ledger's records.

#ifndef MUSTARDFLOW_PROTOCOL_HOST_MESSAGES_H_
#define MUSTARDFLOW_PROTOCOL_HOST_MESSAGES_H_

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

// What has changed since the beat before, where that is little.
struct BeatNews {
  // The table's revision that the changes build on.
  std::int64_t base_revision = 0;
  std::map<std::string, state::ServiceRanges> changes;
  // Entries of servers after this offset, up to ReadProgress::servers; a server
  // without an entry is gone.
  std::int64_t base_servers = 0;
  std::vector<std::pair<std::string, std::optional<std::string>>> entries;
};

// The leader tells that it leads, several times a second and at each change of
// the table.
struct LeaderBeat {
  std::string host;
  std::int64_t term = 0;
  std::int64_t revision = 0;
  ReadProgress progress;
  std::optional<BeatNews> news;
  // The leader asks to be succeeded.
  bool yielding = false;
  // Hosts that take part at present.
  std::size_t hosts = 1;
};

// Asks whom the receiver follows. A starting host makes itself known by it.
struct LeaderQuestion {
  std::string host;
  // Identifies the start of the host.
  std::string claim;
};

struct LeaderOpinion {
  std::string host;
  std::int64_t term = 0;
  // How long ago the leader was heard; nothing if it is not heard.
  std::optional<state::Duration> heard;
};

// What a host saw since its last report.
struct HostReport {
  std::string host;
  // The term whose leader the host follows.
  std::int64_t term = 0;
  std::map<std::string, coordination::LoadReport> load;
  // By server id: its answer time as a multiple of its service's average.
  std::map<std::string, double> slowness;
};

using HostMessage =
    std::variant<LeaderBeat, LeaderQuestion, LeaderOpinion, HostReport>;

std::string EncodeMessage(const HostMessage& message);
// Nothing if the text is no message of these.
std::optional<HostMessage> DecodeMessage(std::string_view text);

std::string EncodeTable(const state::OwnershipTable& table);
std::optional<state::OwnershipTable> DecodeTable(std::string_view text);

// The ledger's record of the present leader; `end` is not part of it.
std::string EncodeLedgerHead(const coordination::LedgerHead& head,
                             const std::string& host);
std::optional<coordination::LedgerHead> DecodeLedgerHead(std::string_view text,
                                                         std::string* host);

}  // namespace mustardflow::protocol

#endif  // MUSTARDFLOW_PROTOCOL_HOST_MESSAGES_H_
