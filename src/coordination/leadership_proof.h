// What shows a leader that it may still grant, and a successor that its
// predecessor may not any more.

#ifndef MUSTARDFLOW_COORDINATION_LEADERSHIP_PROOF_H_
#define MUSTARDFLOW_COORDINATION_LEADERSHIP_PROOF_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "state/time.h"

namespace mustardflow::coordination {

// A leader grants while the store has confirmed its term lately, or while most
// hosts follow it. Each host follows the highest term that it has heard of, so
// once two thirds follow the successor, the predecessor has lost its majority.
class LeadershipProof {
 public:
  // The host begins to lead by a claim that was sent at `claimed`.
  // `has_predecessor`: another host led before, and may not know yet that its
  // term is over.
  void Begin(state::Instant now, state::Instant claimed, bool has_predecessor);

  // A beat is sent now; returns its number, which reports name.
  std::int64_t RecordSentHeartbeat(state::Instant now);
  // `host` follows this term and has heard the beat of this number.
  void RecordReport(const std::string& host, std::int64_t heartbeat);
  // The store has confirmed a write of this term that was sent then.
  void RecordStoreConfirmation(state::Instant sent);

  // Whether orders may be sent. `hosts`: how many take part, this one included.
  bool MayGrant(state::Instant now, std::size_t hosts) const;

  // Most hosts have followed this term at this moment or later, if known.
  std::optional<state::Instant> FollowedSince(state::Instant now,
                                              std::size_t hosts) const;

  // When the predecessor's last order can have been sent; never later than what
  // an earlier call returned.
  state::Instant PredecessorEnd(state::Instant now, std::size_t hosts);
  // The predecessor's host follows this term, or has started anew. To be told
  // only if no leader before the predecessor may still be at work.
  void HandlePredecessorFollows(state::Instant now);

 private:
  // The latest moment since which so many hosts have followed, this one
  // included.
  std::optional<state::Instant> FollowedBy(state::Instant now,
                                           std::size_t count) const;

  state::Instant begin_time_{};
  state::Instant last_store_proof_{};
  state::Instant predecessor_end_{};
  std::int64_t last_heartbeat_number_ = 0;
  // When the latest beats were sent.
  std::map<std::int64_t, state::Instant> heartbeat_times_;
  // By host: when the latest beat was sent that the host has heard.
  std::map<std::string, state::Instant> followers_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_LEADERSHIP_PROOF_H_
