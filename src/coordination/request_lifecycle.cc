// Retry decisions.

#include "coordination/request_lifecycle.h"

#include <algorithm>
#include <cassert>

namespace mustardflow::coordination {

using state::Duration;
using state::Instant;

namespace {

// How long to wait until the routes are looked at again.
constexpr Duration kRouteRecheckDelay = std::chrono::milliseconds(10);
constexpr Duration kMaxRouteRecheckDelay = std::chrono::milliseconds(100);
constexpr int kMaxAttempts = 50;

// Reasons that the routes are about to change. Waiting costs no server work.
bool SuggestsRouteChange(AttemptReason reason) {
  return reason == AttemptReason::kNotOwner ||
         reason == AttemptReason::kDutyMoved ||
         reason == AttemptReason::kNoRoute ||
         reason == AttemptReason::kStopping ||
         reason == AttemptReason::kConnectFailed;
}

// Reasons that another attempt cannot change.
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
                                            AttemptOutcome end,
                                            AttemptReason reason) {
  assert(phase_ == Phase::kSent);
  if (end == AttemptOutcome::kAnswered) {
    phase_ = Phase::kEnded;
    return ReturnAnswer{};
  }
  if (end == AttemptOutcome::kUnknown) {
    may_have_run_ = true;
  }
  if (now >= deadline_ || !MayRetry(end, reason)) {
    return Fail(end, reason);
  }
  if (SuggestsRouteChange(reason)) {
    return Wait(now, reason);
  }
  ++attempts_;
  return SendAttempt{};
}

bool RequestLifecycle::MayRetry(AttemptOutcome end, AttemptReason reason) {
  if (IsNotRetryable(reason) || attempts_ >= kMaxAttempts) {
    return false;
  }
  if (end == AttemptOutcome::kUnknown) {
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

NextStep RequestLifecycle::Fail(AttemptOutcome end, AttemptReason reason) {
  phase_ = Phase::kEnded;
  return ReportFailure{may_have_run_ ? AttemptOutcome::kUnknown : end, reason};
}

}  // namespace mustardflow::coordination
