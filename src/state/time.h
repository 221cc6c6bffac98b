// Time types of the decision code (the folders state and coordination).
//
// Decision code never reads a clock; the code that calls it passes instants as
// arguments. Instants of different clocks have different types, so an instant
// that a backend server reports cannot be compared with an instant of this
// host.

#ifndef MUSTARDFLOW_STATE_TIME_H_
#define MUSTARDFLOW_STATE_TIME_H_

#include <chrono>
#include <cstdint>

namespace mustardflow::state {

using Duration = std::chrono::microseconds;

// Tags the monotonic clock of the host that runs the decision code.
struct HostClock {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<HostClock>;
};

// Tags the monotonic clock of one backend server process. The clock restarts
// with each process, so its instants are meaningful only together with a boot
// id.
struct ServerClock {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<ServerClock>;
};

using Instant = std::chrono::time_point<HostClock>;
using ServerInstant = std::chrono::time_point<ServerClock>;

// Milliseconds since the Unix epoch. The wall clock may jump, so no safety rule
// relies on it.
using WallMilliseconds = std::uint64_t;

}  // namespace mustardflow::state

#endif  // MUSTARDFLOW_STATE_TIME_H_
