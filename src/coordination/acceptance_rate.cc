// Counts that fade.

#include "coordination/acceptance_rate.h"

#include <algorithm>
#include <cmath>

namespace mustardflow::coordination {

using state::Duration;
using state::Instant;

namespace {

// In seconds; bursts and hot keys last for some seconds.
constexpr double kMemory = 1.0;
constexpr Duration kLongest = std::chrono::seconds(10);

}  // namespace

void AcceptanceRate::Fade(Instant now) {
  const double age = std::chrono::duration<double>(now - at_).count();
  const double factor = std::exp(-age / kMemory);
  accepted_ *= factor;
  refused_ *= factor;
  at_ = now;
}

void AcceptanceRate::RecordAccepted(Instant now) {
  Fade(now);
  accepted_ += 1;
}

void AcceptanceRate::RecordRefused(Instant now) {
  Fade(now);
  refused_ += 1;
}

Duration AcceptanceRate::RetryAfter(Instant now, Duration usual) const {
  const double age = std::chrono::duration<double>(now - at_).count();
  const double factor = std::exp(-age / kMemory);
  const double tries =
      1 + refused_ * factor / std::max(1.0, accepted_ * factor);
  const double seconds = std::chrono::duration<double>(usual).count() * tries;
  return std::min(kLongest, std::chrono::duration_cast<Duration>(
                                std::chrono::duration<double>(seconds)));
}

}  // namespace mustardflow::coordination
