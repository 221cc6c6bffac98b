// The clocks of the process. Only I/O code reads them; code that decides gets
// the time as an argument, so that tests can simulate it.

#ifndef MUSTARDFLOW_TRANSPORT_CLOCKS_H_
#define MUSTARDFLOW_TRANSPORT_CLOCKS_H_

#include <time.h>

#include <chrono>

#include "state/time.h"

namespace mustardflow::transport {

// Returns the time since the machine booted, including time in which it was
// suspended: leases expire during a suspension as well.
// std::chrono::steady_clock does not count that time.
inline state::Duration TimeSinceBoot() {
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::duration_cast<state::Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

// Returns the time of this host's monotonic clock.
inline state::Instant Now() {
  return state::Instant(TimeSinceBoot());
}

// Returns the time of the same clock in the type for a server that holds
// grants.
inline state::ServerInstant ServerNow() {
  return state::ServerInstant(TimeSinceBoot());
}

// Returns the wall-clock time in milliseconds since the Unix epoch.
inline state::WallMilliseconds WallNow() {
  return static_cast<state::WallMilliseconds>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_CLOCKS_H_
