// Tells refused callers when to come back, by how many are accepted.

#ifndef MUSTARDFLOW_COORDINATION_ACCEPTANCE_RATE_H_
#define MUSTARDFLOW_COORDINATION_ACCEPTANCE_RATE_H_

#include "state/time.h"

namespace mustardflow::coordination {

// Counts what was accepted and refused within about a second. A caller that
// comes back after each `usual` time is accepted once in so many times; before
// that, coming back is in vain and takes room from others.
class AcceptanceRate {
 public:
  void RecordAccepted(state::Instant now);
  void RecordRefused(state::Instant now);

  // When a caller that is refused now should come back.
  state::Duration RetryAfter(state::Instant now, state::Duration usual) const;

 private:
  void Fade(state::Instant now);

  double accepted_ = 0;
  double refused_ = 0;
  state::Instant at_{};
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_ACCEPTANCE_RATE_H_
