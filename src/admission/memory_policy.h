// Decides how a host's memory is divided, and which connection is closed when
// it does not suffice.

#ifndef MUSTARDFLOW_ADMISSION_MEMORY_POLICY_H_
#define MUSTARDFLOW_ADMISSION_MEMORY_POLICY_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "state/time.h"

namespace mustardflow::admission {

// A body or an answer up to this size may use the reserve for small ones.
inline constexpr std::size_t kSmallBytes = 64 << 10;

// The bytes that requests and answers may hold together.
struct MemoryLimits {
  std::size_t total = 0;
  // What may be in use after a larger body or answer has drawn.
  std::size_t large = 0;
};

// Returns the limits for a process that may use `memory_bytes`.
MemoryLimits MemoryLimitsFor(std::size_t memory_bytes);

// A transfer from or to a caller that holds memory: a body that arrives or an
// answer that is being written.
struct Transfer {
  // What closing the connection frees.
  std::size_t held_bytes = 0;
  std::size_t moved_bytes = 0;
  state::Instant began{};
  // When bytes last moved.
  state::Instant progressed{};
};

// Returns whether the transfer has made no progress for so long that its
// connection may be closed if others need what it holds.
bool IsStalled(state::Instant now, const Transfer& transfer);

// Returns the index of the transfer to close when memory is short: the one
// without progress for longest, else one that is far slower than the others.
// Returns nullopt if all of them make progress.
std::optional<std::size_t> ChooseTransferToClose(
    state::Instant now,
    const std::vector<Transfer>& transfers);

}  // namespace mustardflow::admission

#endif  // MUSTARDFLOW_ADMISSION_MEMORY_POLICY_H_
