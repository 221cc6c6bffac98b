// Adds samples to the weights of their keys, and decays the weights.

#include "coordination/load_model.h"

#include <cmath>

namespace mustardflow::coordination {

using state::Instant;
using state::KeyHash;
using state::KeyRange;

namespace {

// The intended maximum number of weights. Decay() discards small weights as
// soon as there are more than half as many.
constexpr std::size_t kMaxWeights = 100'000;
// The minimum time between two decays, because each one visits all weights.
constexpr state::Duration kDecayPeriod = std::chrono::seconds(1);
// When there are many weights, those below this fraction of the mean are
// discarded.
constexpr double kMinWeightOfMean = 0.5;

}  // namespace

void LoadModel::Add(Instant now, const LoadReport& report) {
  Decay(now);
  if (report.samples.empty()) {
    return;
  }
  const double weight = static_cast<double>(report.requests) /
                        static_cast<double>(report.samples.size());
  for (const KeyHash hash : report.samples) {
    weights_[hash] += weight;
  }
  total_ += static_cast<double>(report.requests);
  sample_count_ += static_cast<double>(report.samples.size());
}

double LoadModel::LoadOf(const KeyRange& range) const {
  double load = 0;
  for (auto each = weights_.lower_bound(range.first);
       each != weights_.end() && each->first <= range.last; ++each) {
    load += each->second;
  }
  return load;
}

std::optional<HotKey> LoadModel::HottestIn(const KeyRange& range) const {
  std::optional<HotKey> hottest;
  for (auto each = weights_.lower_bound(range.first);
       each != weights_.end() && each->first <= range.last; ++each) {
    if (!hottest || each->second > hottest->load) {
      hottest = HotKey{each->first, each->second};
    }
  }
  return hottest;
}

std::optional<KeyHash> LoadModel::MedianOf(const KeyRange& range) const {
  const double half = LoadOf(range) / 2;
  double sum = 0;
  for (auto each = weights_.lower_bound(range.first);
       each != weights_.end() && each->first <= range.last; ++each) {
    sum += each->second;
    const auto next = std::next(each);
    if (sum >= half && next != weights_.end() && next->first <= range.last) {
      return next->first;
    }
  }
  return std::nullopt;
}

void LoadModel::Clear() {
  *this = LoadModel();
}

void LoadModel::Decay(Instant now) {
  if (!last_decay_) {
    last_decay_ = now;
  }
  if (now - *last_decay_ < kDecayPeriod) {
    return;
  }
  const double half_lives = std::chrono::duration<double>(now - *last_decay_) /
                            std::chrono::duration<double>(kHalfLife);
  const double factor = std::exp2(-half_lives);
  last_decay_ = now;
  const double mean =
      weights_.empty() ? 0 : total_ / static_cast<double>(weights_.size());
  const bool discard_small = weights_.size() > kMaxWeights / 2;
  total_ = 0;
  sample_count_ *= factor;
  for (auto each = weights_.begin(); each != weights_.end();) {
    each->second *= factor;
    if (discard_small && each->second < mean * kMinWeightOfMean) {
      each = weights_.erase(each);
    } else {
      total_ += each->second;
      ++each;
    }
  }
}

}  // namespace mustardflow::coordination
