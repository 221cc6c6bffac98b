// Tests RequestLifecycle: which requests may be retried, and when kNotRun may
// be reported. The property test compares the reported outcome with a model.

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <utility>
#include <vector>

#include "coordination/request_lifecycle.h"

namespace mustardflow::tests {

namespace {

using coordination::AttemptOutcome;
using coordination::AttemptReason;
using coordination::NextStep;
using coordination::ReportFailure;
using coordination::RequestLifecycle;
using coordination::RetryBudget;
using coordination::SendAttempt;
using coordination::WaitForRoute;
using state::Instant;
using std::chrono::milliseconds;

const Instant kStart{std::chrono::seconds(1)};
const Instant kDeadline = kStart + milliseconds(1000);

}  // namespace

TEST_CASE("a request that is not idempotent and may have run is not retried",
          "[R1]") {
  RetryBudget budget(0.1, 10);
  RequestLifecycle lifecycle(false, kDeadline, &budget);
  lifecycle.Begin(kStart);
  const NextStep step = lifecycle.HandleAttemptEnd(
      kStart, AttemptOutcome::kUnknown, AttemptReason::kConnectionBroken);
  REQUIRE(std::holds_alternative<ReportFailure>(step));
  CHECK(std::get<ReportFailure>(step).end == AttemptOutcome::kUnknown);
}

TEST_CASE("a request that the server sheds is retried within the budget",
          "[R3][R8]") {
  RetryBudget budget(0, 1);
  RequestLifecycle lifecycle(false, kDeadline, &budget);
  lifecycle.Begin(kStart);
  const auto refuse = [&] {
    return lifecycle.HandleAttemptEnd(kStart, AttemptOutcome::kNotRun,
                                      AttemptReason::kServerShed);
  };
  CHECK(std::holds_alternative<SendAttempt>(refuse()));
  const NextStep step = refuse();
  REQUIRE(std::holds_alternative<ReportFailure>(step));
  CHECK(std::get<ReportFailure>(step).end == AttemptOutcome::kNotRun);
}

TEST_CASE("a request whose deadline has passed is not sent", "[R7]") {
  RetryBudget budget(0.1, 10);
  RequestLifecycle lifecycle(true, kDeadline, &budget);
  CHECK(std::holds_alternative<ReportFailure>(lifecycle.Begin(kDeadline)));
}

TEST_CASE("retries and reported outcomes follow from what each attempt proved",
          "[R1][R3][R8]") {
  const bool held = rc::check("request lifecycle", [](bool idempotent) {
    const auto ends = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(1, 14)));
    RetryBudget budget(0.1, 3);
    RequestLifecycle lifecycle(idempotent, kDeadline, &budget);
    Instant now = kStart;
    NextStep step = lifecycle.Begin(now);
    bool may_have_run = false;
    bool answered = false;
    for (const auto& [kind, reason_number] : ends) {
      if (std::holds_alternative<WaitForRoute>(step)) {
        now = std::get<WaitForRoute>(step).until;
        step = lifecycle.HandleWaitElapsed(now);
      }
      if (!std::holds_alternative<SendAttempt>(step)) {
        break;
      }
      RC_ASSERT(idempotent || !may_have_run);
      RC_ASSERT(now < kDeadline);
      now += milliseconds(7);
      const auto reason = static_cast<AttemptReason>(reason_number);
      if (kind == 3) {
        step = lifecycle.HandleNoRoute(now);
        continue;
      }
      const auto outcome = static_cast<AttemptOutcome>(kind);
      may_have_run = may_have_run || outcome == AttemptOutcome::kUnknown;
      answered = outcome == AttemptOutcome::kAnswered;
      step = lifecycle.HandleAttemptEnd(now, outcome, reason);
    }
    if (std::holds_alternative<ReportFailure>(step)) {
      const AttemptOutcome reported = std::get<ReportFailure>(step).end;
      RC_ASSERT(!answered);
      RC_ASSERT(reported == (may_have_run ? AttemptOutcome::kUnknown
                                          : AttemptOutcome::kNotRun));
    }
  });
  REQUIRE(held);
}

}  // namespace mustardflow::tests
