// The expected latency of a request at a server, by the request's kind.

#ifndef MUSTARDFLOW_COORDINATION_KIND_LATENCY_H_
#define MUSTARDFLOW_COORDINATION_KIND_LATENCY_H_

#include <optional>
#include <string>

#include "admission/shortage_policy.h"
#include "admission/work_estimate.h"
#include "state/time.h"

namespace mustardflow::coordination {

// What a request of a kind was expected to take when it was sent.
struct KindExpectation {
  std::string route;
  // Work of the kind at a server of average speed, and the wait for a slot; in
  // seconds.
  double work = 0;
  double wait = 0;
  // When the execution began, if that is known.
  std::optional<state::Instant> started;
};

// A server as this host sees it.
struct ServerOccupancy {
  const std::string& service;
  const std::string& server;
  int slots = 1;
  // Requests of all hosts at the server.
  double load = 0;
  // Requests of this host among them, and the sum of their expected work in
  // seconds.
  double own_requests = 0;
  double own_work = 0;
  // The execution time that the server reports, relative to the usual one.
  double slowness = 1;
};

// Derives expected latencies from the work of each kind: the wait for a slot
// plus the request's own work, both scaled by the speed of the server.
class KindLatency {
 public:
  // Seconds until a slot is free for another request.
  double WaitSeconds(state::Instant now, const ServerOccupancy& server) const;
  // Seconds that the server takes for a request of the kind once it has a slot.
  double OwnSeconds(state::Instant now,
                    const ServerOccupancy& server,
                    const std::string& route) const;
  // The expectation for a request that is sent now.
  KindExpectation Expect(state::Instant now,
                         const ServerOccupancy& server,
                         const std::string& route) const;

  // What to expect if a request of the kind is sent now. `exact`: all requests
  // of the server pass through this host.
  admission::ServerOutlook Outlook(state::Instant now,
                                   const ServerOccupancy& server,
                                   const std::string& route,
                                   bool exact) const;
  // The work of the kind in seconds.
  double WorkSeconds(state::Instant now,
                     const std::string& service,
                     const std::string& route) const;

  // Records an answer. `slowness` is what the server reported with it.
  void RecordAnswer(state::Instant now,
                    const std::string& service,
                    const std::string& server,
                    const KindExpectation& expectation,
                    state::Instant sent,
                    double slowness);
  void Prune(state::Instant now) { work_.Prune(now); }

 private:
  admission::WorkEstimate work_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_KIND_LATENCY_H_
