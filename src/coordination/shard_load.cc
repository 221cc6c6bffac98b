// The exponentially decaying averages of the load of keys.

#include "coordination/shard_load.h"

#include <algorithm>
#include <cmath>

namespace mustardflow::coordination {

namespace {

// The bounds of the mean age of the requests in the averages. Hot keys change
// within seconds, so the mean age is short. Within its bounds, it grows until
// the average of each server is based on kTargetSamplesPerServer requests,
// which is enough to tell load from random variation.
constexpr double kMinMeanAgeSeconds = 2.5;
constexpr double kMaxMeanAgeSeconds = 10;
constexpr double kTargetSamplesPerServer = 64;
// The mean age of the requests in the fast average.
constexpr double kFastMeanAgeSeconds = 0.8;
// The number of keys whose load is compared between the two averages. Keys that
// turn hot are often close to one another.
constexpr std::size_t kBlockKeys = 64;
// The load of a block has changed if the averages differ by this many standard
// deviations of the fast one, and by this many requests. With a thousand
// blocks, chance alone rarely explains that.
constexpr double kChangeDeviations = 5;
constexpr double kMinChangedRequests = 10;
// Weights below this, in requests per second, are set to 0, so that rounding
// errors in the sums stay small.
constexpr float kMinWeight = 1e-3F;

}  // namespace

ShardLoad::ShardLoad()
    : weights_(state::kShardKeyCount, 0),
      fast_weights_(state::kShardKeyCount, 0),
      sums_(state::kShardKeyCount + 1, 0),
      mean_age_seconds_(kMinMeanAgeSeconds) {}

void ShardLoad::SetServers(std::size_t servers) {
  servers_ = std::max<std::size_t>(1, servers);
  const double target_samples =
      kTargetSamplesPerServer * static_cast<double>(servers_);
  mean_age_seconds_ = std::clamp(target_samples / std::max(1.0, total()),
                                 kMinMeanAgeSeconds, kMaxMeanAgeSeconds);
}

double ShardLoad::samples_per_server() const {
  return total() * mean_age_seconds_ / static_cast<double>(servers_);
}

void ShardLoad::Add(state::ShardKey key, double requests) {
  weights_[key] += static_cast<float>(requests / mean_age_seconds_);
  fast_weights_[key] += static_cast<float>(requests / kFastMeanAgeSeconds);
}

bool ShardLoad::HasChanged(std::size_t first) const {
  double slow = 0;
  double fast = 0;
  for (std::size_t key = first; key < first + kBlockKeys; ++key) {
    slow += weights_[key];
    fast += fast_weights_[key];
  }
  // The fast average is based on about this many requests, whose standard
  // deviation is the square root of that number.
  const double requests = std::max(slow, fast) * kFastMeanAgeSeconds;
  return std::abs(fast - slow) * kFastMeanAgeSeconds >
         std::max(kMinChangedRequests, kChangeDeviations * std::sqrt(requests));
}

void ShardLoad::Decay(state::Instant now) {
  float factor = 1;
  float fast_factor = 1;
  if (last_decay_) {
    const double seconds =
        std::chrono::duration<double>(now - *last_decay_).count();
    factor = static_cast<float>(std::exp(-seconds / mean_age_seconds_));
    fast_factor = static_cast<float>(std::exp(-seconds / kFastMeanAgeSeconds));
  }
  last_decay_ = now;
  double sum = 0;
  for (std::size_t first = 0; first < weights_.size(); first += kBlockKeys) {
    for (std::size_t key = first; key < first + kBlockKeys; ++key) {
      float& weight = weights_[key];
      weight = weight < kMinWeight ? 0 : weight * factor;
      float& fast_weight = fast_weights_[key];
      fast_weight = fast_weight < kMinWeight ? 0 : fast_weight * fast_factor;
    }
    const std::vector<float>& counted = WeightsOf(first);
    for (std::size_t key = first; key < first + kBlockKeys; ++key) {
      sum += counted[key];
      sums_[key + 1] = sum;
    }
  }
}

std::vector<std::pair<double, state::ShardKey>> ShardLoad::KeysAbove(
    double load) const {
  std::vector<std::pair<double, state::ShardKey>> keys;
  for (std::size_t key = 0; key < weights_.size(); ++key) {
    const double weight = sums_[key + 1] - sums_[key];
    if (weight >= load) {
      keys.emplace_back(weight, static_cast<state::ShardKey>(key));
    }
  }
  std::sort(keys.rbegin(), keys.rend());
  return keys;
}

std::int32_t ShardLoad::CutAfter(std::int32_t first,
                                 std::int32_t last,
                                 double load) const {
  const auto begin = sums_.begin() + first + 1;
  const auto end = sums_.begin() + last + 1;
  const auto cut = std::lower_bound(
      begin, end, sums_[static_cast<std::size_t>(first)] + load);
  return std::min(last, first + static_cast<std::int32_t>(cut - begin));
}

}  // namespace mustardflow::coordination
