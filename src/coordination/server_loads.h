// The loads of servers relative to their capacities, kept in order while a plan
// adds and moves load.

#ifndef MUSTARDFLOW_COORDINATION_SERVER_LOADS_H_
#define MUSTARDFLOW_COORDINATION_SERVER_LOADS_H_

#include <cstddef>
#include <limits>
#include <map>
#include <set>

#include "state/ownership_table.h"

namespace mustardflow::coordination {

// A change of one load costs O(log n) of n servers.
class ServerLoads {
 public:
  // A server's load in requests per second, and its capacity relative to other
  // servers.
  struct Entry {
    double load = 0;
    double capacity = 1;

    double ratio() const {
      return capacity > 0 ? load / capacity
                          : std::numeric_limits<double>::infinity();
    }
  };
  using Entries = std::map<state::ServerIncarnation, Entry>;

  explicit ServerLoads(Entries entries);
  ServerLoads(const ServerLoads&) = delete;
  ServerLoads& operator=(const ServerLoads&) = delete;

  // Orders by the ratio of load and capacity.
  struct LessLoaded {
    bool operator()(const Entries::value_type* left,
                    const Entries::value_type* right) const {
      const double left_ratio = left->second.ratio();
      const double right_ratio = right->second.ratio();
      return left_ratio != right_ratio ? left_ratio < right_ratio
                                       : left->first < right->first;
    }
  };
  using ByRatio = std::set<const Entries::value_type*, LessLoaded>;

  std::size_t size() const { return entries_.size(); }
  const Entry& at(const state::ServerIncarnation& server) const {
    return entries_.at(server);
  }
  // In ascending order of the ratio of load and capacity.
  const ByRatio& by_ratio() const { return by_ratio_; }
  // There has to be a server.
  const Entries::value_type& least_loaded() const {
    return **by_ratio_.begin();
  }
  const Entries::value_type& most_loaded() const {
    return **by_ratio_.rbegin();
  }
  // The ratio of load and capacity of all servers together.
  double mean() const { return total_load_ / total_capacity_; }
  double total_load() const { return total_load_; }

  void Add(const state::ServerIncarnation& server, double load);
  void Move(const state::ServerIncarnation& from,
            const state::ServerIncarnation& to,
            double load);

 private:
  Entries entries_;
  // Invariant: one pointer to each of `entries_`.
  ByRatio by_ratio_;
  double total_load_ = 0;
  double total_capacity_ = 0;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_SERVER_LOADS_H_
