// The election of the leader: the host that grants keys and writes the
// ownership table.
//
// The store alone decides who wins a term: a claim is a conditional append, and
// the store refuses the writes of a lower term. Heartbeats between hosts only
// decide when a host attempts a claim, so a wrong decision costs calls to the
// store, not safety.

#ifndef MUSTARDFLOW_COORDINATION_LEADER_ELECTION_H_
#define MUSTARDFLOW_COORDINATION_LEADER_ELECTION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "state/time.h"

namespace mustardflow::coordination {

// How long a leader may act after the last proof that it leads. This is longer
// than the store outages that should not affect callers. A successor that
// cannot prove earlier that its predecessor has stopped waits this long before
// it starts to count down the leases of a server that it cannot reach.
inline constexpr state::Duration kLeadershipLease = std::chrono::seconds(10);

// A leader that sees a new era of the store waits this long until it claims a
// term of that era. A leader that had replaced it, and whose claim the store
// has lost, can grant for 1.5 s after its last confirmed write; its orders
// leave within kMaxTurnTime and arrive within 0.3 s. After that each server
// renews its lease within 0.9 s, and refuses if it has obeyed that leader.
inline constexpr state::Duration kEraSettleTime =
    std::chrono::milliseconds(4200);

// The record of the present term in the store.
struct LedgerHead {
  std::int64_t term = 0;
  // Identifies the claim that won the term.
  std::string claim;
  // The number of the leader's last renewal in this term. Its other writes also
  // show that it leads.
  std::int64_t renewal = 0;
  // The position after the last record of the ledger.
  std::int64_t end = 0;
  // Whether it was certain at that renewal that all earlier leaders had
  // stopped.
  bool settled = false;
  // The era of the store in which the term was won, and the era in which this
  // record was read and to which `end` belongs. If they differ, the store may
  // have lost terms that were won later.
  std::int64_t era = 0;
  std::int64_t store_era = 0;
  // Whether the leader did not know, at that renewal, who might hold keys:
  // the store had lost records, and leases of before were not over.
  bool recovering = false;
};

// In a new era of the store, terms start this far above the highest known one,
// so that none is won that the store has lost: a host takes 0.12 s at least
// from the loss of its leader to a claim, so that leaders that replace one
// another without a pause win this many terms in eight minutes.
inline constexpr std::int64_t kTermsPerEra = 4096;

enum class WriteOutcome {
  kDone,
  // The store refused the write because another host has a higher term.
  kFenced,
  // The condition of the append did not hold. Nothing was written.
  kConflict,
  // Nothing was written.
  kRefused,
  // The write may have taken effect, or may do so later.
  kUnknown,
};

// Ask all other hosts which leader they follow.
struct QueryHosts {};
// Read the ledger's head.
struct ReadLedger {};
// Append a claim for `term`, if the ledger still ends at `ledger_end`.
struct ClaimTerm {
  std::int64_t term = 0;
  std::int64_t ledger_end = 0;
  // The era of the store to which `ledger_end` belongs.
  std::int64_t era = 0;
};
// Append a renewal.
struct RenewTerm {
  std::int64_t renewal = 0;
};
// This host leads from now on.
struct BeginLeading {
  std::int64_t term = 0;
};
// This host must not send grants any more.
struct StopLeading {
  std::string_view reason;
  // Whether this host claims a term in the store's new era at once. If it could
  // send grants until now, it knows the owners of all keys.
  bool enters_era = false;
};

using ElectionAction = std::variant<QueryHosts,
                                    ReadLedger,
                                    ClaimTerm,
                                    RenewTerm,
                                    BeginLeading,
                                    StopLeading>;

// The election at one host. It does no I/O: Tick() returns the actions that the
// caller carries out, and the Handle functions take their results.
class LeaderElection {
 public:
  // `claim` identifies this incarnation of the host. `stagger`, in [0, 1),
  // spreads the claims of hosts that lose contact with the leader at the same
  // moment. `bootstrap`: the whole system starts for the first time, so this
  // host waits longer to learn of the other hosts.
  LeaderElection(state::Instant now,
                 std::string claim,
                 double stagger,
                 bool bootstrap = false);

