// Exponential averages of the load of keys.

#include "coordination/shard_load.h"

#include <algorithm>
#include <cmath>

namespace mustardflow::coordination {

namespace {

// The mean age of what counts. Hot keys change within seconds; shorter times
// leave too few requests a server to tell load from chance.
constexpr double kMemorySeconds = 2.5;
// Weights below this are dropped, so that sums stay exact enough.
constexpr float kSmallestWeight = 1e-3F;

}  // namespace

ShardLoad::ShardLoad() : weights_(state::kShardKeyCount, 0) {}

void ShardLoad::Add(state::ShardKey key, double requests) {
  const double weight = requests / kMemorySeconds;
  weights_[key] += static_cast<float>(weight);
  total_ += weight;
}

void ShardLoad::Decay(state::Instant now) {
  if (decayed_) {
    const double seconds =
        std::chrono::duration<double>(now - *decayed_).count();
    const auto factor = static_cast<float>(std::exp(-seconds / kMemorySeconds));
    total_ = 0;
    for (float& weight : weights_) {
      weight = weight < kSmallestWeight ? 0 : weight * factor;
      total_ += weight;
    }
  }
  decayed_ = now;
}

double ShardLoad::Of(std::int32_t first, std::int32_t last) const {
  double sum = 0;
  for (std::int32_t key = first; key <= last; ++key) {
    sum += weights_[static_cast<std::size_t>(key)];
  }
  return sum;
}

std::vector<std::pair<double, state::ShardKey>> ShardLoad::KeysAbove(
    double load) const {
  std::vector<std::pair<double, state::ShardKey>> keys;
  for (std::size_t key = 0; key < weights_.size(); ++key) {
    if (weights_[key] >= load) {
      keys.emplace_back(weights_[key], static_cast<state::ShardKey>(key));
    }
  }
  std::sort(keys.rbegin(), keys.rend());
  return keys;
}

std::int32_t ShardLoad::CutAfter(std::int32_t first,
                                 std::int32_t last,
                                 double load) const {
  double sum = 0;
  for (std::int32_t key = first; key < last; ++key) {
    sum += weights_[static_cast<std::size_t>(key)];
    if (sum >= load) {
      return key;
    }
  }
  return last;
}

}  // namespace mustardflow::coordination
