// Decides the steps of one request: when to send an attempt, when to wait, and
// what to report to the caller.

#ifndef MUSTARDFLOW_COORDINATION_REQUEST_LIFECYCLE_H_
#define MUSTARDFLOW_COORDINATION_REQUEST_LIFECYCLE_H_

#include <variant>

#include "coordination/attempt.h"
#include "coordination/retry_budget.h"
#include "state/time.h"

namespace mustardflow::coordination {

// Send the request to a server chosen from the current routes.
struct SendAttempt {};

// Wait, then look up a route again.
struct WaitForRoute {
  state::Instant until;
};

// Return the answer of the server to the caller.
struct ReturnAnswer {};

// Report to the caller that the request was not run, or that it is unknown
// whether the request was run.
struct ReportFailure {
  AttemptOutcome end = AttemptOutcome::kNotRun;
  AttemptReason reason = AttemptReason::kNone;
};

// The next step of a request.
using NextStep =
    std::variant<SendAttempt, WaitForRoute, ReturnAnswer, ReportFailure>;

// Decides on the attempts of one request. kNotRun is reported only if every
// attempt provably did not run the request. A request that is not idempotent is
// retried only after such a proof.
class RequestLifecycle {
 public:
  // `budget` must outlive the request.
  RequestLifecycle(bool idempotent,
                   state::Instant deadline,
                   RetryBudget* budget);

  // Starts the request. Called once, after the request has been admitted.
  NextStep Begin(state::Instant now);

  // Called after SendAttempt if no server can be chosen at present.
  NextStep HandleNoRoute(state::Instant now);

  // Called when the wait of WaitForRoute has elapsed.
  NextStep HandleWaitElapsed(state::Instant now);

  // Called when an attempt has ended.
  NextStep HandleAttemptEnd(state::Instant now,
                            AttemptOutcome outcome,
                            AttemptReason reason);

  state::Instant deadline() const { return deadline_; }

 private:
  // The state of the request between two calls.
  enum class Phase {
    // Begin() has not been called.
    kAdmitted,
    // WaitForRoute has been returned.
    kWaiting,
    // SendAttempt has been returned.
    kSent,
    // ReturnAnswer or ReportFailure has been returned.
    kEnded,
  };

  NextStep Fail(AttemptOutcome outcome, AttemptReason reason);
  // Waits longer after each attempt. Fails if the deadline passes before the
  // wait ends, or if no attempt is left.
  NextStep Wait(state::Instant now, AttemptReason reason);
  // Returns whether a retry is allowed, and charges the budget for it. A retry
  // is free if the attempt did not run the request and its reason suggests a
  // change of routes.
  bool MayRetry(AttemptOutcome outcome, AttemptReason reason);

  const bool idempotent_;
  const state::Instant deadline_;
  RetryBudget* const budget_;
  Phase phase_ = Phase::kAdmitted;
  // Number of attempts that were requested by SendAttempt.
  int attempts_ = 0;
  // Invariant: true if any attempt ended without an answer and without proof
  // that it did not run the request.
  bool may_have_run_ = false;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_REQUEST_LIFECYCLE_H_
