// Keeps requests waiting at this host until their server has capacity.

#ifndef MUSTARDFLOW_COORDINATION_REQUEST_ADMISSION_H_
#define MUSTARDFLOW_COORDINATION_REQUEST_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "admission/shortage_policy.h"
#include "admission/waiting_queue.h"
#include "state/time.h"

namespace mustardflow::coordination {

// The queues of requests that wait at this host: one for each server of a keyed
// service and one for each service without keys. RequestFlow offers each
// request here before it is sent, and tries the first request of a queue
// whenever its servers may have capacity.
class RequestAdmission {
 public:
  using Id = std::uint64_t;

  // Puts a request into the queue `name`. `is_new` tells whether the request
  // has just arrived at this host. If the queue is full, one request gives way
  // and is returned by TakeEvicted().
  void Enter(state::Instant now,
             Id id,
             const std::string& name,
             const admission::RequestFigures& figures,
             bool is_new);
  bool IsWaiting(Id id) const { return waiting_.contains(id); }
  // Removes the request if it waits.
  void Leave(Id id);
  // Removes a request that is sent to a server.
  void LeaveToServer(state::Instant now, Id id);

  // The servers of the queue may have capacity.
  void MarkReady(const std::string& name);
  // Marks all queues in which requests wait.
  void MarkAllReady();
  // Returns and unmarks a queue that was marked.
  std::optional<std::string> TakeReady();
  // The request of the queue that is served first.
  std::optional<Id> First(const std::string& name) const;

  // Decides on a waiting request. `outlook` is null if no server may receive
  // the request at present.
  admission::Decision Decide(state::Instant now,
                             Id id,
                             const admission::ServerOutlook* outlook);

  // The requests that gave way since the last call. They wait no longer.
  std::vector<Id> TakeEvicted();
  // The requests that entered the queue since the last call and will not reach
  // a server in time, as far as is known.
  std::vector<Id> TakeHopeless(state::Instant now, const std::string& name);
  // The requests that have waited for as long as they may.
  std::vector<Id> Expired(state::Instant now) const;
  // All requests that wait.
  std::vector<Id> AllWaiting() const;

  // The longest wait for a slot that requests of this priority may cause: a
  // quarter of that with which all more urgent kinds meet their targets, or,
  // without more urgent kinds, that with which this priority meets its targets.
  state::Duration LongestWait(state::Instant now,
                              const std::string& name,
                              int priority) const;

  // How long a caller that is refused should wait, before it is spread over
  // time. A caller retries only within a third of the time that it has left, so
  // the delay is longer if no capacity is expected by then. nullopt if the
  // queue is not known.
  std::optional<state::Duration> RetryAfter(
      state::Instant now,
      const std::string& name,
      const admission::RequestFigures& figures) const;

  // Drops the queues without recent requests.
  void Prune(state::Instant now);
  std::size_t waiting() const { return waiting_.size(); }

 private:
  struct Queue {
    admission::ShortagePolicy policy;
    admission::WaitingQueue waiting;
    // Requests that entered since the last TakeHopeless().
    std::vector<Id> entered;
    // The outlook when the first request was last kept waiting.
    std::optional<admission::ServerOutlook> outlook;
  };

  struct Waiting {
    std::string queue;
    admission::RequestFigures figures;
    admission::WaitingRequest entry;
  };

  // Seconds of work that the servers of the queue do per second of time.
  static double Capacity(state::Instant now, const Queue& queue);
  // How long it takes until the request is the first of its queue and its
  // servers have capacity; nullopt if that is not known.
  std::optional<state::Duration> TimeToServer(state::Instant now,
                                              const Queue& queue,
                                              const Waiting& request) const;

  // By server id for keyed services, otherwise by service name.
  std::map<std::string, Queue> queues_;
  std::map<Id, Waiting> waiting_;
  std::set<std::string> ready_;
  std::vector<Id> evicted_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_REQUEST_ADMISSION_H_
