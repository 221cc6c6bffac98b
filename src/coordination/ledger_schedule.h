// Decides what a leader writes to its ledger in the store, and when.

#ifndef MUSTARDFLOW_COORDINATION_LEDGER_SCHEDULE_H_
#define MUSTARDFLOW_COORDINATION_LEDGER_SCHEDULE_H_

#include "state/time.h"

namespace mustardflow::coordination {

enum class LedgerWrite {
  kNone,
  // The whole table, which also proves the term.
  kTable,
  // A small record that proves the term.
  kProof,
};

// What the keyspaces of a leader wait for.
struct LedgerNeeds {
  // Orders wait for the confirmation of what the table says.
  bool confirmation = false;
  // Orders wait for a newer proof of the term.
  bool proof = false;
  // The table in the ledger is not the present one.
  bool update = false;
};

// One write is in progress at a time; the caller asks only while there is none.
class LedgerSchedule {
 public:
  // Returns the write to start at `now`.
  LedgerWrite Next(state::Instant now, const LedgerNeeds& needs);
  // A write has failed. The next one waits for a while.
  void HandleFailure(state::Instant now);

 private:
  state::Instant next_write_{};
  // When the table is written again if nothing waits for it.
  state::Instant next_update_{};
  state::Instant next_proof_{};
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_LEDGER_SCHEDULE_H_
