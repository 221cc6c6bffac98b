// The life of a request against its oracle: what may be sent again, and when
// "not run" may be told.

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

TEST_CASE("a request that may have run is not sent again", "[R1]") {
  RetryBudget budget(0.1, 10);
  RequestLifecycle life(false, kDeadline, &budget);
  life.Begin(kStart);
  const NextStep step = life.HandleAttemptEnd(kStart, AttemptOutcome::kUnknown,
                                              AttemptReason::kConnectionBroken);
  REQUIRE(std::holds_alternative<ReportFailure>(step));
  CHECK(std::get<ReportFailure>(step).end == AttemptOutcome::kUnknown);
}

TEST_CASE("a refused request is sent again within the budget", "[R3][R8]") {
  RetryBudget budget(0, 1);
  RequestLifecycle life(false, kDeadline, &budget);
  life.Begin(kStart);
  const auto refuse = [&] {
    return life.HandleAttemptEnd(kStart, AttemptOutcome::kNotRun,
                                 AttemptReason::kServerShed);
  };
  CHECK(std::holds_alternative<SendAttempt>(refuse()));
  const NextStep step = refuse();
  REQUIRE(std::holds_alternative<ReportFailure>(step));
  CHECK(std::get<ReportFailure>(step).end == AttemptOutcome::kNotRun);
}

TEST_CASE("a request whose deadline has passed is not sent", "[R7]") {
  RetryBudget budget(0.1, 10);
  RequestLifecycle life(true, kDeadline, &budget);
  CHECK(std::holds_alternative<ReportFailure>(life.Begin(kDeadline)));
}

TEST_CASE("every life ends, and only tells what is proven", "[R1][R3][R8]") {
  const bool held = rc::check("request life", [](bool idempotent) {
    const auto ends = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(1, 14)));
    RetryBudget budget(0.1, 3);
    RequestLifecycle life(idempotent, kDeadline, &budget);
    Instant now = kStart;
    NextStep step = life.Begin(now);
    bool may_have_run = false;
    bool answered = false;
    for (const auto& [kind, reason_number] : ends) {
      if (std::holds_alternative<WaitForRoute>(step)) {
        now = std::get<WaitForRoute>(step).until;
        step = life.HandleWaitElapsed(now);
      }
      if (!std::holds_alternative<SendAttempt>(step)) {
        break;
      }
      RC_ASSERT(idempotent || !may_have_run);
      RC_ASSERT(now < kDeadline);
      now += milliseconds(7);
      const auto reason = static_cast<AttemptReason>(reason_number);
      if (kind == 3) {
        step = life.HandleNoRoute(now);
        continue;
      }
      const auto end = static_cast<AttemptOutcome>(kind);
      may_have_run = may_have_run || end == AttemptOutcome::kUnknown;
      answered = end == AttemptOutcome::kAnswered;
      step = life.HandleAttemptEnd(now, end, reason);
    }
    if (std::holds_alternative<ReportFailure>(step)) {
      const AttemptOutcome told = std::get<ReportFailure>(step).end;
      RC_ASSERT(!answered);
      RC_ASSERT(told == (may_have_run ? AttemptOutcome::kUnknown
                                      : AttemptOutcome::kNotRun));
    }
  });
  REQUIRE(held);
}

}  // namespace mustardflow::tests
