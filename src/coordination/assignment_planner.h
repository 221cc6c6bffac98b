// Plans which member should own which slice.

#ifndef MUSTARDFLOW_COORDINATION_ASSIGNMENT_PLANNER_H_
#define MUSTARDFLOW_COORDINATION_ASSIGNMENT_PLANNER_H_

#include <cstddef>
#include <optional>
#include <vector>

namespace mustardflow::coordination {

// The planner's input for one slice.
struct SliceLoad {
  // The load of the slice; not negative. Any unit, but the same for all slices.
  double load = 0;
  // Index of the server that owns the slice or last owned it, if any.
  std::optional<std::size_t> owner;
};

// The planner's input for one member, here called server: a backend server or
// an entry host.
struct ServerCapacity {
  // Capacity relative to the other servers; not negative. A server of weight 0
  // gets no slices.
  double weight = 1;
  // Whether the server may own slices.
  bool eligible = true;
};

// Returns for each slice the index of the server that should own it. The excess
// of a server is its load above its fair share, which is proportional to its
// weight. A slice stays with its owner unless the owner is not eligible, or a
// move lowers the larger excess of the two servers by more than `min_gain`, in
// units of load. If no server is eligible, each slice keeps its owner.
std::vector<std::optional<std::size_t>> PlanAssignment(
    const std::vector<SliceLoad>& slices,
    const std::vector<ServerCapacity>& servers,
    double min_gain);

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_ASSIGNMENT_PLANNER_H_
