// Limits a host's concurrent requests to a service without keys, by priority.

#ifndef MUSTARDFLOW_COORDINATION_PRIORITY_WINDOWS_H_
#define MUSTARDFLOW_COORDINATION_PRIORITY_WINDOWS_H_

#include <cstddef>
#include <functional>
#include <map>

#include "coordination/late_window.h"
#include "state/time.h"

namespace mustardflow::coordination {

// One LateWindow for each priority. Requests of all priorities measure the wait
// for a slot. A wait reduces the window of a priority if it is too long for
// more urgent requests, so that the less urgent ones give way first.
class PriorityWindows {
 public:
  // Whether another request of this priority may be sent.
  bool HasRoom(int priority) const;
  void RecordSent(int priority);
  // A request ended without a measured wait.
  void RecordEnd(int priority);
  // An answer arrived after `wait` for a slot. `longest_wait` returns the wait
  // that is acceptable for a request of a priority. The window of the most
  // urgent priority does not fall below `min_window`.
  void RecordWait(int priority,
                  state::Duration wait,
                  const std::function<state::Duration(int)>& longest_wait,
                  double min_window);

 private:
  struct Priority {
    std::size_t in_flight = 0;
    LateWindow window;
  };

  std::map<int, Priority> priorities_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_PRIORITY_WINDOWS_H_
