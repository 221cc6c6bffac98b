// The load of each key of a service, from the reports of all hosts.

#ifndef MUSTARDFLOW_COORDINATION_SHARD_LOAD_H_
#define MUSTARDFLOW_COORDINATION_SHARD_LOAD_H_

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "state/ownership_table.h"
#include "state/time.h"

namespace mustardflow::coordination {

// Requests a second by key, as an average that forgets. One float and one
// sum a key: 768 KB for a service, whatever the number of keys in use.
class ShardLoad {
 public:
  ShardLoad();

  // Notes requests for `key` since the last report. They show after Decay().
  void Add(state::ShardKey key, double requests);
  // Forgets what is old. Call at regular intervals.
  void Decay(state::Instant now);
  // Adapts the memory to this many servers that share the load.
  void SetServers(std::size_t servers);

  // How many requests the average of one server rests on.
  double samples_per_server() const;

  // Requests a second for the keys from `first` to `last`, inclusive.
  double Sum(std::int32_t first, std::int32_t last) const {
    return sums_[static_cast<std::size_t>(last) + 1] -
           sums_[static_cast<std::size_t>(first)];
  }
  double total() const { return sums_.back(); }

  // The keys that carry at least `load` alone, the heaviest first.
  std::vector<std::pair<double, state::ShardKey>> KeysAbove(double load) const;

  // The smallest key such that the keys from `first` to it carry at least
  // `load`; `last` if all carry less.
  std::int32_t CutAfter(std::int32_t first,
                        std::int32_t last,
                        double load) const;

 private:
  std::vector<float> weights_;
  // Invariant: sums_[i] is the sum of the weights of the keys below i, as of
  // the last Decay().
  std::vector<double> sums_;
  std::optional<state::Instant> last_decay_;
  std::size_t servers_ = 1;
  // The mean age of what counts, in seconds.
  double mean_age_seconds_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_SHARD_LOAD_H_
