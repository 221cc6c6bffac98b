// Draws memory, and ends transfers when it does not suffice.

#include "transport/memory_account.h"

#include <algorithm>
#include <vector>

namespace mustardflow::transport {

namespace {

// The process ticks far more often while it runs. A longer time between two
// ticks is a pause of the process.
constexpr state::Duration kMaxTickTime = std::chrono::milliseconds(250);

}  // namespace

bool MemoryAccount::Take(std::size_t held,
                         std::size_t bytes,
                         const MemoryHolder* drawer) {
  const std::size_t limit =
      held + bytes <= admission::kSmallBytes ? limits_.total : limits_.large;
  // No transfer is ended for what would not fit even then.
  if (bytes > limit) {
    return false;
  }
  while (used_ + bytes > limit) {
    if (!EndOne(drawer)) {
      return false;
    }
  }
  used_ += bytes;
  return true;
}

bool MemoryAccount::EndOne(const MemoryHolder* drawer) {
  std::vector<MemoryHolder*> holders;
  std::vector<admission::Transfer> transfers;
  for (MemoryHolder* holder : holders_) {
    const auto transfer =
        holder == drawer ? std::nullopt : holder->CurrentTransfer();
    if (transfer) {
      holders.push_back(holder);
      transfers.push_back(*transfer);
    }
  }
  const auto chosen = admission::ChooseTransferToClose(active_, transfers);
  if (!chosen) {
    return false;
  }
  ++ended_transfers_;
  holders[*chosen]->EndTransfer();
  return true;
}

void MemoryAccount::Tick(state::Instant now) {
  if (last_tick_ != state::Instant{}) {
    active_ += std::min(now - last_tick_, kMaxTickTime);
  }
  last_tick_ = now;
}

}  // namespace mustardflow::transport
