// Names of attempt outcomes and reasons.

#include "coordination/attempt.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace mustardflow::coordination {

namespace {

// Indexed by AttemptOutcome.
constexpr std::array<std::string_view, 3> kOutcomeNames = {
    "answered", "not-run", "unknown"};
// Indexed by AttemptReason.
constexpr std::array<std::string_view, 14> kReasonNames = {
    "none",
    "no-route",
    "server-shed",
    "not-owner",
    "queue-full",
    "deadline-passed",
    "duty-moved",
    "connect-failed",
    "connection-broken",
    "timed-out",
    "bad-answer",
    "duplicate-in-progress",
    "earlier-attempt-unknown",
    "stopping"};

}  // namespace

std::string_view AttemptOutcomeName(AttemptOutcome outcome) {
  return kOutcomeNames[static_cast<std::size_t>(outcome)];
}

std::string_view AttemptReasonName(AttemptReason reason) {
  return kReasonNames[static_cast<std::size_t>(reason)];
}

AttemptReason AttemptReasonFromName(std::string_view name) {
  const auto found = std::find(kReasonNames.begin(), kReasonNames.end(), name);
  if (found == kReasonNames.end()) {
    return AttemptReason::kNone;
  }
  return static_cast<AttemptReason>(found - kReasonNames.begin());
}

}  // namespace mustardflow::coordination
