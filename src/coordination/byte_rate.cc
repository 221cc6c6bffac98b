// Counts bytes and lets the count decay.

#include "coordination/byte_rate.h"

#include <algorithm>
#include <chrono>

namespace mustardflow::coordination {

bool ByteRate::Take(state::Instant now, std::size_t bytes) {
  if (counted_at_) {
    const std::chrono::duration<double> passed = now - *counted_at_;
    sent_ = std::max(0.0, sent_ - passed.count() * bytes_per_second_);
  }
  counted_at_ = now;
  const auto amount = static_cast<double>(bytes);
  if (sent_ > 0 && sent_ + amount > bytes_per_second_) {
    return false;
  }
  sent_ += amount;
  return true;
}

}  // namespace mustardflow::coordination
