// How one attempt to have a request run can end.

#ifndef MUSTARDFLOW_COORDINATION_ATTEMPT_H_
#define MUSTARDFLOW_COORDINATION_ATTEMPT_H_

#include <string_view>

namespace mustardflow::coordination {

// What is known about a request after an attempt.
enum class AttemptOutcome {
  // A whole answer header of the backend server has arrived.
  kAnswered,
  // The request has provably not been run by this attempt.
  kNotRun,
  // The request may or may not have been run.
  kUnknown,
};

// Why an attempt ended without an answer.
enum class AttemptReason {
  kNone,
  // No owner or no server was known before the deadline.
  kNoRoute,
  // The backend server was full and refused.
  kServerShed,
  // The backend server does not own the key under the fence that was used.
  kNotOwner,
  // The queue in front of the backend server was full.
  kQueueFull,
  // The deadline passed before the request was sent.
  kDeadlinePassed,
  // The entry host no longer holds the routing duty.
  kDutyMoved,
  // No connection to the backend server or to the next host.
  kConnectFailed,
  // The connection broke after the request had been written.
  kConnectionBroken,
  // No answer came in time.
  kTimedOut,
  // The answer was not well-formed or belonged to another request.
  kBadAnswer,
  // An attempt with the same id is in progress.
  kDuplicateInProgress,
  // An earlier attempt with the same id may have been run.
  kEarlierUnknown,
  // The host is stopping.
  kStopping,
};

std::string_view AttemptOutcomeName(AttemptOutcome end);
std::string_view AttemptReasonName(AttemptReason reason);
// The reason with this name; kNone if there is none.
AttemptReason AttemptReasonFromName(std::string_view name);

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_ATTEMPT_H_
