// Keeps a host's copy of the ownership table up to date from the leader's
// updates.

#ifndef MUSTARDFLOW_COORDINATION_TABLE_FOLLOWER_H_
#define MUSTARDFLOW_COORDINATION_TABLE_FOLLOWER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "state/ownership_table.h"
#include "state/time.h"

namespace mustardflow::coordination {

// Applies updates in the order of their revisions. Datagrams may be lost or
// overtake one another: an update that arrives early waits for those before it,
// and if they do not arrive, the host fetches what it lacks from another host.
// Each host keeps recent updates for this purpose.
class TableFollower {
 public:
  // `table` is the host's copy.
  explicit TableFollower(state::OwnershipTable& table) : table_(table) {}

  // The leader of `term` has announced `revision`.
  void HandleAnnouncement(state::Instant now,
                          std::int64_t term,
                          std::int64_t revision);
  // Applies the update, and those that have waited for it, or keeps it for
  // later. Returns whether the table has changed.
  bool HandleUpdate(state::TableUpdate update);
  // Replaces the table by a newer one. Returns whether it was newer.
  bool HandleTable(state::OwnershipTable table);
  // On the leader: takes the table that it publishes, and the updates that lead
  // to it from the table published before; none if they are not sent.
  void HandlePublished(state::OwnershipTable table,
                       const std::vector<state::TableUpdate>& updates);

  // Whether the table has been behind for longer than updates take to arrive.
  bool NeedsFetch(state::Instant now) const;
  // Whether the table has been behind for so long that fetches must have
  // failed, too.
  bool IsStale(state::Instant now) const;

  // Returns the updates that lead from `revision` of `term` to the present
  // table. Returns nullopt if they are not known; the host then needs the whole
  // table.
  std::optional<std::vector<state::TableUpdate>> UpdatesSince(
      std::int64_t term,
      std::int64_t revision) const;

 private:
  bool IsBehind() const;
  // Applies the update if it continues the table. Returns whether it did.
  bool Apply(const state::TableUpdate& update);
  // Applies the updates that continue the table and drops outdated ones.
  void ApplyEarly();
  void Remember(state::TableUpdate update);

  state::OwnershipTable& table_;
  // The newest table that the leader has announced.
  std::int64_t announced_term_ = 0;
  std::int64_t announced_revision_ = 0;
  // Since when the table has been behind; nullopt if it is not.
  std::optional<state::Instant> behind_since_;
  // Updates that arrived before their predecessor, by base revision. All are of
  // the term of the table.
  std::map<std::int64_t, state::TableUpdate> early_;
  // Recent updates. Invariant: each continues the one before it, and the last
  // one leads to the table.
  std::deque<state::TableUpdate> recent_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_TABLE_FOLLOWER_H_
