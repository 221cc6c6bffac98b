// The steps of a planned stop of a host.

#ifndef MUSTARDFLOW_COORDINATION_STOP_SCHEDULE_H_
#define MUSTARDFLOW_COORDINATION_STOP_SCHEDULE_H_

#include "state/time.h"

namespace mustardflow::coordination {

// Times from the stop signal on. The process is killed `grace` after the
// signal.
class StopSchedule {
 public:
  explicit StopSchedule(state::Duration grace) : grace_(grace) {}

  // Until when requests are read from open connections. New connections go to
  // other hosts only some time after the signal.
  state::Duration ReadingEnd() const;
  // When the requests that are still under way are ended.
  state::Duration RequestsEnd() const;
  // When the process exits; until then, final answers are sent to callers.
  state::Duration Exit() const;

  // Whether a request that has arrived in full `since` the signal can still be
  // answered. `allowed` is the time that its caller allows, and
  // `target_latency` that of its route. A request that is not taken has not
  // been run, so that the caller can send it to another host.
  bool MayTake(state::Duration since,
               state::Duration allowed,
               state::Duration target_latency) const;

 private:
  state::Duration grace_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_STOP_SCHEDULE_H_
