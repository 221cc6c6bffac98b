// The maximum of recent values.

#ifndef MUSTARDFLOW_COORDINATION_DECAYING_MAXIMUM_H_
#define MUSTARDFLOW_COORDINATION_DECAYING_MAXIMUM_H_

#include <algorithm>
#include <chrono>
#include <cmath>

#include "state/time.h"

namespace mustardflow::coordination {

// A maximum that decays exponentially, so that it follows values that fall.
// Unlike RecentMaximum, it keeps only one value.
class DecayingMaximum {
 public:
  void Record(state::Instant now, double value) {
    value_ = std::max(ValueAt(now), value);
    updated_at_ = now;
  }

  double ValueAt(state::Instant now) const {
    const double age = std::chrono::duration<double>(now - updated_at_).count();
    return value_ * std::exp(-age / kDecaySeconds);
  }

 private:
  // The time constant of the decay, in seconds.
  static constexpr double kDecaySeconds = 3.0;

  double value_ = 0;
  state::Instant updated_at_{};
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_DECAYING_MAXIMUM_H_
