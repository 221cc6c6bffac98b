// Decides on retries.

#include "coordination/request_lifecycle.h"

#include <algorithm>
#include <cassert>

namespace mustardflow::coordination {

using state::Duration;
using state::Instant;

namespace {

// How long to wait before the routes are looked up again: this times the number
// of attempts so far, up to kMaxRouteRecheckDelay.
constexpr Duration kRouteRecheckDelay = std::chrono::milliseconds(10);
constexpr Duration kMaxRouteRecheckDelay = std::chrono::milliseconds(100);
// The maximum number of attempts of one request. Also limits the retries that
// are not charged to the budget.
constexpr int kMaxAttempts = 50;

// Returns whether the reason suggests that the routes are about to change. A
// retry then waits for new routes. Waiting costs the servers no work.
bool SuggestsRouteChange(AttemptReason reason) {
  return reason == AttemptReason::kNotOwner ||
         reason == AttemptReason::kDutyMoved ||
         reason == AttemptReason::kNoRoute ||
         reason == AttemptReason::kStopping ||
         reason == AttemptReason::kConnectFailed;
}

// Returns whether another attempt would fail for the same reason.
bool IsNotRetryable(AttemptReason reason) {
  return reason == AttemptReason::kDuplicateInProgress ||
         reason == AttemptReason::kEarlierUnknown ||
         reason == AttemptReason::kDeadlinePassed ||
         reason == AttemptReason::kQueueFull;
}

}  // namespace

RequestLifecycle::RequestLifecycle(bool idempotent,
                                   Instant deadline,
                                   RetryBudget* budget)
    : idempotent_(idempotent), deadline_(deadline), budget_(budget) {}

NextStep RequestLifecycle::Begin(Instant now) {
  assert(phase_ == Phase::kAdmitted);
  budget_->Deposit();
  if (now >= deadline_) {
    return Fail(AttemptOutcome::kNotRun, AttemptReason::kDeadlinePassed);
  }
  phase_ = Phase::kSent;
  ++attempts_;
  return SendAttempt{};
}

NextStep RequestLifecycle::HandleNoRoute(Instant now) {
  return Wait(now, AttemptReason::kNoRoute);
}

NextStep RequestLifecycle::HandleWaitElapsed(Instant now) {
  assert(phase_ == Phase::kWaiting);
  if (now >= deadline_) {
    return Fail(AttemptOutcome::kNotRun, AttemptReason::kDeadlinePassed);
  }
  phase_ = Phase::kSent;
  ++attempts_;
  return SendAttempt{};
}

NextStep RequestLifecycle::HandleAttemptEnd(Instant now,
                                            AttemptOutcome outcome,
                                            AttemptReason reason) {
  assert(phase_ == Phase::kSent);
  if (outcome == AttemptOutcome::kAnswered) {
    phase_ = Phase::kEnded;
    return ReturnAnswer{};
  }
  if (outcome == AttemptOutcome::kUnknown) {
    may_have_run_ = true;
  }
  if (now >= deadline_ || !MayRetry(outcome, reason)) {
    return Fail(outcome, reason);
  }
  if (SuggestsRouteChange(reason)) {
    return Wait(now, reason);
  }
  ++attempts_;
  return SendAttempt{};
}

bool RequestLifecycle::MayRetry(AttemptOutcome outcome, AttemptReason reason) {
  if (IsNotRetryable(reason) || attempts_ >= kMaxAttempts) {
    return false;
  }
  if (outcome == AttemptOutcome::kUnknown) {
    return idempotent_ && budget_->Withdraw();
  }
  return SuggestsRouteChange(reason) || budget_->Withdraw();
}

NextStep RequestLifecycle::Wait(Instant now, AttemptReason reason) {
  const Duration wait =
      std::min(kRouteRecheckDelay * attempts_, kMaxRouteRecheckDelay);
  if (now + wait >= deadline_ || attempts_ >= kMaxAttempts) {
    return Fail(AttemptOutcome::kNotRun, reason);
  }
  phase_ = Phase::kWaiting;
  return WaitForRoute{now + wait};
}

NextStep RequestLifecycle::Fail(AttemptOutcome outcome, AttemptReason reason) {
  phase_ = Phase::kEnded;
  return ReportFailure{may_have_run_ ? AttemptOutcome::kUnknown : outcome,
                       reason};
}

}  // namespace mustardflow::coordination
