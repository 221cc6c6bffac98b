// The phases of the election and their timeouts.

#include "coordination/leader_election.h"

#include <algorithm>
#include <utility>

namespace mustardflow::coordination {

using state::Duration;
using state::Instant;

namespace {

// A host queries the other hosts after this long without a heartbeat: five
// heartbeat intervals.
constexpr Duration kLeaderTimeout = std::chrono::milliseconds(1000);
// Hosts that lose contact with the leader at the same moment claim in the order
// of their ranks. The delay for each rank is about the time in which a claim
// succeeds and its first heartbeat arrives; the maximum applies to hosts that
// lead only if most others are lost. The stagger separates hosts that disagree
// about their ranks.
constexpr Duration kDelayPerRank = std::chrono::milliseconds(30);
constexpr Duration kMaxRankDelay = std::chrono::milliseconds(1500);
// A weak host also waits for strong hosts that start at the same moment as
// itself: hosts start within 0.3 s of each other.
constexpr Duration kWeakDelay = std::chrono::milliseconds(400);
constexpr Duration kMaxStagger = std::chrono::milliseconds(20);
// How long a starting host waits for heartbeats before it queries the other
// hosts.
constexpr Duration kStartupLeaderTimeout = std::chrono::milliseconds(50);
// Replaces kStartupLeaderTimeout when the whole system starts for the first
// time: hosts start within 0.3 s of each other and then register.
constexpr Duration kFirstStartLeaderTimeout = std::chrono::milliseconds(250);
// How long a host waits for the replies of other hosts; several round trips.
constexpr Duration kQueryTimeout = std::chrono::milliseconds(120);
// A reply that names an older heartbeat is ignored.
constexpr Duration kMaxHeartbeatAge = std::chrono::milliseconds(700);
// A host that reaches no other host claims the term only after the ledger has
// shown no new record for this long: more than two renewal intervals.
constexpr Duration kLedgerIdleTimeout = std::chrono::milliseconds(2600);
constexpr Duration kRenewInterval = std::chrono::milliseconds(1000);
constexpr Duration kRetryInterval = std::chrono::milliseconds(250);
// How long a leader offers to hand over. A claim takes a tenth of it.
constexpr Duration kHandOverTime = std::chrono::seconds(2);
// A leader without a confirmed write for this long asks to be succeeded.
constexpr Duration kStoreOutageTimeout = std::chrono::milliseconds(1800);
// A read of the ledger or a claim without an answer times out after this
// duration.
constexpr Duration kStoreAnswerTimeout = std::chrono::seconds(2);

Duration Scale(Duration span, double factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(span.count()) * factor));
}

}  // namespace

LeaderElection::LeaderElection(Instant now,
                               std::string claim,
                               double stagger,
                               bool bootstrap)
    : claim_(std::move(claim)),
      stagger_(stagger),
      bootstrap_(bootstrap),
      last_contact_(
          now - kLeaderTimeout +
          (bootstrap ? kFirstStartLeaderTimeout : kStartupLeaderTimeout)),
      phase_since_(now),
      seen_end_at_(now),
      last_proof_(now),
      next_renewal_(now) {}

bool LeaderElection::stepping_down(Instant now) const {
  const bool hands_over = hand_over_term_ == term_ && now < hand_over_until_;
  // In a new era of the store, this host will claim a term itself.
  const bool store_lost =
      !outdated() && now - last_proof_ > kStoreOutageTimeout;
  return leading() && (step_down_requested_ || hands_over || store_lost);
}

void LeaderElection::HandOver(Instant now) {
  if (leading() && hand_over_term_ != term_) {
    hand_over_term_ = term_;
    hand_over_until_ = now + kHandOverTime;
  }
}

bool LeaderElection::lost_contact(Instant now) const {
  return !leading() &&
         (!last_heartbeat_ || now - *last_heartbeat_ > kLeaderTimeout);
}

Duration LeaderElection::OwnDelay() const {
  return std::min<Duration>(kMaxRankDelay,
                            kDelayPerRank * static_cast<Duration::rep>(rank_)) +
         (weak_ ? kWeakDelay : Duration(0)) + Scale(kMaxStagger, stagger_);
}

Duration LeaderElection::BaseTimeout() const {
  return leader_stepping_down_ ? Duration(0) : kLeaderTimeout;
}

void LeaderElection::Join(Instant now) {
  joined_ = true;
  if (phase_ == Phase::kFollowing && !last_heartbeat_) {
    last_contact_ =
        now - kLeaderTimeout +
        (bootstrap_ ? kFirstStartLeaderTimeout : kStartupLeaderTimeout);
  }
}

void LeaderElection::FollowAndRetry(Instant now) {
  Follow(now - BaseTimeout() + kRetryInterval);
}

