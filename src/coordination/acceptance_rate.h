// Estimates the retry delay for refused callers from the rate of accepted ones.

#ifndef MUSTARDFLOW_COORDINATION_ACCEPTANCE_RATE_H_
#define MUSTARDFLOW_COORDINATION_ACCEPTANCE_RATE_H_

#include "state/time.h"

namespace mustardflow::coordination {

// Keeps exponentially decaying counts of the requests that were accepted and
// refused within about a second. Their ratio yields the number of retries that
// a caller needs on average until it is accepted. The retry delay grows with
// that number, because earlier retries would be refused and would take capacity
// from other callers.
class AcceptanceRate {
 public:
  void RecordAccepted(state::Instant now);
  void RecordRefused(state::Instant now);

  // The delay after which a caller that is refused at `now` should retry:
  // `default_delay` times the expected number of retries, up to an upper bound.
  state::Duration RetryAfter(state::Instant now,
                             state::Duration default_delay) const;

  // Whether the counts have decayed so far that they no longer matter.
  bool Decayed(state::Instant now) const;

 private:
  // Decays the counts to `now`.
  void Decay(state::Instant now);

  double accepted_ = 0;
  double refused_ = 0;
  // When the counts were last decayed.
  state::Instant updated_at_{};
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_ACCEPTANCE_RATE_H_
