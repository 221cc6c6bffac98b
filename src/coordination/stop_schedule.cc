// Divides the grace period of a stop.

#include "coordination/stop_schedule.h"

#include <algorithm>

namespace mustardflow::coordination {

using state::Duration;

namespace {

constexpr Duration kMaxReadingTime = std::chrono::milliseconds(2800);
// The time from the end of the requests to the end of the grace period, and the
// part of it in which final answers are sent: at most this, and with a short
// grace period the fraction of it.
constexpr Duration kMaxEndMargin = std::chrono::milliseconds(400);
constexpr int kEndMarginDivisor = 8;
// Requests take up to this multiple of their target latency, apart from rare
// ones.
constexpr int kTargetLatencies = 3;

}  // namespace

Duration StopSchedule::ReadingEnd() const {
  return std::min(kMaxReadingTime, RequestsEnd() / 2);
}

Duration StopSchedule::RequestsEnd() const {
  return grace_ - std::min(kMaxEndMargin, grace_ / kEndMarginDivisor);
}

Duration StopSchedule::Exit() const {
  return grace_ - (grace_ - RequestsEnd()) / 2;
}

bool StopSchedule::MayTake(Duration since,
                           Duration allowed,
                           Duration target_latency) const {
  const Duration left = RequestsEnd() - since;
  return left >= std::min(allowed, kTargetLatencies * target_latency);
}

}  // namespace mustardflow::coordination
