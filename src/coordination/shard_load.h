// The load of each shard key of a service, computed from the reports of all
// hosts.

#ifndef MUSTARDFLOW_COORDINATION_SHARD_LOAD_H_
#define MUSTARDFLOW_COORDINATION_SHARD_LOAD_H_

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "state/ownership_table.h"
#include "state/time.h"

namespace mustardflow::coordination {

// Requests per second by key, as exponentially decaying averages. A slow
// average tells the load of a server from random variation. A fast one replaces
// it for blocks of adjacent keys whose load has changed by more than random
// variation explains, such as keys that turn hot. Stores two floats and one
// double for each key: 1 MB for a service, independent of the number of keys in
// use.
class ShardLoad {
 public:
  ShardLoad();

  // Records `requests` for `key` since the last report. Sum() and total()
  // include them after the next Decay().
  void Add(state::ShardKey key, double requests);
  // Decays the averages by the time since the last call and updates the sums.
  // Call at regular intervals.
  void Decay(state::Instant now);
  // Adapts the mean age of the requests in the averages to the number of
  // servers that share the load.
  void SetServers(std::size_t servers);

  // The number of requests that the load average of one server is based on.
  double samples_per_server() const;

  // Requests per second for the keys from `first` to `last`, inclusive.
  double Sum(std::int32_t first, std::int32_t last) const {
    return sums_[static_cast<std::size_t>(last) + 1] -
           sums_[static_cast<std::size_t>(first)];
  }
  double total() const { return sums_.back(); }

  // The load and number of each key that carries at least `load` on its own, in
  // descending order of load.
  std::vector<std::pair<double, state::ShardKey>> KeysAbove(double load) const;

  // The smallest key such that the keys from `first` up to and including it
  // carry at least `load`; `last` if the whole range carries less.
  std::int32_t CutAfter(std::int32_t first,
                        std::int32_t last,
                        double load) const;

 private:
  // Whether the load of the keys from `first` on, one block, has changed
  // lately.
  bool HasChanged(std::size_t first) const;
  // The average that counts for the keys of the block that begins at `first`.
  const std::vector<float>& WeightsOf(std::size_t first) const {
    return HasChanged(first) ? fast_weights_ : weights_;
  }

  // By key: requests per second, as the slow and the fast average.
  std::vector<float> weights_;
  std::vector<float> fast_weights_;
  // Invariant: sums_[i] is the sum of the weights that count of the keys below
  // i, as of the last Decay().
  std::vector<double> sums_;
  std::optional<state::Instant> last_decay_;
  std::size_t servers_ = 1;
  // The time constant of the slow average: the mean age, in seconds, of the
  // requests in it.
  double mean_age_seconds_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_SHARD_LOAD_H_
