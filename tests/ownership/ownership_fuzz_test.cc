// Runs random sequences of steps and checks the invariants of key ownership.
//
// The environment variable RC_PARAMS sets the seed and the number of sequences.
// A failure prints a shrunk sequence and the parameters that replay it. See
// docs/contribute/fuzzing.md.

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

#include "ownership_simulation.h"

namespace mustardflow::tests {

namespace {

constexpr state::Duration kRecoveryLimit = std::chrono::seconds(3);

// Generates one step. The number before each kind is its relative frequency.
rc::Gen<Step> StepGenerator() {
  const auto kind = rc::gen::weightedElement<StepKind>({
      {8, StepKind::kRun},
      {8, StepKind::kAdvance},
      {12, StepKind::kDeliver},
      {2, StepKind::kDrop},
      {5, StepKind::kReplay},
      {3, StepKind::kCampaign},
      {3, StepKind::kPauseHost},
      {3, StepKind::kFreezeServer},
      {2, StepKind::kRestartServer},
      {4, StepKind::kCutLink},
      {3, StepKind::kPartition},
      {2, StepKind::kToggleInService},
      {2, StepKind::kReadConfiguration},
      {1, StepKind::kPublishServers},
      {1, StepKind::kShareRoutes},
      {2, StepKind::kBeginWork},
      {2, StepKind::kEndWork},
      {1, StepKind::kHeal},
  });
  const auto number = rc::gen::inRange<std::uint32_t>(0, 1000);
  const auto any_step = rc::gen::build<Step>(rc::gen::set(&Step::kind, kind),
                                             rc::gen::set(&Step::a, number),
                                             rc::gen::set(&Step::b, number));
  return rc::gen::map(any_step, [](Step step) {
    // Four of five runs are short, so that faults occur while slices move.
    const bool shorten = step.kind == StepKind::kRun && step.b % 5 != 0;
    step.a = shorten ? step.a % 10 : step.a;
    return step;
  });
}

}  // namespace

TEST_CASE("each key has at most one owner under any sequence of faults",
          "[fuzz]") {
  const bool held = rc::check("one owner, no fence decreases, recovery", [] {
    const auto steps = *rc::gen::scale(
        3.0, rc::gen::container<std::vector<Step>>(StepGenerator()));
    OwnershipSimulation simulation;
    for (const Step& step : steps) {
      const auto violation = simulation.Apply(step);
      if (violation) {
        RC_FAIL(*violation);
      }
    }
    const auto violation = simulation.Recover(kRecoveryLimit);
    if (violation) {
      RC_FAIL(*violation);
    }
  });
  REQUIRE(held);
}

}  // namespace mustardflow::tests
