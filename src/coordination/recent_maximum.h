// The largest of the values of a recent time.

#ifndef MUSTARDFLOW_COORDINATION_RECENT_MAXIMUM_H_
#define MUSTARDFLOW_COORDINATION_RECENT_MAXIMUM_H_

#include <cstddef>
#include <deque>
#include <utility>

#include "state/time.h"

namespace mustardflow::coordination {

// Smooths a count that must not be taken too low, such as that of the hosts
// which share a limit: a new leader hears of the others one after the other,
// and a host that is cut off goes on with its share.
class RecentMaximum {
 public:
  explicit RecentMaximum(state::Duration memory) : memory_(memory) {}

  void Record(state::Instant now, std::size_t value) {
    while (!values_.empty() && values_.back().second <= value) {
      values_.pop_back();
    }
    values_.emplace_back(now, value);
    while (now - values_.front().first > memory_) {
      values_.pop_front();
    }
  }

  // 0 before the first value.
  std::size_t value() const {
    return values_.empty() ? 0 : values_.front().second;
  }

 private:
  const state::Duration memory_;
  // Invariant: the values fall from front to back.
  std::deque<std::pair<state::Instant, std::size_t>> values_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_RECENT_MAXIMUM_H_
