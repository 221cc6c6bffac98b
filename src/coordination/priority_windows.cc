// Applies each measured wait to the windows of all priorities.

#include "coordination/priority_windows.h"

namespace mustardflow::coordination {

bool PriorityWindows::HasRoom(int priority) const {
  const auto found = priorities_.find(priority);
  return found == priorities_.end() ||
         found->second.window.HasRoom(found->second.in_flight);
}

void PriorityWindows::RecordSent(int priority) {
  ++priorities_[priority].in_flight;
}

void PriorityWindows::RecordEnd(int priority) {
  --priorities_[priority].in_flight;
}

void PriorityWindows::RecordWait(
    int priority,
    state::Duration wait,
    const std::function<state::Duration(int)>& longest_wait,
    double min_window) {
  bool is_most_urgent = true;
  for (auto& [other, state] : priorities_) {
    state.window.RecordEnd(state.in_flight, wait > longest_wait(other),
                           is_most_urgent ? min_window : 0);
    is_most_urgent = false;
  }
  RecordEnd(priority);
}

}  // namespace mustardflow::coordination
