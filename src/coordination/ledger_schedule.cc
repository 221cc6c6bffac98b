// Writes the whole table only if it has changed.

#include "coordination/ledger_schedule.h"

namespace mustardflow::coordination {

namespace {

// Minimum time between two writes of a table that no order waits for. Changes
// in between are written together.
constexpr state::Duration kUpdateInterval = std::chrono::milliseconds(300);
// Minimum time between two proofs. A failed order is repeated later than that.
constexpr state::Duration kProofInterval = std::chrono::milliseconds(100);
constexpr state::Duration kRetryInterval = std::chrono::milliseconds(300);

}  // namespace

LedgerWrite LedgerSchedule::Next(state::Instant now, const LedgerNeeds& needs) {
  if (now < next_write_) {
    return LedgerWrite::kNone;
  }
  if (needs.confirmation || (needs.update && now >= next_update_)) {
    next_update_ = now + kUpdateInterval;
    return LedgerWrite::kTable;
  }
  if (needs.proof && now >= next_proof_) {
    next_proof_ = now + kProofInterval;
    return LedgerWrite::kProof;
  }
  return LedgerWrite::kNone;
}

void LedgerSchedule::HandleFailure(state::Instant now) {
  next_write_ = now + kRetryInterval;
}

}  // namespace mustardflow::coordination
