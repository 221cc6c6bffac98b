// Outcomes of one attempt to run a request, and reasons why an attempt fails.

#ifndef MUSTARDFLOW_COORDINATION_ATTEMPT_H_
#define MUSTARDFLOW_COORDINATION_ATTEMPT_H_

#include <string_view>

namespace mustardflow::coordination {

// What the sender knows about a request after one attempt.
enum class AttemptOutcome {
  // The complete header of the backend server's answer has arrived.
  kAnswered,
  // The attempt provably did not run the request.
  kNotRun,
  // The attempt may or may not have run the request.
  kUnknown,
};

// Why an attempt ended without an answer.
enum class AttemptReason {
  kNone,
  // No owner of the key or no server was known before the deadline.
  kNoRoute,
  // The backend server was full and refused the request.
  kServerShed,
  // The backend server does not own the key under the fence of the attempt.
  kNotOwner,
  // The queue in front of the backend server was full.
  kQueueFull,
  // The deadline passed before the request was sent.
  kDeadlinePassed,
  // The entry host no longer holds the routing duty.
  kDutyMoved,
  // No connection to the backend server or to the next host could be opened.
  kConnectFailed,
  // The connection broke after the request had been written.
  kConnectionBroken,
  // No answer came in time.
  kTimedOut,
  // The answer was malformed or belonged to another request.
  kBadAnswer,
  // An attempt with the same id is in progress.
  kDuplicateInProgress,
  // An earlier attempt with the same id may have run the request.
  kEarlierUnknown,
  // The host is stopping.
  kStopping,
};

std::string_view AttemptOutcomeName(AttemptOutcome outcome);
std::string_view AttemptReasonName(AttemptReason reason);
// Returns the reason with this name, or kNone for an unknown name.
AttemptReason AttemptReasonFromName(std::string_view name);

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_ATTEMPT_H_
