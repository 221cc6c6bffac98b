// Keeps waiting requests sorted.

#include "admission/waiting_queue.h"

#include <iterator>

namespace mustardflow::admission {

std::optional<WaitingRequest> WaitingQueue::Add(const WaitingRequest& request) {
  requests_.insert(request);
  if (requests_.size() <= max_size_) {
    return std::nullopt;
  }
  const auto last = std::prev(requests_.end());
  const WaitingRequest removed = *last;
  requests_.erase(last);
  return removed;
}

std::optional<WaitingRequest> WaitingQueue::First() const {
  return requests_.empty() ? std::nullopt : std::optional(*requests_.begin());
}

state::Duration WaitingQueue::WorkBefore(const WaitingRequest& request) const {
  state::Duration work{0};
  for (const WaitingRequest& other : requests_) {
    if (!(other < request)) {
      break;
    }
    work += other.work;
  }
  return work;
}

}  // namespace mustardflow::admission
