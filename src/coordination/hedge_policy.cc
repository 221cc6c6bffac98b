// A percentile estimate by stochastic approximation.

#include "coordination/hedge_policy.h"

#include <algorithm>

namespace mustardflow::coordination {

using state::Duration;

namespace {

constexpr double kQuantile = 0.95;
// The fraction by which one observation changes the estimate.
constexpr double kStepFraction = 0.05;
constexpr double kHedgesPerRequest = 0.05;
constexpr double kMaxHedgeBurst = 20;
constexpr Duration kInitialDelay = std::chrono::milliseconds(50);
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
