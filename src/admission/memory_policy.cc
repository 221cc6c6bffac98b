// Implements the division of memory and the choice of a connection to close.

#include "admission/memory_policy.h"

#include <algorithm>

namespace mustardflow::admission {

using state::Duration;
using state::Instant;

namespace {

// What the process needs beside requests and answers. The largest process of
// docs/CAPACITY.md used 18.5 MB, answers included.
constexpr std::size_t kProcessBytes = 24 << 20;
// On hosts with little memory, the part of it that the process needs.
constexpr std::size_t kProcessDivisor = 4;
// The reserve for small requests and answers. With 112 MB in all, 80 MB are
// left for larger ones, so that a body of 64 MiB still fits.
constexpr std::size_t kSmallReserveBytes = 8 << 20;
constexpr std::size_t kSmallReserveDivisor = 8;
constexpr Duration kStallTime = std::chrono::seconds(1);
// A transfer below this part of the median rate is far slower than the others.
constexpr double kSlowFraction = 1.0 / 16;
// A median of fewer transfers says little.
constexpr std::size_t kMinTransfersForRate = 4;

double RateOf(Instant now, const Transfer& transfer) {
  const std::chrono::duration<double> age = now - transfer.began;
  return static_cast<double>(transfer.moved_bytes) / age.count();
}

// Chooses among the transfers that are old enough for their rate to count.
std::optional<std::size_t> ChooseSlow(Instant now,
                                      const std::vector<Transfer>& transfers) {
  std::vector<std::pair<double, std::size_t>> rates;
  for (std::size_t i = 0; i < transfers.size(); ++i) {
    if (now - transfers[i].began >= kStallTime) {
      rates.emplace_back(RateOf(now, transfers[i]), i);
    }
  }
  if (rates.size() < kMinTransfersForRate) {
    return std::nullopt;
  }
  std::sort(rates.begin(), rates.end());
  const double median = rates[rates.size() / 2].first;
  if (rates.front().first >= median * kSlowFraction) {
    return std::nullopt;
  }
  return rates.front().second;
}

}  // namespace

MemoryLimits MemoryLimitsFor(std::size_t memory_bytes) {
  const std::size_t total =
      memory_bytes - std::min(kProcessBytes, memory_bytes / kProcessDivisor);
  return {total,
          total - std::min(kSmallReserveBytes, total / kSmallReserveDivisor)};
}

bool IsStalled(Instant now, const Transfer& transfer) {
  return now - transfer.progressed >= kStallTime;
}

std::optional<std::size_t> ChooseTransferToClose(
    Instant now,
    const std::vector<Transfer>& transfers) {
  const auto oldest =
      std::min_element(transfers.begin(), transfers.end(),
                       [](const Transfer& one, const Transfer& other) {
                         return one.progressed < other.progressed;
                       });
  if (oldest == transfers.end()) {
    return std::nullopt;
  }
  if (IsStalled(now, *oldest)) {
    return static_cast<std::size_t>(oldest - transfers.begin());
  }
  return ChooseSlow(now, transfers);
}

}  // namespace mustardflow::admission
