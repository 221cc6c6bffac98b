// Greedy planning: each slice to be placed goes to the server that is furthest
// below its fair share of the load.

#include "coordination/assignment_planner.h"

#include <algorithm>
#include <numeric>

namespace mustardflow::coordination {

namespace {

// Computes one plan.
class Planner {
 public:
  Planner(const std::vector<SliceLoad>& slices,
          const std::vector<ServerCapacity>& servers,
          double min_gain)
      : slices_(slices),
        servers_(servers),
        min_gain_(min_gain),
        owners_(slices.size()) {}

  std::vector<std::optional<std::size_t>> Run() {
    ComputeFairShares();
    if (eligible_.empty()) {
      for (std::size_t i = 0; i < slices_.size(); ++i) {
        owners_[i] = slices_[i].owner;
      }
      return owners_;
    }
    KeepEligibleOwners();
    PlaceUnassigned();
    while (MoveOneSlice()) {
    }
    return owners_;
  }

 private:
  void ComputeFairShares() {
    double total_weight = 0;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (servers_[i].eligible && servers_[i].weight > 0) {
        eligible_.push_back(i);
        total_weight += servers_[i].weight;
      }
    }
    double total_load = 0;
    for (const SliceLoad& slice : slices_) {
      total_load += slice.load;
    }
    // At first each server's excess is that of a server without slices.
    excess_.assign(servers_.size(), 0);
    for (const std::size_t i : eligible_) {
      excess_[i] = -total_load * servers_[i].weight / total_weight;
    }
  }

  bool IsEligible(std::size_t server) const {
    return servers_[server].eligible && servers_[server].weight > 0;
  }

  void KeepEligibleOwners() {
    for (std::size_t i = 0; i < slices_.size(); ++i) {
      const auto owner = slices_[i].owner;
      if (owner && IsEligible(*owner)) {
        owners_[i] = owner;
        excess_[*owner] += slices_[i].load;
      } else {
        unassigned_.push_back(i);
      }
    }
  }

  void PlaceUnassigned() {
    std::stable_sort(unassigned_.begin(), unassigned_.end(),
                     [&](std::size_t left, std::size_t right) {
                       return slices_[left].load > slices_[right].load;
                     });
    for (const std::size_t slice : unassigned_) {
      const std::size_t server = LeastLoadedServer();
      owners_[slice] = server;
      excess_[server] += slices_[slice].load;
    }
  }

  std::size_t LeastLoadedServer() const {
    return *std::min_element(eligible_.begin(), eligible_.end(),
                             [&](std::size_t left, std::size_t right) {
                               return excess_[left] < excess_[right];
                             });
  }

  // Moves one slice from the server with the largest excess to the one with the
  // smallest: the largest slice that leaves the new owner's excess more than
  // `min_gain_` below the former owner's present excess. Returns false if there
  // is no such slice.
  bool MoveOneSlice() {
    const std::size_t from =
        *std::max_element(eligible_.begin(), eligible_.end(),
                          [&](std::size_t left, std::size_t right) {
                            return excess_[left] < excess_[right];
                          });
    const std::size_t to = LeastLoadedServer();
    const double difference = excess_[from] - excess_[to];
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < slices_.size(); ++i) {
      const double load = slices_[i].load;
      const bool worthwhile = load > 0 && load + min_gain_ < difference;
      if (owners_[i] == from && worthwhile &&
          (!best || load > slices_[*best].load)) {
        best = i;
      }
    }
    if (!best) {
      return false;
    }
    owners_[*best] = to;
    excess_[from] -= slices_[*best].load;
    excess_[to] += slices_[*best].load;
    return true;
  }

  const std::vector<SliceLoad>& slices_;
  const std::vector<ServerCapacity>& servers_;
  const double min_gain_;
  // The plan: the index of each slice's owner.
  std::vector<std::optional<std::size_t>> owners_;
  // Indexes of the servers that may own slices.
  std::vector<std::size_t> eligible_;
  // Indexes of the slices that have no owner or whose owner is not eligible.
  std::vector<std::size_t> unassigned_;
  // For each server, its load above its fair share; negative if below.
  std::vector<double> excess_;
};

}  // namespace

std::vector<std::optional<std::size_t>> PlanAssignment(
    const std::vector<SliceLoad>& slices,
    const std::vector<ServerCapacity>& servers,
    double min_gain) {
  return Planner(slices, servers, min_gain).Run();
}

}  // namespace mustardflow::coordination
