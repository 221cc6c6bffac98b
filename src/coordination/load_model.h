// Estimates the load of key ranges from the reports of all hosts.

#ifndef MUSTARDFLOW_COORDINATION_LOAD_MODEL_H_
#define MUSTARDFLOW_COORDINATION_LOAD_MODEL_H_

#include <cstddef>
#include <map>
#include <optional>

#include "coordination/load_sampler.h"
#include "state/key_range.h"
#include "state/time.h"

namespace mustardflow::coordination {

// The key with the largest load in a range.
struct HotKey {
  state::KeyHash hash = 0;
  // In the unit of LoadModel::LoadOf().
  double load = 0;
};

// Keeps a weight for each sampled key hash: the number of requests that its
// samples stand for, decaying exponentially. The sum of the weights in a range
// estimates the load of the range.
class LoadModel {
 public:
  // The half-life of the weights.
  static constexpr state::Duration kHalfLife = std::chrono::seconds(8);

  // Adds the samples of one host's report.
  void Add(state::Instant now, const LoadReport& report);

  // The estimated load of `range`: its number of requests, where the weight of
  // each request halves every kHalfLife.
  double LoadOf(const state::KeyRange& range) const;

  // The key with the largest load in `range`, if any was sampled.
  std::optional<HotKey> HottestIn(const state::KeyRange& range) const;

  // The key hash at which to split `range` into two parts of about equal load:
  // it becomes the first hash of the upper part. Empty if fewer than two keys
  // of the range were sampled.
  std::optional<state::KeyHash> MedianOf(const state::KeyRange& range) const;

  // The estimated load of the whole keyspace.
  double total() const { return total_; }
  // The number of samples, decayed like the weights. Estimates from fewer than
  // some hundreds of samples are rough.
  double sample_count() const { return sample_count_; }
  void Clear();

 private:
  void Decay(state::Instant now);

  // Invariant: total_ is the sum of the weights. The size is bounded, since
  // Decay() discards small weights when there are many.
  std::map<state::KeyHash, double> weights_;
  double total_ = 0;
  double sample_count_ = 0;
  // When the weights were last decayed; empty before the first report.
  std::optional<state::Instant> last_decay_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_LOAD_MODEL_H_
