// Which host leads: grants keys and writes the ownership table.
//
// Terms are settled by the store alone: a claim is an append under a condition,
// and the store refuses the writes of a lower term. Beats between hosts only
// decide when a claim is worth a try, so a wrong guess costs calls, not safety.

#ifndef MUSTARDFLOW_COORDINATION_LEADER_ELECTION_H_
#define MUSTARDFLOW_COORDINATION_LEADER_ELECTION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "state/time.h"

namespace mustardflow::coordination {

// How long a leader may act after the last proof that it leads. Longer than the
// outages of the store that should cost nothing; a successor has to wait this
// long before it counts the leases of a server that it cannot reach as ended.
inline constexpr state::Duration kLeadershipLease = std::chrono::seconds(10);

// What the store says of the present term.
struct LedgerHead {
  std::int64_t term = 0;
  // The claim that won the term.
  std::string claim;
  // Counts the leader's renewals.
  std::int64_t renewal = 0;
  // Where the ledger ends.
  std::int64_t end = 0;
  // Whether all earlier leaders had certainly stopped at that renewal.
  bool settled = false;
};

enum class WriteOutcome {
  kDone,
  // Another host has a higher term.
  kFenced,
  // The condition did not hold. Nothing was written.
  kConflict,
  // Nothing was written.
  kRefused,
  // The write may have taken effect, or may do so later.
  kUnknown,
};

// Ask all other hosts whom they follow.
struct QueryHosts {};
// Read the ledger's head.
struct ReadLedger {};
// Append a claim for `term`, if the ledger still ends at `at`.
struct ClaimTerm {
  std::int64_t term = 0;
  std::int64_t at = 0;
};
// Append a renewal.
struct RenewTerm {
  std::int64_t renewal = 0;
};
// This host leads from now on.
struct BeginLeading {
  std::int64_t term = 0;
};
// This host must not grant anything any more.
struct StopLeading {
  std::string_view reason;
};

using ElectionAction = std::variant<QueryHosts,
                                    ReadLedger,
                                    ClaimTerm,
                                    RenewTerm,
                                    BeginLeading,
                                    StopLeading>;

class LeaderElection {
 public:
  // `claim` identifies this start of the host. `stagger` in [0, 1) sets apart
  // hosts that miss the leader at the same moment. `first_start`: the whole
  // system starts, so there is time to learn of the other hosts.
  LeaderElection(state::Instant now,
                 std::string claim,
                 double stagger,
                 bool first_start = false);

  // The fraction of the hosts that would lead better; this host then leaves
  // them the first turn.
  void SetDisadvantage(double fraction) { disadvantage_ = fraction; }

  // A leader's beat has arrived. `stepping_down` leaders ask to be succeeded.
  void HandleHeartbeat(state::Instant now,
                       std::int64_t term,
                       bool stepping_down);

  // Another host has answered QueryHosts: how long ago it heard the leader of
  // `term`; nothing if it hears none.
  void HandleQueryReply(state::Instant now,
                        std::int64_t term,
                        std::optional<state::Duration> heard);

  // The answer to ReadLedger; nothing if the store did not answer.
  void HandleLedger(state::Instant now, const std::optional<LedgerHead>& head);

  // The answer to ClaimTerm or RenewTerm, sent at `sent`.
  void HandleWrite(state::Instant now,
                   state::Instant sent,
                   WriteOutcome outcome);

  // The store names this term; lower ones are over.
  void HandleTerm(std::int64_t term);

  // Any other write of this term was fenced, or confirmed.
  void HandleFenced();
  void HandleProof(state::Instant sent);

  // Returns what is due.
  std::vector<ElectionAction> Tick(state::Instant now);

  bool leading() const { return phase_ == Phase::kLeading; }
  // Whether the leader, here this host, should be succeeded: it has lost the
  // store or is about to stop.
  bool stepping_down(state::Instant now) const;
  void StepDown() { step_down_requested_ = true; }
  std::int64_t term() const { return term_; }
  // While leading: the sending of the last write that the store confirmed.
  state::Instant last_proof() const { return last_proof_; }
  // When the leader's own beats were last heard.
  std::optional<state::Instant> last_heartbeat() const {
    return last_heartbeat_;
  }
  bool leader_stepping_down() const { return leader_stepping_down_; }
  // Whether no leader has been heard directly for a while.
  bool lost_contact(state::Instant now) const;

 private:
  enum class Phase {
    kFollowing,
    kQuerying,
    kReading,
    kClaiming,
    kLeading,
  };

  void Follow(state::Instant heard);
  void Lead(state::Instant last_proof, state::Instant next_renewal);
  void DecideClaim(state::Instant now, const LedgerHead& head);
  void TickLeading(state::Instant now, std::vector<ElectionAction>* actions);
  state::Duration LeaderTimeout() const;

  const std::string claim_;
  const double stagger_;
  double disadvantage_ = 0;
  Phase phase_ = Phase::kFollowing;
  // The highest term known.
  std::int64_t term_ = 0;
  // When the leader was last heard, by this host or one that it asked.
  state::Instant last_contact_;
  std::optional<state::Instant> last_heartbeat_;
  // The leader asks to be succeeded.
  bool leader_stepping_down_ = false;
  bool step_down_requested_ = false;
  state::Instant phase_since_;
  // Whether any other host has answered since the last question.
  bool host_replied_ = false;
  bool ledger_read_sent_ = false;
  std::optional<LedgerHead> claim_base_;
  bool claim_sent_ = false;
  std::int64_t claimed_term_ = 0;
  // The renewal count in the ledger when it last changed, and that moment.
  std::int64_t seen_renewal_ = -1;
  std::int64_t seen_renewal_term_ = -1;
  state::Instant seen_renewal_at_;
  // While leading: the sending of the last renewal that the store confirmed.
  state::Instant last_proof_;
  std::int64_t renewal_count_ = 0;
  bool renewal_pending_ = false;
  state::Instant next_renewal_;
  bool begin_pending_ = false;
  std::optional<std::string_view> stop_reason_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_LEADER_ELECTION_H_
