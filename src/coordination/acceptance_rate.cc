// Exponentially decaying counts of accepted and refused requests.

#include "coordination/acceptance_rate.h"

#include <algorithm>
#include <cmath>

namespace mustardflow::coordination {

using state::Duration;
using state::Instant;

namespace {

// The time constant of the counts, in seconds. It is shorter than bursts and
// periods with hot keys, which last for some seconds.
constexpr double kDecaySeconds = 1.0;
// The counts do not matter any more after this time without a request.
constexpr Duration kRetention = std::chrono::seconds(10);
// The upper bound of the retry delay.
constexpr Duration kMaxRetryAfter = std::chrono::seconds(10);

}  // namespace

void AcceptanceRate::Decay(Instant now) {
  const double age = std::chrono::duration<double>(now - updated_at_).count();
  const double factor = std::exp(-age / kDecaySeconds);
  accepted_ *= factor;
  refused_ *= factor;
  updated_at_ = now;
}

void AcceptanceRate::RecordAccepted(Instant now) {
  Decay(now);
  accepted_ += 1;
}

void AcceptanceRate::RecordRefused(Instant now) {
  Decay(now);
  refused_ += 1;
}

Duration AcceptanceRate::RetryAfter(Instant now, Duration default_delay) const {
  const double age = std::chrono::duration<double>(now - updated_at_).count();
  const double factor = std::exp(-age / kDecaySeconds);
  const double retries =
      1 + refused_ * factor / std::max(1.0, accepted_ * factor);
  const double seconds =
      std::chrono::duration<double>(default_delay).count() * retries;
  return std::min(kMaxRetryAfter, std::chrono::duration_cast<Duration>(
                                      std::chrono::duration<double>(seconds)));
}

bool AcceptanceRate::Decayed(Instant now) const {
  return now - updated_at_ > kRetention;
}

}  // namespace mustardflow::coordination
