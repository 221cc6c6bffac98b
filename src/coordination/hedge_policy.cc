// Estimates a percentile of the durations by stochastic approximation.

#include "coordination/hedge_policy.h"

#include <algorithm>

namespace mustardflow::coordination {

using state::Duration;

namespace {

constexpr double kQuantile = 0.95;
// Scales the fraction by which one observation changes the estimate. A duration
// above the estimate raises it by kStepFraction * kQuantile, any other lowers
// it by kStepFraction * (1 - kQuantile). The estimate settles where a share of
// kQuantile of the durations lies at or below it.
constexpr double kStepFraction = 0.05;
// The number of hedges that each recorded duration adds to the budget.
constexpr double kHedgesPerRequest = 0.05;
// The maximum number of hedges in the budget. The budget is full at the start.
constexpr double kMaxHedgeBurst = 20;
// The estimate for a class before its first recorded duration.
constexpr Duration kInitialDelay = std::chrono::milliseconds(50);
// Delay() returns at least this for a class with recorded durations.
constexpr Duration kMinDelay = std::chrono::milliseconds(2);

}  // namespace

HedgePolicy::HedgePolicy() : budget_(kHedgesPerRequest, kMaxHedgeBurst) {}

void HedgePolicy::RecordDuration(const std::string& request_class,
                                 Duration duration) {
  budget_.Deposit();
  const auto initial = static_cast<double>(kInitialDelay.count());
  double& estimate =
      estimates_.try_emplace(request_class, initial).first->second;
  const bool above = static_cast<double>(duration.count()) > estimate;
  estimate *= above ? 1 + kStepFraction * kQuantile
                    : 1 - kStepFraction * (1 - kQuantile);
}

Duration HedgePolicy::Delay(const std::string& request_class) const {
  const auto found = estimates_.find(request_class);
  if (found == estimates_.end()) {
    return kInitialDelay;
  }
  return std::max(Duration(static_cast<std::int64_t>(found->second)),
                  kMinDelay);
}

}  // namespace mustardflow::coordination
