// The life of one request: when to send it, to wait, and what to tell the
// caller.

#ifndef MUSTARDFLOW_COORDINATION_REQUEST_LIFECYCLE_H_
#define MUSTARDFLOW_COORDINATION_REQUEST_LIFECYCLE_H_

#include <variant>

#include "coordination/attempt.h"
#include "coordination/retry_budget.h"
#include "state/time.h"

namespace mustardflow::coordination {

// Send the request to a server chosen from the present routes.
struct SendAttempt {};

// Wait, then look for a route again.
struct WaitForRoute {
  state::Instant until;
};

// Pass the server's answer on.
struct ReturnAnswer {};

// Tell the caller that the request was not run, or that this is unknown.
struct ReportFailure {
  AttemptOutcome end = AttemptOutcome::kNotRun;
  AttemptReason reason = AttemptReason::kNone;
};

using NextStep =
    std::variant<SendAttempt, WaitForRoute, ReturnAnswer, ReportFailure>;

// Decides on the attempts of one request. "Not run" is told only if every
// attempt was proven not run. A request that is not idempotent is sent again
// only after such a proof.
class RequestLifecycle {
 public:
  // `budget` must outlive the request.
  RequestLifecycle(bool idempotent,
                   state::Instant deadline,
                   RetryBudget* budget);

  // The request has been admitted.
  NextStep Begin(state::Instant now);

  // No server can be chosen at present.
  NextStep HandleNoRoute(state::Instant now);

  // The wait that was asked for is over.
  NextStep HandleWaitElapsed(state::Instant now);

  // An attempt has ended.
  NextStep HandleAttemptEnd(state::Instant now,
                            AttemptOutcome end,
                            AttemptReason reason);

  state::Instant deadline() const { return deadline_; }

 private:
  enum class Phase {
    kAdmitted,
    kWaiting,
    kSent,
    kEnded,
  };

  NextStep Fail(AttemptOutcome end, AttemptReason reason);
  NextStep Wait(state::Instant now, AttemptReason reason);
  bool MayRetry(AttemptOutcome end, AttemptReason reason);

  const bool idempotent_;
  const state::Instant deadline_;
  RetryBudget* const budget_;
  Phase phase_ = Phase::kAdmitted;
  int attempts_ = 0;
  // Invariant: true if any attempt ended without proof that nothing was run.
  bool may_have_run_ = false;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_REQUEST_LIFECYCLE_H_
