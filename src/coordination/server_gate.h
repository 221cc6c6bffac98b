// The queue and the concurrency limit in front of one backend server.

#ifndef MUSTARDFLOW_COORDINATION_SERVER_GATE_H_
#define MUSTARDFLOW_COORDINATION_SERVER_GATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "coordination/attempt.h"
#include "state/fence.h"
#include "state/time.h"

namespace mustardflow::coordination {

// Identifies one request at a gate.
using GateTicket = std::uint64_t;

// How a request that was sent has ended. The gate adapts its limit to it.
enum class GateResult {
  kCompleted,
  // The server was full and refused the request.
  kShed,
  kFailed,
};

// What the gate has decided for a request.
struct GateDecision {
  enum class Kind {
    // The request may be sent now; HandleDone() must follow.
    kSend,
    // The request is refused. It has not been sent.
    kRefuse,
  };
  Kind kind = Kind::kSend;
  GateTicket ticket = 0;
  AttemptReason reason = AttemptReason::kNone;
};

// Admits requests to one backend server. At any moment one entry host holds the
// gate of a server, so the limit covers all requests to the server. The limit
// starts at one for a new incarnation of the server, grows with completed
// requests up to the number of slots of the server, and halves when the server
// sheds a request. Each class has a queue of its own, and the queues are served
// in turn. When more requests wait than the queues may hold together, the
// newest request of the longest queue is refused.
class ServerGate {
 public:
  explicit ServerGate(int slots);

  // Changes the number of slots, for instance after a change of the service
  // document.
  void SetSlots(int slots);

  // Records that the server's incarnation with this boot ID is alive. A new
  // incarnation is cold, so the limit restarts at one. 0 stands for an unknown
  // incarnation and is ignored.
  void RecordBoot(state::BootId boot);

  // Submits a request. The decision on it is returned by this call or by a
  // later call; this call may return decisions on other requests as well.
  std::vector<GateDecision> Submit(state::Instant now,
                                   GateTicket ticket,
                                   const std::string& request_class,
                                   state::Instant deadline);

  // Ends a request that was sent and took `duration`.
  std::vector<GateDecision> HandleDone(state::Instant now,
                                       GateTicket ticket,
                                       GateResult result,
                                       state::Duration duration);

  // Removes a waiting request whose caller has disconnected.
  void Cancel(GateTicket ticket);

  // Refuses waiting requests whose deadline has passed.
  std::vector<GateDecision> Tick(state::Instant now);

  // Refuses all waiting requests, when another host has taken over the gate.
  std::vector<GateDecision> RefuseAll();

  int limit() const { return static_cast<int>(limit_); }
  std::size_t in_flight() const { return in_flight_; }
  std::size_t waiting() const { return waiting_; }

 private:
  // A request that waits for a decision.
  struct Waiter {
    GateTicket ticket;
    state::Instant deadline;
  };

  bool CannotMeetDeadline(state::Instant now, state::Instant deadline) const;
  void EvictFromLongestQueue(const std::string& arriving,
                             std::vector<GateDecision>* decisions);
  void DispatchWaiting(state::Instant now,
                       std::vector<GateDecision>* decisions);
  std::size_t MaxWaiting() const;

  int slots_;
  // Rounded down, the maximum number of requests in flight. Invariant: between
  // 1 and slots_. Each completed request adds 1 / limit_.
  double limit_ = 1;
  // The boot ID of the server's incarnation; 0 if it is unknown.
  state::BootId boot_ = 0;
  // Requests sent and not yet ended. Invariant: at most the limit right after a
  // request is sent. The limit may drop below in_flight_ later.
  std::size_t in_flight_ = 0;
  std::size_t waiting_ = 0;
  // Waiting requests by class, each queue in order of arrival. Invariant:
  // waiting_ is the sum of the sizes of the queues.
  std::map<std::string, std::deque<Waiter>> queues_;
  // The class that was served last. The next class in the order of names with a
  // waiting request is served next.
  std::string last_served_;
  // Moving average of the durations of completed requests.
  state::Duration mean_duration_{0};
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_SERVER_GATE_H_
