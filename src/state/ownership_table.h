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

// A key of a keyed service, as its requests carry it.
using ShardKey = std::uint16_t;
inline constexpr std::int32_t kShardKeyCount = 65536;

// A range of keys with one holder.
struct OwnedRange {
  // Both inclusive.
  std::int32_t first = 0;
  std::int32_t last = 0;
  // The server that holds the range or is about to; an empty id for none.
  ServerIncarnation holder;
  // Servers that may still hold a lease from before; a grant to `holder` has to
  // wait until theirs have ended.
  std::vector<ServerIncarnation> former;
  std::int64_t fence = 0;
  // Whether the holder has accepted its grant, as far as the coordinator knows.
  bool serving = false;
};

// Invariant: the ranges of a service are in order and cover all keys once.
using ServiceRanges = std::vector<OwnedRange>;

// By server id: where the host takes requests that sends all requests for the
// server. Servers without an entry get them from any host.
using GateAddresses = std::map<std::string, Address>;

struct OwnershipTable {
  // The coordinator's term, then a count of its changes.
  std::int64_t term = 0;
  std::int64_t revision = 0;
  std::map<std::string, ServiceRanges> services;
  // Not part of the record in the store: it follows from the hosts at work.
  GateAddresses gates;

  bool NewerThan(const OwnershipTable& other) const {
    return term != other.term ? term > other.term : revision > other.revision;
  }
};

// Marks what a recorded table shows to be served: ranges with a holder and no
// former one. The record does not say whether the holder has accepted.
void MarkServingRanges(OwnershipTable* table);

// Joins neighbouring ranges that are the same but for their fences.
void MergeAdjacentRanges(ServiceRanges* ranges);

// Replaces what `ranges` says of the keys of `changes`. The changes are in
// order and do not overlap.
void ApplyChanges(const ServiceRanges& changes, ServiceRanges* ranges);

// The ranges of `after` that `before` does not have in the same form.
ServiceRanges DiffRanges(const ServiceRanges& before,
                         const ServiceRanges& after);

// The range that contains `key`, or null if the service has no ranges.
const OwnedRange* FindRange(const ServiceRanges& ranges, ShardKey key);

}  // namespace mustardflow::state

#endif  // MUSTARDFLOW_STATE_OWNERSHIP_TABLE_H_
