// Terms, which order coordinators, and fences, which order grants.

#ifndef MUSTARDFLOW_STATE_FENCE_H_
#define MUSTARDFLOW_STATE_FENCE_H_

#include <compare>
#include <cstdint>

namespace mustardflow::state {

// Identifies one run of a host process. Chosen at random at process start, so
// that a process that replaces another one at the same address has another id.
using InstanceId = std::uint64_t;

// Identifies one run of a backend server process.
using BootId = std::uint64_t;

// The term of one coordinator of one service. Terms compare lexicographically
// by their members. They include the instance id, so two coordinators never
// hold equal terms.
struct Term {
  // The configuration revision that last changed the set of witnesses. It is
  // compared first, so a coordinator with an outdated set cannot outrank one
  // with a newer set.
  std::uint64_t witness_revision = 0;
  // Higher than the numbers of all terms that the coordinator knew of when it
  // began this term.
  std::uint64_t number = 0;
  InstanceId instance = 0;

  auto operator<=>(const Term&) const = default;
};

// The fencing token of a grant. A later grant of a slice has a higher fence.
struct Fence {
  // The term in which the grant was made.
  Term term;
  std::uint64_t sequence = 0;

  auto operator<=>(const Fence&) const = default;
};

}  // namespace mustardflow::state

#endif  // MUSTARDFLOW_STATE_FENCE_H_
