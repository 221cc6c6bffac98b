// The leader's part in the detection of requests that crash backend servers:
// decides which requests all hosts refuse.

#ifndef MUSTARDFLOW_COORDINATION_CRASH_TRACKER_H_
#define MUSTARDFLOW_COORDINATION_CRASH_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/crash_report.h"
#include "state/time.h"

namespace mustardflow::coordination {

// Merges what the hosts report. A request is refused once it has crashed three
// servers and no server has answered it. Before that, all hosts get a moment to
// report an answer: many requests of a busy service may be at work on servers
// that end together.
//
// Refusing a request also keeps it from being answered. Therefore, one request
// is let through as a trial from time to time, ever less often. An answer ends
// the refusal at once. A request that does not come any more is forgotten.
class CrashTracker {
 public:
  // Why an entry was added or removed, for the log.
  struct Decision {
    RequestFingerprint request = 0;
    bool refused = false;
    // The servers that the request has crashed.
    std::vector<state::ServerIncarnation> servers;
    // The time since the first of these crashes and since the last answer.
    std::optional<state::Duration> first_crash_age;
    std::optional<state::Duration> answer_age;
    int trials = 0;
  };

  // Begins a term with the list of the former leader.
  void Begin(state::Instant now, const std::vector<CrashingRequest>& list);
  // Merges the report of a host. Returns whether the list should be sent to all
  // hosts without delay.
  bool Record(state::Instant now, const CrashReport& report);
  // Returns the list for the next heartbeat: refused requests first, at most
  // kMaxCrashingRequests.
  std::vector<CrashingRequest> Update(state::Instant now);
  // The decisions since the last call.
  std::vector<Decision> TakeDecisions();
  // The number of requests with evidence.
  std::size_t tracked() const { return requests_.size(); }

 private:
  struct Request {
    // When each server crashed.
    std::map<state::ServerIncarnation, state::Instant> crashes;
    // Crashes that a former leader counted, whose servers are not known.
    int former_crashes = 0;
    std::optional<state::Instant> answered_at;
    // Since when it has been in the list.
    std::optional<state::Instant> listed_at;
    bool refused = false;
    int trials = 0;
    // When the next trial opens, if the request is refused.
    state::Instant trial_at{};
    // When a report last concerned the request.
    state::Instant reported_at{};

    int CrashCount() const;
  };

  Request& Find(state::Instant now, RequestFingerprint request);
  void RecordCrash(state::Instant now, const RequestCrash& crash);
  void RecordAnswer(state::Instant now, const RequestAnswer& answer);
  bool RecordTrial(state::Instant now, const RequestTrial& trial);
  // Moves the request to the state that its evidence demands.
  void Judge(state::Instant now,
             RequestFingerprint fingerprint,
             Request* request);
  void Decide(state::Instant now,
              RequestFingerprint fingerprint,
              const Request& request);

  // Invariant: kMaxTracked at most.
  std::map<RequestFingerprint, Request> requests_;
  std::vector<Decision> decisions_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_CRASH_TRACKER_H_
