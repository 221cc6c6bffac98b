// Decides which requests are sent, wait or are refused when capacity is short.

#ifndef MUSTARDFLOW_ADMISSION_SHORTAGE_POLICY_H_
#define MUSTARDFLOW_ADMISSION_SHORTAGE_POLICY_H_

#include <map>
#include <optional>
#include <string>

#include "state/time.h"

namespace mustardflow::admission {

// What the decisions depend on for one request.
struct RequestFigures {
  std::string route;
  // 0 is the most urgent.
  int priority = 0;
  state::Instant received;
  // The deadline of the answer.
  state::Instant end;
  state::Duration target{0};
  // The work at a server of average speed.
  state::Duration work{0};
};

// What is expected if the request is sent to a server now.
struct ServerOutlook {
  bool free_slot = false;
  // Whether the server's queue may take another request.
  bool has_room = true;
  // Whether all requests of the server pass through this host.
  bool exact = false;
  // The wait for a slot, and the execution time at this server.
  state::Duration wait{0};
  state::Duration own{0};
  // The wait for a slot of a request that is sent after this one.
  state::Duration wait_behind{0};
  // The execution time at this server relative to that at an average one.
  double relative_time = 1;
  int slots = 1;
};

enum class Decision {
  kSend,
  // The request waits at the host.
  kWait,
  kRefuse,
};

// Decides for the requests of one service on one host. Requests that are kept
// waiting are ordered by Rank(), then by LatestStart().
class ShortagePolicy {
 public:
  // Records a request that arrived, and one that was sent to a server.
  void RecordArrival(state::Instant now, const RequestFigures& request);
  void RecordSent(state::Instant now, const RequestFigures& request);

  // The position of the request's kind in the order of service; lower is
  // served first.
  int Rank(state::Instant now, const RequestFigures& request) const;

  // The latest start at which the answer meets the target, if the execution
  // takes `own`.
  static state::Instant LatestStart(const RequestFigures& request,
                                    state::Duration own);
  // The latest start at which the answer is worth the work: within the target,
  // or, if late answers are of use, before the deadline.
  static state::Instant LatestUsefulStart(const RequestFigures& request);
  // When the request stops waiting at the host.
  static state::Instant WaitEnd(const RequestFigures& request,
                                state::Duration own);

  Decision Decide(state::Instant now,
                  const RequestFigures& request,
                  int rank,
                  const ServerOutlook& outlook) const;

  // The longest wait for a slot with which all recently seen kinds that rank
  // before `rank` meet their targets; nullopt if there is no such kind.
  std::optional<state::Duration> LongestWaitBefore(state::Instant now,
                                                   int rank) const;

  // Seconds of work that were sent per second of time lately.
  double SentWorkRate(state::Instant now) const;
  // Seconds of work that arrived per second in kinds with this rank or a lower
  // one.
  double ArrivedWorkRate(state::Instant now, int rank) const;

  // Whether no request has arrived for a while.
  bool IsIdle(state::Instant now) const;

 private:
  // Exponentially decaying counts of one kind.
  struct KindCounts {
    int priority = 0;
    state::Duration target{0};
    state::Duration work{0};
    state::Instant seen{};
    // Requests that arrived and that were sent.
    double arrived = 0;
    double sent = 0;
    // When the counts were last decayed.
    state::Instant at{};
  };

  static double DecayFactor(state::Instant now, const KindCounts& kind);
  KindCounts& Decayed(state::Instant now, const RequestFigures& request);

  // By route.
  std::map<std::string, KindCounts> kinds_;
};

}  // namespace mustardflow::admission

#endif  // MUSTARDFLOW_ADMISSION_SHORTAGE_POLICY_H_