void LeaderElection::Follow(Instant last_contact) {
  phase_ = Phase::kFollowing;
  last_contact_ = last_contact;
}

void LeaderElection::HandleHeartbeat(Instant now,
                                     std::int64_t term,
                                     bool stepping_down,
                                     std::int64_t era) {
  RecordWonTerm(term, era);
  if (term < term_ || (leading() && term == term_)) {
    return;
  }
  if (leading()) {
    stop_reason_ = "another host leads with a higher term";
  }
  const bool was_stepping_down = leader_stepping_down_ && term == term_;
  SetTerm(term, era);
  leader_stepping_down_ = stepping_down;
  last_heartbeat_ = now;
  // The first heartbeat of a leader that steps down starts the wait for a
  // claim. Later ones do not restart it.
  if (!stepping_down) {
    if (phase_ != Phase::kClaiming || term > claimed_term_) {
      Follow(now);
    }
  } else if (!was_stepping_down && phase_ == Phase::kFollowing) {
    last_contact_ = now;
  }
}

void LeaderElection::HandleQueryReply(Instant now,
                                      std::int64_t term,
                                      std::optional<Duration> heartbeat_age,
                                      std::int64_t era) {
  host_replied_ = true;
  RecordWonTerm(term, era);
  if (phase_ != Phase::kQuerying || term < term_ || !heartbeat_age ||
      *heartbeat_age > kMaxHeartbeatAge) {
    return;
  }
  SetTerm(term, era);
  Follow(now - *heartbeat_age);
}

void LeaderElection::SetTerm(std::int64_t term, std::int64_t era) {
  term_ = term;
  term_era_ = era;
  RecordWonTerm(term, era);
}

void LeaderElection::RecordWonTerm(std::int64_t term, std::int64_t era) {
  won_terms_ = std::max(won_terms_, term - kTermsPerEra * era);
}

std::int64_t LeaderElection::NextTerm(const LedgerHead& head) const {
  const std::int64_t next = std::max(term_, head.term) + 1;
  // Without eras the store loses no term, and the ledger tells the highest.
  return head.store_era == 0
             ? next
             : std::max(next, won_terms_ + kTermsPerEra * head.store_era + 1);
}

bool LeaderElection::HearsLeaderBefore(Instant now, std::int64_t era) const {
  return term_era_ < era && last_heartbeat_ &&
         now - *last_heartbeat_ <= kMaxHeartbeatAge;
}

void LeaderElection::HandleEra(Instant now, std::int64_t era) {
  if (era <= era_) {
    return;
  }
  era_ = era;
  if (leading()) {
    claim_again_at_ = now + kEraSettleTime;
  } else if (phase_ == Phase::kReading || phase_ == Phase::kClaiming) {
    StartReading(now);
  }
}

void LeaderElection::StartReading(Instant now) {
  phase_ = Phase::kReading;
  phase_since_ = now;
  ledger_read_sent_ = false;
  claim_base_.reset();
}

void LeaderElection::HandleLedger(Instant now,
                                  const std::optional<LedgerHead>& head) {
  if (phase_ != Phase::kReading) {
    return;
  }
  if (!head || head->store_era < era_) {
    FollowAndRetry(now);
    return;
  }
  RecordWonTerm(head->term, head->era);
  // A claim that an earlier era has confirmed may be lost again or won by
  // another host as well.
  if (head->era == head->store_era && head->term == claimed_term_ &&
      head->claim == claim_ && claimed_term_ > led_term_) {
    // An earlier claim of this host has taken effect although its answer was
    // lost.
    Lead(phase_since_, now);
    renewal_count_ = head->renewal;
    return;
  }
  DecideClaim(now, *head);
}

void LeaderElection::DecideClaim(Instant now, const LedgerHead& head) {
  if (head.end != seen_end_ || head.store_era != seen_era_) {
    seen_era_ = head.store_era;
    seen_end_ = head.end;
    seen_end_at_ = now;
  }
  const bool knows_term = joined_ || term_ > 0;
  const bool term_advanced = knows_term && head.term > term_;
  const bool ledger_idle = now - seen_end_at_ >= kLedgerIdleTimeout;
  if (head.term > term_) {
    SetTerm(head.term, head.era);
    leader_stepping_down_ = false;
  }
  // A host that reaches no other host needs no proof that it has stopped
  // itself.
  const bool may_be_led =
      head.term > 0 && !(head.term == led_term_ && head.claim == claim_);
  if (HearsLeaderBefore(now, head.store_era)) {
    FollowAndRetry(now);
    return;
  }
  if (term_advanced || (!host_replied_ && may_be_led && !ledger_idle)) {
    Follow(now);
    return;
  }
  claim_base_ = head;
  claim_sent_ = false;
  phase_ = Phase::kClaiming;
  phase_since_ = now;
}

