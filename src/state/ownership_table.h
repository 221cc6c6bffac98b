// Which backend server holds which keys of a service.

#ifndef MUSTARDFLOW_STATE_OWNERSHIP_TABLE_H_
#define MUSTARDFLOW_STATE_OWNERSHIP_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/server_record.h"

namespace mustardflow::state {

// The shard key that a request to a keyed service carries.
using ShardKey = std::uint16_t;
inline constexpr std::int32_t kShardKeyCount = 65536;

// A range of shard keys with at most one holder.
struct OwnedRange {
  // Both inclusive.
  std::int32_t first = 0;
  std::int32_t last = 0;
  // The server that holds the range or is being granted it; the id is empty if
  // there is none.
  ServerIncarnation holder;
  // Previous holders whose leases may still be valid. A grant to `holder` has
  // to wait until these leases have ended.
  std::vector<ServerIncarnation> former;
  // The fence of the latest grant of the range.
  std::int64_t fence = 0;
  // Whether the leader knows that the holder has accepted its grant.
  bool serving = false;
};

// Invariant: the ranges of a service are sorted and cover each key exactly
// once.
using ServiceRanges = std::vector<OwnedRange>;

// Maps a server id to the address at which the server's gate accepts requests
// from other hosts. Any host may send requests to a server without an entry.
using GateAddresses = std::map<std::string, Address>;

// What a backend server has stated of the requests per second that it accepts
// from all hosts together.
struct ServerLimit {
  // The incarnation of the server.
  std::int64_t start_time_ms = 0;
  // Nullopt: the server has stated that its limit has ended.
  std::optional<double> rate;

  bool operator==(const ServerLimit&) const = default;
};

// By server id. Nothing is known of a server without an entry.
using ServerLimits = std::map<std::string, ServerLimit>;

// The owners of the keys of all keyed services, as published by the leader.
struct OwnershipTable {
  // The leader's term, and the number of changes within the term.
  std::int64_t term = 0;
  std::int64_t revision = 0;
  std::map<std::string, ServiceRanges> services;
  // Not stored: derived from the set of running hosts.
  GateAddresses gates;
  // Not stored: hosts report them.
  ServerLimits limits;

  bool NewerThan(const OwnershipTable& other) const {
    return term != other.term ? term > other.term : revision > other.revision;
  }
};

// A change of the ownership table from one revision to the next.
struct TableUpdate {
  std::int64_t term = 0;
  // The revisions before and after the change.
  std::int64_t base_revision = 0;
  std::int64_t revision = 0;
  // Changed ranges by service.
  std::map<std::string, ServiceRanges> changes;
  // Changed gates by server id; nullopt if the server no longer has a gate.
  std::map<std::string, std::optional<Address>> gates;
  // Changed limits by server id; nullopt if nothing is known any more.
  std::map<std::string, std::optional<ServerLimit>> limits;
};

// Applies an update whose term and base revision are those of the table.
void ApplyUpdate(const TableUpdate& update, OwnershipTable* table);

// Sets `serving` of the ranges of a table that was read from the store, which
// does not keep `serving`: a range is served if it has a holder and no previous
// holders.
void MarkServingRanges(OwnershipTable* table);

// Merges adjacent ranges that differ only in their fences. A merged range gets
// the highest fence.
void MergeAdjacentRanges(ServiceRanges* ranges);

// Replaces the parts of `ranges` that `changes` covers, and merges the result.
// The changes are sorted and do not overlap.
void ApplyChanges(const ServiceRanges& changes, ServiceRanges* ranges);

// Returns the ranges of `after` that `before` does not contain with the same
// bounds, holder and `serving`. Differences in the fence and the previous
// holders do not count.
ServiceRanges DiffRanges(const ServiceRanges& before,
                         const ServiceRanges& after);

// Returns the range that contains `key`, or null if the service has no ranges.
const OwnedRange* FindRange(const ServiceRanges& ranges, ShardKey key);

}  // namespace mustardflow::state

#endif  // MUSTARDFLOW_STATE_OWNERSHIP_TABLE_H_
