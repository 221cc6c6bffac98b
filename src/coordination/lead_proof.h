// The proof that a leader may still send grants, and that its predecessor may
// not any more.

#ifndef MUSTARDFLOW_COORDINATION_LEAD_PROOF_H_
#define MUSTARDFLOW_COORDINATION_LEAD_PROOF_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "state/time.h"

namespace mustardflow::coordination {

// The longest time from a leader's look at its proof until the orders that it
// then writes leave its host. What is written in a turn of the leader's loop
// may leave only when the turn ends.
inline constexpr state::Duration kMaxTurnTime = std::chrono::milliseconds(1500);

// The proof at one leader. A leader may send grants while the store has
// recently confirmed a write of its term. Without such a write, it may do so
// while a majority of the hosts follows it, but only until kLeadershipLease
// after the last confirmed write was sent. Each host follows the highest term
// that it has heard of. So once two thirds of the hosts follow the successor,
// the predecessor has lost its majority.
class LeadershipProof {
 public:
  // This host begins to lead; its claim was sent at `claimed`.
  // `has_predecessor`: another host led before and may not know yet that its
  // term is over.
  void Begin(state::Instant now, state::Instant claimed, bool has_predecessor);

  // This host sends a heartbeat now. Returns the number by which reports refer
  // to this heartbeat.
  std::int64_t RecordSentHeartbeat(state::Instant now);
  // `host` reports that it follows this term and has received the heartbeat
  // with this number. Returns when that heartbeat was sent, if it is known.
  std::optional<state::Instant> RecordReport(const std::string& host,
                                             std::int64_t heartbeat);
  // The store has confirmed a write of this term that was sent at `sent`.
  void RecordStoreConfirmation(state::Instant sent);

  // The store is in a later era than this term, so that it may have lost the
  // term and one that came after it. Only followers prove the leadership from
  // now on.
  void HandleNewEra() { store_proof_ended_ = true; }

  // Whether this leader may send orders. `hosts` is the number of hosts,
  // including this one.
  bool MayGrant(state::Instant now, std::size_t hosts) const;

  // The latest moment for which it is known that a majority of the hosts
  // followed this term at that moment or later; nothing if none is known.
  std::optional<state::Instant> FollowedSince(state::Instant now,
                                              std::size_t hosts) const;

  // The latest moment at which an order of the predecessor can have left its
  // host. Never later than what an earlier call returned.
  state::Instant PredecessorEnd(state::Instant now, std::size_t hosts);
  // The predecessor's host follows this term, or has restarted. Its report left
  // after its orders, so kMaxTurnTime is not added. Call this only if no leader
  // before the predecessor may still be active.
  void HandlePredecessorFollows(state::Instant now);

 private:
  // The latest moment for which it is known that `count` hosts, including this
  // one, followed this term at that moment or later.
  std::optional<state::Instant> FollowedBy(state::Instant now,
                                           std::size_t count) const;

  // When this host began to lead.
  state::Instant begin_time_{};
  // When the last confirmed write of this term was sent.
  state::Instant last_store_proof_{};
  bool store_proof_ended_ = false;
  state::Instant predecessor_end_{};
  std::int64_t last_heartbeat_number_ = 0;
  // By number: when the recent heartbeats were sent.
  std::map<std::int64_t, state::Instant> heartbeat_times_;
  // By host: when the latest heartbeat was sent that the host has received.
  std::map<std::string, state::Instant> followers_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_LEAD_PROOF_H_