  // Sets the number of hosts that are better suited to lead, and whether any of
  // them is far better suited. This host delays its claim in favour of them.
  void SetRank(std::size_t rank, bool weak) {
    rank_ = rank;
    weak_ = weak;
  }

  // This host now knows the term in the store and the other hosts, and takes
  // part. Tick() must not be called before.
  void Join(state::Instant now);

  // A heartbeat of a leader has arrived. A leader that is `stepping_down` asks
  // to be succeeded. `era`: in which era of the store the term was won.
  void HandleHeartbeat(state::Instant now,
                       std::int64_t term,
                       bool stepping_down,
                       std::int64_t era = 0);

  // Another host has replied to QueryHosts: `heartbeat_age` is the time since
  // it last received a heartbeat of the leader of `term`; nothing if it has
  // lost contact with the leader. `era`: in which era the term was won.
  void HandleQueryReply(state::Instant now,
                        std::int64_t term,
                        std::optional<state::Duration> heartbeat_age,
                        std::int64_t era = 0);

  // The store is known to be in `era`. Called before the result of any read or
  // write that names the era. What was read or written in an earlier era has no
  // effect afterwards. A leader of an earlier era renews what it has granted as
  // long as it has proof by reports of hosts. After kEraSettleTime it claims a
  // term of the new era.
  void HandleEra(state::Instant now, std::int64_t era);

  // The result of ReadLedger; nothing if the store did not answer.
  void HandleLedger(state::Instant now, const std::optional<LedgerHead>& head);

  // The result of a ClaimTerm or RenewTerm that was sent at `sent`. While a
  // claim waits for its result, those of earlier writes have no effect.
  void HandleWrite(state::Instant now,
                   state::Instant sent,
                   WriteOutcome outcome);

  // The store holds this term, which was won in `era`, so all lower terms have
  // ended.
  void HandleTerm(std::int64_t term, std::int64_t era = 0);

  // The results of other writes under this term: the write was fenced, or the
  // store confirmed the write sent at `sent`.
  void HandleFenced();
  void HandleProof(state::Instant sent);

  // Returns the actions that are due.
  std::vector<ElectionAction> Tick(state::Instant now);

  bool leading() const { return phase_ == Phase::kLeading; }
  // Whether this host leads and asks to be succeeded, because it has lost
  // contact with the store or is about to stop.
  bool stepping_down(state::Instant now) const;
  // This host is about to stop: asks to be succeeded and claims no term.
  void StepDown() { step_down_requested_ = true; }
  // Asks for a while to be succeeded, in favour of a host that is better suited
  // to lead. Leads on if no host claims the next term. Has an effect only once
  // in a term.
  void HandOver(state::Instant now);
  std::int64_t term() const { return term_; }
  // The era of the store in which term() was won.
  std::int64_t term_era() const { return term_era_; }
  // Whether this host leads a term of an earlier era than the store's. It then
  // writes nothing to the store.
  bool outdated() const { return leading() && term_era_ < era_; }
  // While leading: when the last write that the store confirmed was sent.
  state::Instant last_proof() const { return last_proof_; }
  // When the last heartbeat of the leader arrived at this host.
  std::optional<state::Instant> last_heartbeat() const {
    return last_heartbeat_;
  }
  bool leader_stepping_down() const { return leader_stepping_down_; }
  // Whether this host does not lead and has lost contact with the leader: no
  // heartbeat has arrived for the leader timeout.
  bool lost_contact(state::Instant now) const;

 private:
  enum class Phase {
    // Receives heartbeats, or waits for the leader timeout.
    kFollowing,
    // Waits for the replies of the other hosts.
    kQuerying,
    // Waits for the head of the ledger.
    kReading,
    // Waits for the result of a claim.
    kClaiming,
    kLeading,
  };

