// The bounded queue of requests that wait at a host for capacity.

#ifndef MUSTARDFLOW_ADMISSION_WAITING_QUEUE_H_
#define MUSTARDFLOW_ADMISSION_WAITING_QUEUE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "state/time.h"

namespace mustardflow::admission {

// A waiting request. The order of the members is that of service: by rank, then
// the latest start that meets the target, then the shorter work.
struct WaitingRequest {
  int rank = 0;
  state::Instant latest_start;
  state::Duration work{0};
  std::uint64_t id = 0;

  auto operator<=>(const WaitingRequest&) const = default;
};

// Requests in the order of service.
class WaitingQueue {
 public:
  explicit WaitingQueue(std::size_t max_size) : max_size_(max_size) {}

  // Adds a request. If the queue is full, removes the last request, which may
  // be the added one, and returns it.
  std::optional<WaitingRequest> Add(const WaitingRequest& request);
  void Remove(const WaitingRequest& request) { requests_.erase(request); }

  // The request that is served first; nullopt if none waits.
  std::optional<WaitingRequest> First() const;
  // The work of the requests that are served before this one.
  state::Duration WorkBefore(const WaitingRequest& request) const;

  const std::set<WaitingRequest>& requests() const { return requests_; }

 private:
  const std::size_t max_size_;
  std::set<WaitingRequest> requests_;
};

}  // namespace mustardflow::admission

#endif  // MUSTARDFLOW_ADMISSION_WAITING_QUEUE_H_
