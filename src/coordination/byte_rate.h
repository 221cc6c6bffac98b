// Limits the bytes per second that a host spends on one purpose.

#ifndef MUSTARDFLOW_COORDINATION_BYTE_RATE_H_
#define MUSTARDFLOW_COORDINATION_BYTE_RATE_H_

#include <cstddef>
#include <optional>

#include "state/time.h"

namespace mustardflow::coordination {

// Allows a number of bytes per second, and as many at once.
class ByteRate {
 public:
  explicit ByteRate(double bytes_per_second)
      : bytes_per_second_(bytes_per_second) {}

  // Returns whether `bytes` may be sent now, and counts them if so. An amount
  // above that of one second may be sent if nothing was sent for a second.
  bool Take(state::Instant now, std::size_t bytes);

 private:
  const double bytes_per_second_;
  // What was sent and is not made up for yet, at the time `counted_at_`.
  double sent_ = 0;
  std::optional<state::Instant> counted_at_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_BYTE_RATE_H_