  void Follow(state::Instant last_contact);
  // Follows, and queries again after the retry interval and this host's delay.
  void FollowAndRetry(state::Instant now);
  // How long this host goes without contact before its own delay begins.
  state::Duration BaseTimeout() const;
  // The wait in favour of hosts that are better suited to lead.
  state::Duration OwnDelay() const;
  void Lead(state::Instant last_proof, state::Instant next_renewal);
  // Claims the next term, or follows again if the ledger shows an active
  // leader.
  void DecideClaim(state::Instant now, const LedgerHead& head);
  void TickLeading(state::Instant now, std::vector<ElectionAction>* actions);
  // Reads the ledger next.
  void StartReading(state::Instant now);
  // Sets the highest known term.
  void SetTerm(std::int64_t term, std::int64_t era);
  // Records that a term was won, so that this host claims a higher one.
  void RecordWonTerm(std::int64_t term, std::int64_t era);
  // The term that follows all known ones in the era of `head`.
  std::int64_t NextTerm(const LedgerHead& head) const;
  // Whether a leader can be heard whose term was won before the era `era`. It
  // knows the owners of all keys, so it should claim first.
  bool HearsLeaderBefore(state::Instant now, std::int64_t era) const;
  // How long this host goes without contact with the leader before it queries
  // the other hosts.
  state::Duration LeaderTimeout() const { return BaseTimeout() + OwnDelay(); }

  const std::string claim_;
  const double stagger_;
  const bool bootstrap_;
  std::size_t rank_ = 0;
  bool weak_ = false;
  // Whether term_ was read from the store since the start.
  bool joined_ = false;
  Phase phase_ = Phase::kFollowing;
  // The highest known term of a leader that this host follows, and the era of
  // the store in which it was won.
  std::int64_t term_ = 0;
  std::int64_t term_era_ = 0;
  // The highest known era of the store.
  std::int64_t era_ = 0;
  // The highest term that any host has named or the store has shown, less
  // kTermsPerEra for each era before the one in which it was won.
  std::int64_t won_terms_ = 0;
  // While leading in an earlier era than era_: when this host claims a term
  // again.
  std::optional<state::Instant> claim_again_at_;
  // When a heartbeat of the leader last arrived at this host or at one that
  // replied to a query. Without a heartbeat, such as after the start or a
  // failed claim, it is set so that the leader timeout ends when the next query
  // is due.
  state::Instant last_contact_;
  std::optional<state::Instant> last_heartbeat_;
  // Whether the leader asks to be succeeded.
  bool leader_stepping_down_ = false;
  bool step_down_requested_ = false;
  // The last term that this host offered to hand over, and until when; -1 if
  // none.
  std::int64_t hand_over_term_ = -1;
  state::Instant hand_over_until_{};
  state::Instant phase_since_;
  // Whether any other host has replied since the last query. Also true if the
  // leader was stepping down when the query was sent.
  bool host_replied_ = false;
  bool ledger_read_sent_ = false;
  // The head of the ledger that the claim is based on.
  std::optional<LedgerHead> claim_base_;
  bool claim_sent_ = false;
  // The term of this host's last claim; 0 if there was none.
  std::int64_t claimed_term_ = 0;
  // The last term that this host has led; 0 if there was none. Invariant: it
  // begins to lead only terms above this one, since a term's fences and numbers
  // of appends are used once.
  std::int64_t led_term_ = 0;
  // The end of the ledger as last seen, and when this host first saw it there.
  std::int64_t seen_era_ = 0;
  std::int64_t seen_end_ = -1;
  state::Instant seen_end_at_;
  // While leading: when the last write that the store confirmed was sent.
  state::Instant last_proof_;
  std::int64_t renewal_count_ = 0;
  bool renewal_pending_ = false;
  state::Instant next_renewal_;
  // Whether the next Tick() returns BeginLeading.
  bool begin_pending_ = false;
  // If set, the next Tick() returns StopLeading with this reason.
  std::optional<std::string_view> stop_reason_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_LEADER_ELECTION_H_
