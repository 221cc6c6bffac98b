// A sample, of bounded size, of the keys in the requests of a host's callers.

#ifndef MUSTARDFLOW_COORDINATION_LOAD_SAMPLER_H_
#define MUSTARDFLOW_COORDINATION_LOAD_SAMPLER_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "state/key_range.h"

namespace mustardflow::coordination {

// The requests for one service at a host since the host's last report.
struct LoadReport {
  // The number of requests with a key.
  std::uint64_t requests = 0;
  // A uniform sample of the key hashes of these requests; a hot key occurs more
  // than once.
  std::vector<state::KeyHash> samples;
};

// Draws the sample of a LoadReport. The size of the sample, and so of the
// report, is bounded by the capacity, whatever the number of requests, keys or
// slices.
class LoadSampler {
 public:
  explicit LoadSampler(std::size_t capacity);

  // Records a request. `random` is uniformly distributed over 64 bits.
  void Record(state::KeyHash hash, std::uint64_t random);

  // Returns the report since the last call and starts a new one.
  LoadReport Take();

 private:
  const std::size_t capacity_;
  // Invariant: there are at most capacity_ samples, chosen uniformly from the
  // requests recorded.
  LoadReport report_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_LOAD_SAMPLER_H_