void LeaderElection::HandleWrite(Instant now,
                                 Instant sent,
                                 WriteOutcome outcome) {
  if (phase_ == Phase::kLeading) {
    renewal_pending_ = false;
    switch (outcome) {
      case WriteOutcome::kDone:
        if (outdated()) {
          // The store may have confirmed a write that it has then lost.
          break;
        }
        last_proof_ = std::max(last_proof_, sent);
        next_renewal_ = now + kRenewInterval;
        break;
      case WriteOutcome::kFenced:
        HandleFenced();
        break;
      case WriteOutcome::kConflict:
      case WriteOutcome::kRefused:
      case WriteOutcome::kUnknown:
        next_renewal_ = now + kRetryInterval;
        break;
    }
    return;
  }
  // What was written before belongs to a term that has ended, or to an earlier
  // claim.
  if (phase_ != Phase::kClaiming || sent < phase_since_) {
    return;
  }
  claim_base_.reset();
  if (outcome == WriteOutcome::kDone) {
    Lead(sent, now + kRenewInterval);
  } else if (outcome == WriteOutcome::kUnknown) {
    // Reads the ledger to see whether the claim has taken effect.
    StartReading(now);
  } else {
    FollowAndRetry(now);
  }
}

void LeaderElection::Lead(Instant last_proof, Instant next_renewal) {
  phase_ = Phase::kLeading;
  SetTerm(claimed_term_, era_);
  led_term_ = term_;
  claim_again_at_.reset();
  claim_base_.reset();
  last_proof_ = last_proof;
  next_renewal_ = next_renewal;
  renewal_count_ = 0;
  renewal_pending_ = false;
  leader_stepping_down_ = false;
  begin_pending_ = true;
}

void LeaderElection::HandleTerm(std::int64_t term, std::int64_t era) {
  RecordWonTerm(term, era);
  if (!leading() && term > term_) {
    SetTerm(term, era);
  }
}

void LeaderElection::HandleFenced() {
  if (leading()) {
    stop_reason_ = "the store or a server has seen a higher term";
  }
}

void LeaderElection::HandleProof(Instant sent) {
  if (leading() && !outdated()) {
    last_proof_ = std::max(last_proof_, sent);
    // Each confirmed write serves as a renewal.
    next_renewal_ = std::max<Instant>(next_renewal_, sent + kRenewInterval);
  }
}

std::vector<ElectionAction> LeaderElection::Tick(Instant now) {
  std::vector<ElectionAction> actions;
  if (stop_reason_) {
    actions.emplace_back(StopLeading{*stop_reason_, false});
    stop_reason_.reset();
    if (leading()) {
      Follow(now);
    }
  }
  if (begin_pending_) {
    begin_pending_ = false;
    actions.emplace_back(BeginLeading{term_});
  }
  switch (phase_) {
    case Phase::kFollowing:
      if (now - last_contact_ > LeaderTimeout() && !step_down_requested_) {
        phase_ = Phase::kQuerying;
        phase_since_ = now;
        host_replied_ = leader_stepping_down_;
        actions.emplace_back(QueryHosts{});
      }
      break;
    case Phase::kQuerying:
      if (now - phase_since_ >= kQueryTimeout) {
        StartReading(now);
      }
      break;
    case Phase::kReading:
      if (!ledger_read_sent_) {
        ledger_read_sent_ = true;
        actions.emplace_back(ReadLedger{});
      } else if (now - phase_since_ > kStoreAnswerTimeout) {
        FollowAndRetry(now);
      }
      break;
    case Phase::kClaiming:
      if (claim_base_ && !claim_sent_) {
        claim_sent_ = true;
        claimed_term_ = NextTerm(*claim_base_);
        actions.emplace_back(
            ClaimTerm{claimed_term_, claim_base_->end, claim_base_->store_era});
      } else if (now - phase_since_ > kStoreAnswerTimeout) {
        StartReading(now);
      }
      break;
    case Phase::kLeading:
      TickLeading(now, &actions);
      break;
  }
  return actions;
}

void LeaderElection::TickLeading(Instant now,
                                 std::vector<ElectionAction>* actions) {
  if (now - last_proof_ > kLeadershipLease) {
    actions->emplace_back(StopLeading{
        "no write confirmed by the store within the leadership lease", false});
    Follow(now);
    return;
  }
  if (outdated()) {
    if (now >= claim_again_at_ && !step_down_requested_) {
      actions->emplace_back(StopLeading{"the store is in a new era", true});
      // Other hosts follow this one, so none of them has to be asked.
      host_replied_ = true;
      StartReading(now);
    }
    return;
  }
  if (!renewal_pending_ && now >= next_renewal_) {
    renewal_pending_ = true;
    actions->emplace_back(RenewTerm{++renewal_count_});
  }
}

}  // namespace mustardflow::coordination
