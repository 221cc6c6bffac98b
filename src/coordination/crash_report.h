// What hosts and the leader tell each other about requests that crash backend
// servers.

#ifndef MUSTARDFLOW_COORDINATION_CRASH_REPORT_H_
#define MUSTARDFLOW_COORDINATION_CRASH_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "state/server_record.h"
#include "state/time.h"

namespace mustardflow::coordination {

// A hash of what makes a request the same when it comes again: its method,
// host, target and body, and its caller.
using RequestFingerprint = std::uint64_t;

// A request had no answer yet from a server that ended without notice.
struct RequestCrash {
  RequestFingerprint request = 0;
  state::ServerIncarnation server;
  // The time since the request ended at the server.
  state::Duration age{0};
};

// A server has answered the request.
struct RequestAnswer {
  RequestFingerprint request = 0;
  state::Duration age{0};
};

// A host has sent the request as a trial; see CrashingRequest::trials.
struct RequestTrial {
  RequestFingerprint request = 0;
  int number = 0;
};

// The part of a host's report that concerns such requests.
struct CrashReport {
  std::vector<RequestCrash> crashes;
  std::vector<RequestAnswer> answers;
  std::vector<RequestTrial> trials;

  bool empty() const {
    return crashes.empty() && answers.empty() && trials.empty();
  }
};

// The maximum number of crashes in one report, and of requests in the leader's
// list. Both are sent in datagrams that hold other content as well.
inline constexpr std::size_t kMaxReportedCrashes = 8;
inline constexpr std::size_t kMaxCrashingRequests = 8;

// An entry of the leader's list of requests that may crash servers.
struct CrashingRequest {
  RequestFingerprint request = 0;
  // The number of servers that ended while the request had no answer.
  int crashes = 0;
  // Whether all hosts refuse the request. If not, they only tell the leader
  // when a server answers it.
  bool refused = false;
  // The number of trials that have begun. In a trial, one refused request is
  // sent to one server, to find out whether it still crashes servers.
  int trials = 0;
  // The time until the next trial; 0 if it is open, so that the next request
  // is sent.
  state::Duration retry_after{0};
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_CRASH_REPORT_H_
