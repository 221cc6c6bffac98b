// The maximum of the values recorded in a sliding time window.

#ifndef MUSTARDFLOW_COORDINATION_RECENT_MAXIMUM_H_
#define MUSTARDFLOW_COORDINATION_RECENT_MAXIMUM_H_

#include <cstddef>
#include <deque>
#include <utility>

#include "state/time.h"

namespace mustardflow::coordination {

// Smooths a count that must not be underestimated, such as the number of hosts
// that share a limit. The current count of hosts may be too low: a new leader
// learns of the other hosts one by one, and a host that is cut off still uses
// its share.
class RecentMaximum {
 public:
  // `window`: the length of the window.
  explicit RecentMaximum(state::Duration window) : window_(window) {}

  void Record(state::Instant now, std::size_t value) {
    while (!values_.empty() && values_.back().second <= value) {
      values_.pop_back();
    }
    values_.emplace_back(now, value);
    while (now - values_.front().first > window_) {
      values_.pop_front();
    }
  }

  // The maximum at the time of the last Record(); 0 before the first value.
  std::size_t value() const {
    return values_.empty() ? 0 : values_.front().second;
  }

 private:
  const state::Duration window_;
  // Invariant: from front to back, the times do not decrease and the values
  // decrease strictly.
  std::deque<std::pair<state::Instant, std::size_t>> values_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_RECENT_MAXIMUM_H_
