// Adjusts the limit of concurrent requests when a request ends.

#include "coordination/late_window.h"

#include <algorithm>

namespace mustardflow::coordination {

namespace {

// The decrease for a late response and the increase for a timely one. The limit
// is in equilibrium when one response in six is late.
constexpr double kLateDecrease = 0.5;
constexpr double kTimelyIncrease = 0.1;
// The limit is dropped when it exceeds this multiple of the requests in flight
// by the margin, because it then has no effect.
constexpr double kUnlimitedFactor = 2;
constexpr double kUnlimitedMargin = 8;

}  // namespace

void LateWindow::RecordEnd(std::size_t in_flight,
                           bool late,
                           double min_window) {
  const auto count = static_cast<double>(in_flight);
  if (late) {
    const double from = window_ > 0 ? std::min(window_, count) : count;
    window_ = std::max(std::max(1.0, min_window), from - kLateDecrease);
  } else if (window_ > 0) {
    window_ += kTimelyIncrease;
    if (window_ > kUnlimitedFactor * count + kUnlimitedMargin) {
      window_ = 0;
    }
  }
}

}  // namespace mustardflow::coordination
