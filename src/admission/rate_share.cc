// Division of a limit among hosts, token bucket and slots.

#include "admission/rate_share.h"

#include <algorithm>
#include <cmath>

namespace mustardflow::admission {

using state::Duration;
using state::Instant;

namespace {

// The lowest limit that is divided, in requests per second. With nothing at
// all, no answer could tell that the limit has ended.
constexpr double kMinRate = 0.15;
// The hosts' rates and bursts. Over four seconds they come to 6 times the limit
// and 4 requests with equal shares, and to 5.8 times and 3 requests with a gate
// that fails midway.
constexpr double kUsedRate = 1.1;
// Slots of different hosts may coincide, so the hosts use less.
constexpr double kSlotRate = 0.85;
constexpr double kEqualBurstRate = 1.6;
constexpr double kEqualBurst = 4;
constexpr double kGateBurstRate = 0.4;
constexpr double kGateBurst = 2;
constexpr double kNewGateFraction = 0.5;
constexpr double kOtherRate = 0.2;
constexpr double kOtherBurst = 1;
// The length of a slot, in seconds.
constexpr double kSlotSeconds = 1;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

RateAllowance DivideRate(double limit, SenderRole role, std::size_t hosts) {
  const double rate = std::max(limit, kMinRate);
  const auto count = static_cast<double>(std::max<std::size_t>(1, hosts));
  switch (role) {
    case SenderRole::kEqual: {
      const double burst = (kEqualBurstRate * rate + kEqualBurst) / count;
      return {(burst < 1 ? kSlotRate : kUsedRate) * rate / count, burst};
    }
    case SenderRole::kGate:
      return {kUsedRate * rate, kGateBurstRate * rate + kGateBurst};
    case SenderRole::kNewGate:
      return {kNewGateFraction * kUsedRate * rate,
              kGateBurstRate * rate + kGateBurst};
    case SenderRole::kOther:
      break;
  }
  return {kOtherRate * rate / count, (kOtherRate * rate + kOtherBurst) / count};
}

double RateShare::Tokens(Instant now, const RateAllowance& allowance) const {
  if (!tokens_at_) {
    return allowance.burst;
  }
  return std::min(allowance.burst,
                  tokens_ + allowance.per_second * Seconds(now - *tokens_at_));
}

std::optional<Instant> RateShare::SlotBegin(Instant now,
                                            double per_second) const {
  // The time since the epoch in intervals, shifted by the phase.
  const double interval = 1 / per_second;
  const double intervals = Seconds(now.time_since_epoch()) / interval + phase_;
  const double since_begin = (intervals - std::floor(intervals)) * interval;
  if (since_begin >= kSlotSeconds) {
    return std::nullopt;
  }
  return now - std::chrono::duration_cast<Duration>(
                   std::chrono::duration<double>(since_begin));
}

bool RateShare::MaySend(Instant now, const RateAllowance& allowance) const {
  if (allowance.burst >= 1) {
    return Tokens(now, allowance) >= 1;
  }
  const auto begin = SlotBegin(now, allowance.per_second);
  if (!begin || !tokens_at_) {
    return begin.has_value();
  }
  // Changes of the rate move the slots, so that one may begin too soon after
  // the last.
  const double min_gap = 1 / allowance.per_second - kSlotSeconds;
  return *tokens_at_ < *begin && Seconds(now - *tokens_at_) >= min_gap;
}

void RateShare::RecordSent(Instant now, const RateAllowance& allowance) {
  tokens_ = std::max(0.0, Tokens(now, allowance) - 1);
  tokens_at_ = now;
}

}  // namespace mustardflow::admission
