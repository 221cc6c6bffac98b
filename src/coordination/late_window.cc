// Steps of the bound.

#include "coordination/late_window.h"

#include <algorithm>

namespace mustardflow::coordination {

namespace {

// The bound rests where one answer in six is late.
constexpr double kLateStep = 0.5;
constexpr double kTimelyStep = 0.1;
// A bound that is this multiple of the requests under way binds nothing.
constexpr double kLooseFactor = 2;
constexpr double kLooseMargin = 8;

}  // namespace

void LateWindow::RecordEnd(std::size_t in_flight, bool late, double least) {
  const auto count = static_cast<double>(in_flight);
  if (late) {
    const double from = window_ > 0 ? std::min(window_, count) : count;
    window_ = std::max(std::max(1.0, least), from - kLateStep);
  } else if (window_ > 0) {
    window_ += kTimelyStep;
    if (window_ > kLooseFactor * count + kLooseMargin) {
      window_ = 0;
    }
  }
}

}  // namespace mustardflow::coordination
