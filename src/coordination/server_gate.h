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

// Names one request at a gate.
using GateTicket = std::uint64_t;

// How a request that was sent has ended, as far as the gate is concerned.
enum class GateResult {
  kCompleted,
  // The server refused because it was full.
  kShed,
  kFailed,
};

// What became of a ticket.
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
// gate of a server, so the limit holds in total. The limit starts at one for a
// server whose process is new, grows with completed requests up to the server's
// slots, and halves when the server sheds. Requests wait per class; classes
// take turns. When the queue is full, the longest class gives way.
class ServerGate {
 public:
  explicit ServerGate(int slots);

  // Changes the number of slots, for instance by a new document.
  void SetSlots(int slots);

  // Notes which run of the server's process is known to be alive. A new run is
  // cold.
  void RecordBoot(state::BootId boot);

  // A request arrives. The decision may come at once or by a later call.
  std::vector<GateDecision> Submit(state::Instant now,
                                   GateTicket ticket,
                                   const std::string& request_class,
                                   state::Instant deadline);

  // A request that was sent has ended after `duration`.
  std::vector<GateDecision> HandleDone(state::Instant now,
                                       GateTicket ticket,
                                       GateResult result,
                                       state::Duration duration);

  // A waiting caller has gone away.
  void Cancel(GateTicket ticket);

  // Refuses waiting requests whose deadline has passed.
  std::vector<GateDecision> Tick(state::Instant now);

  // Refuses all waiting requests, since another host holds the gate now.
  std::vector<GateDecision> RefuseAll();

  int limit() const { return static_cast<int>(limit_); }
  std::size_t in_flight() const { return in_flight_; }
  std::size_t waiting() const { return waiting_; }

 private:
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
  // Invariant: between 1 and slots_. Fractions accumulate per completion.
  double limit_ = 1;
  state::BootId boot_ = 0;
  // Invariant: does not exceed the limit at the time of each admission.
  std::size_t in_flight_ = 0;
  std::size_t waiting_ = 0;
  // By class, each in order of arrival. Invariant: waiting_ is their sum.
  std::map<std::string, std::deque<Waiter>> queues_;
  // The class that was served last; the next one in order is served next.
  std::string last_served_;
  // A moving average of how long the server takes.
  state::Duration mean_duration_{0};
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_SERVER_GATE_H_
