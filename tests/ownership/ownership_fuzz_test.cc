// Stateful fuzzing of the ownership core against a simple oracle.
//
// Seed and length come from RC_PARAMS; a failure prints a shrunk sequence and
// the parameters that replay it. See docs/contribute/fuzzing.md.

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

#include "ownership_simulation.h"

namespace mustardflow::tests {

namespace {

constexpr state::Duration kRecoveryLimit = std::chrono::seconds(3);

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
    // Most runs are short, so that faults meet moves under way.
    const bool shorten = step.kind == StepKind::kRun && step.b % 5 != 0;
    step.a = shorten ? step.a % 10 : step.a;
    return step;
  });
}

}  // namespace

TEST_CASE("each key has at most one owner, through any sequence of faults",
          "[fuzz]") {
  const bool held = rc::check("one owner, no fence goes back, recovery", [] {
    const auto steps = *rc::gen::scale(
        3.0, rc::gen::container<std::vector<Step>>(StepGenerator()));
    OwnershipSimulation world;
    for (const Step& step : steps) {
      const auto broken = world.Apply(step);
      if (broken) {
        RC_FAIL(*broken);
      }
    }
    const auto broken = world.Recover(kRecoveryLimit);
    if (broken) {
      RC_FAIL(*broken);
    }
  });
  REQUIRE(held);
}

}  // namespace mustardflow::tests
